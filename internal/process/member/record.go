package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/identity"
)

// State is the state that the fleet believes a host incarnation to be in.
type State uint8

// States of a member. At the same refutation number the greater state takes
// precedence.
const (
	StateAlive   State = 1
	StateSuspect State = 2
	StateDead    State = 3
	// StateLeft is the state after a planned stop. It is final.
	StateLeft State = 4
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	}
	return "unknown"
}

// IsGone reports whether the process is believed to have ended.
func (s State) IsGone() bool { return s == StateDead || s == StateLeft }

// Record is the shared state of a host. Records of the same host name are
// merged by Join, in any order and with any repetition.
type Record struct {
	Host  identity.Host `cbor:"1,keyasint"`
	State State         `cbor:"2,keyasint"`
	// Refutation increases each time the incarnation refutes a suspicion or its
	// death. Only the incarnation itself increases it.
	Refutation uint32 `cbor:"3,keyasint,omitempty"`
	// Leaving is set once a planned stop has begun. It is never unset within an
	// incarnation.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Join merges two records of the same host name into the newer one.
func (r Record) Join(other Record) Record {
	newer := r
	if other.compare(r) > 0 {
		newer = other
	}
	if r.Host.Number == other.Host.Number {
		newer.Leaving = r.Leaving || other.Leaving
	}
	return newer
}

// compare orders records of a host name by incarnation, whether it has left,
// refutation and state.
func (r Record) compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Host.Number, other.Host.Number),
		cmp.Compare(boolToInt(r.State == StateLeft), boolToInt(other.State == StateLeft)),
		cmp.Compare(r.Refutation, other.Refutation),
		cmp.Compare(r.State, other.State),
	)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// isValid reports whether a record from a peer may be merged.
func (r Record) isValid() bool {
	return identity.IsValidName(r.Host.Host) && r.State >= StateAlive && r.State <= StateLeft && r.Host.MeshAddress != ""
}

// hash returns a hash that is equal for equal records of members that are not
// gone, and zero for members that are gone, so that hosts agree whether or not
// they have removed them yet.
func (r Record) hash() uint32 {
	if r.State == 0 || r.State.IsGone() {
		return 0
	}
	var fields [14]byte
	binary.LittleEndian.PutUint64(fields[0:], r.Host.Number)
	binary.LittleEndian.PutUint32(fields[8:], r.Refutation)
	fields[12] = byte(r.State)
	fields[13] = byte(boolToInt(r.Leaving))
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(r.Host.Host)
	_, _ = digest.Write(fields[:])
	return uint32(digest.Sum64())
}

// bucketOf returns the bucket of the digest to which a host name belongs.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }
