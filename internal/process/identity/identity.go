// Package identity identifies the hosts of a fleet and their incarnations.
//
// A host stores nothing on disk, so a restarted process knows nothing of the
// leases and requests of its predecessor. Every process start is therefore a
// new incarnation, and leases and keys refer to the incarnation, not the host.
package identity

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrSyntax is returned for text that is not a valid host incarnation.
var ErrSyntax = eris.New("invalid host incarnation")

// namePattern matches valid names of hosts, failure domains and regions. It
// excludes the separators that keys and sessions use.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Incarnation identifies one process start of a host. The zero value stands for
// no host.
type Incarnation struct {
	// Host is the host's name in its settings.
	Host string `cbor:"1,keyasint" json:"host"`
	// Number distinguishes process starts of the same host; it increases with
	// every start.
	Number uint64 `cbor:"2,keyasint" json:"number"`
}

// Host describes one host to the other hosts of the fleet.
type Host struct {
	Incarnation
	// Domain is the host's failure domain.
	Domain string `cbor:"3,keyasint" json:"domain"`
	// Region is the region of the failure domain.
	Region string `cbor:"4,keyasint" json:"region"`
	// Address is the frontend address for callers, as IP:port.
	Address string `cbor:"5,keyasint" json:"address"`
	// MeshAddress is the peer address for other hosts, as IP:port.
	MeshAddress string `cbor:"6,keyasint" json:"mesh_address"`
}

// IsZero reports whether the incarnation stands for no host.
func (i Incarnation) IsZero() bool { return i.Host == "" }

// String formats the incarnation as name@number with the number in base 36, or
// as "-" if it is zero.
func (i Incarnation) String() string {
	if i.IsZero() {
		return "-"
	}
	return i.Host + "@" + strconv.FormatUint(i.Number, 36)
}

// IsValidName reports whether text is a valid name of a host, failure domain or
// region.
func IsValidName(text string) bool { return namePattern.MatchString(text) }

// ParseIncarnation parses the format of Incarnation.String. It fails with
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
