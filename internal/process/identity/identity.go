// Package identity names the hosts of a fleet and their incarnations.
//
// A host keeps nothing on disk, so a process that starts again under the same
// name knows nothing of its predecessor's obligations. Every process start is
// therefore a new incarnation; leases and keys name it, not the host.
package identity

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrSyntax is returned when a text does not name a host incarnation.
var ErrSyntax = eris.New("not a host incarnation")

// namePattern is what a host, domain or region may be called. It excludes the
// separators that keys and sessions use.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Incarnation is one process start of a host. The zero value names no host.
type Incarnation struct {
	// Host is the host's name from its settings.
	Host string `cbor:"1,keyasint" json:"host"`
	// Number tells process starts of the same host apart; later starts have
	// greater numbers.
	Number uint64 `cbor:"2,keyasint" json:"number"`
}

// Host is what every process of the fleet knows of one host.
type Host struct {
	Incarnation
	// Domain is the failure domain in which the host stands.
	Domain string `cbor:"3,keyasint" json:"domain"`
	// Region is the region of the failure domain.
	Region string `cbor:"4,keyasint" json:"region"`
	// Address is where callers connect, as IP:port.
	Address string `cbor:"5,keyasint" json:"address"`
	// MeshAddress is where other hosts connect, as IP:port.
	MeshAddress string `cbor:"6,keyasint" json:"mesh_address"`
}

// IsZero reports whether the incarnation names no host.
func (i Incarnation) IsZero() bool { return i.Host == "" }

// String gives the incarnation as name@number, or "-" if it names no host.
func (i Incarnation) String() string {
	if i.IsZero() {
		return "-"
	}
	return i.Host + "@" + strconv.FormatUint(i.Number, 36)
}

// IsValidName reports whether text may name a host, failure domain or region.
func IsValidName(text string) bool { return namePattern.MatchString(text) }

// ParseIncarnation is the inverse of Incarnation.String. It fails with
// ErrSyntax.
func ParseIncarnation(text string) (Incarnation, error) {
	if text == "-" {
		return Incarnation{}, nil
	}
	name, digits, found := strings.Cut(text, "@")
	if !found || !IsValidName(name) {
		return Incarnation{}, eris.Wrapf(ErrSyntax, "%q", text)
	}
	number, err := strconv.ParseUint(digits, 36, 64)
	if err != nil || strconv.FormatUint(number, 36) != digits {
		return Incarnation{}, eris.Wrapf(ErrSyntax, "%q", text)
	}
	return Incarnation{Host: name, Number: number}, nil
}
