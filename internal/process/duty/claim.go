package duty

import (
	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/process/keyed"
)

// claimKey is the key of the claim. The keys of saved values differ.
const claimKey = "/claim"

// claim is the record by which a host holds the duties. A renewal repeats it with a
// higher Renewal.
type claim struct {
	Holder string `cbor:"1,keyasint"`
	// Incarnation identifies the holder's process, in Unix nanoseconds, and Number
	// the claim among those of the process.
	Incarnation int64  `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	Renewal     uint64 `cbor:"4,keyasint,omitempty"`
	// Token is the fencing token; a claim that is not renewed yet does not know it.
	Token uint64 `cbor:"5,keyasint,omitempty"`
	// Era is the era of the store that the holder had read.
	Era uint64 `cbor:"6,keyasint,omitempty"`
	// Since is when the values of this era began to be complete, in Unix
	// milliseconds: what earlier holders saved before that may be lost.
	Since int64 `cbor:"7,keyasint"`
	// IsReleased is set if the holder has given up the duties.
	IsReleased bool `cbor:"8,keyasint,omitempty"`
}

// savedValue is the record of a saved value.
type savedValue struct {
	// Era is the era of the store that the holder had read. An append of an earlier
	// era may be added late.
	Era   uint64 `cbor:"1,keyasint,omitempty"`
	Value []byte `cbor:"2,keyasint"`
}

var wire = codec.New(codec.Limits{MaxNestedLevels: 8, MaxArrayElements: 1 << 12, MaxMapPairs: 1 << 12})

const (
	// offsetBits is the part of a fencing token that holds an offset, maxToken the
	// limit of tokens: receivers may read them as floating-point numbers.
	offsetBits = 36
	maxToken   = 1 << 53
)

// fencingToken returns the token of a claim that ends at a position, or false if the
// position is out of the range of tokens. The store gives out a position once, and
// positions rise by Position.Compare, also when the store was restored from a copy.
func fencingToken(end keyed.Position) (uint64, bool) {
	if end.Offset >= 1<<offsetBits || end.Era >= maxToken>>offsetBits {
		return 0, false
	}
	return end.Era<<offsetBits | end.Offset, true
}

func decodeClaim(record []byte) *claim {
	c := claim{}
	if len(record) == 0 || wire.Unmarshal(record, &c) != nil {
		return nil
	}
	return &c
}

func decodeSaved(record []byte) (savedValue, bool) {
	saved := savedValue{}
	err := wire.Unmarshal(record, &saved)
	return saved, err == nil && len(saved.Value) > 0
}
