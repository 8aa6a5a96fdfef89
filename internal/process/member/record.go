package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/identity"
)

// State is what the fleet believes of a host incarnation.
type State uint8

// The states of a member, in the order in which they win over each other at
// the same refutation number.
const (
	StateAlive   State = 1
	StateSuspect State = 2
	StateDead    State = 3
	// StateLeft is the end of a planned stop. It is final.
	StateLeft State = 4
)

// String gives the state's name.
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

// IsGone reports whether the process is taken to have ended.
func (s State) IsGone() bool { return s == StateDead || s == StateLeft }

// Record is what is known of a host. Records of the same host name are joined:
// the order of merges and repetitions do not matter.
type Record struct {
	Host  identity.Host `cbor:"1,keyasint"`
	State State         `cbor:"2,keyasint"`
	// Refutation grows each time the incarnation refutes a suspicion or its
	// death. Only the incarnation itself raises it.
	Refutation uint32 `cbor:"3,keyasint,omitempty"`
	// Leaving tells that a planned stop has begun. It is never unset within an
	// incarnation.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Join gives the newer of two records of the same host name.
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

// compare orders records of a host name by incarnation, planned end,
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

// isValid reports whether the record can be taken over from a peer.
func (r Record) isValid() bool {
	return identity.IsValidName(r.Host.Host) && r.State >= StateAlive && r.State <= StateLeft && r.Host.MeshAddress != ""
}

// hash is equal for equal records of live members and zero for those that are
// gone, so that hosts agree whether or not they have forgotten them yet.
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
	// Writes to a digest do not fail.
	_, _ = digest.WriteString(r.Host.Host)
	_, _ = digest.Write(fields[:])
	return uint32(digest.Sum64())
}

// bucketOf gives the part of the digest in which a host name counts.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }
