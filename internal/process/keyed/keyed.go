// Package keyed follows a keyed topic of the platform's shared log: only the
// newest record of each key is in force.
//
// The position of a Topic never decreases: records and snapshots are applied only
// if they extend past it. Hosts can therefore also exchange snapshots.
package keyed

import (
	"cmp"
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors returned by a Store.
var (
	// ErrTrimmed means that the requested records are not in the log, or no longer.
	ErrTrimmed = eris.New("the records are not in the log")
	// ErrConflict means that the condition of an append did not hold.
	ErrConflict = eris.New("the log does not end at the expected offset")
	// ErrRefused means that the call had no effect.
	ErrRefused = eris.New("the store refused the call")
	// ErrOutdated means that a reply is older than what is known.
	ErrOutdated = eris.New("the reply is older than what is known")
	// ErrUnanswered means that the outcome is unknown: the call may have taken
	// effect or may still do so.
	ErrUnanswered = eris.New("the store did not answer")
)

// Record is a record of a keyed topic. A record without a value deletes its
// key.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// Partition identifies a partition of a topic. Each partition can be
// unavailable independently of the others.
type Partition struct {
	Topic  string
	Number int
}

// Position is an offset in a partition, and the era in which the store issued it.
//
// The store may be restored from an older copy. Its era then rises, the records
// after the copy are gone, and their offsets are issued again.
type Position struct {
	Era    uint64 `cbor:"3,keyasint,omitempty"`
	Offset uint64 `cbor:"1,keyasint"`
}

// Compare orders positions by era, then by offset.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Source is the way by which records reached this host.
type Source string

// The sources of records.
const (
	// SourceLog is the store itself.
	SourceLog Source = "log"
	// SourceReader is a host that reads the store for others.
	SourceReader Source = "reader"
	// SourceState is the state that another host has read.
	SourceState Source = "state"
	// SourceCopy is a copy of the records in another partition.
	SourceCopy Source = "copy"
)

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Offsets are those of the records, some of which may be left out because a later one
	// replaces them; nil if the records are consecutive.
	Offsets []uint64
	// Next is the position that follows the records, Remaining the number of records that
	// the store had after them.
	Next      Position
	Remaining uint64
	Source    Source
	// ConfirmedAt is when the store is known to have held nothing from Next on; zero if
	// it may have held more.
	ConfirmedAt time.Time
}

// offset returns the offset of a record of a batch that was read from a position.
func (b *Batch) offset(from Position, index int) uint64 {
	if index < len(b.Offsets) {
		return b.Offsets[index]
	}
	return from.Offset + uint64(index)
}

// IsConsecutive reports whether a batch that was read from a position has all records up to
// Next.
func (b *Batch) IsConsecutive(from Position) bool {
	return uint64(len(b.Records)) == b.Next.Offset-from.Offset
}

// Store is a client of the shared log.
type Store interface {
	// Newest returns the newest record of each key. The result reflects every
	// record before its position and may reflect later ones.
	Newest(ctx context.Context, partition Partition) (Snapshot, error)
	// Read returns the records starting at a position. If there are none, it waits
	// up to wait for new ones. It fails with ErrTrimmed if the log does not have the
	// records.
	Read(ctx context.Context, partition Partition, from Position, wait time.Duration) (Batch, error)
	// Append adds a record and returns the new end of the partition. If
	// expectedEnd is not nil, it fails with ErrConflict unless the partition
	// ends at that offset.
	Append(ctx context.Context, partition Partition, record Record, expectedEnd *uint64) (end Position, err error)
}

// Snapshot holds the value of each key as of a position.
type Snapshot struct {
	Position
	Values map[string][]byte `cbor:"2,keyasint"`
	// Earlier is the position that had been read before the store was restored last,
	// Kept the keys whose state in Values is from before that. A store returns
	// neither.
	Earlier Position              `cbor:"4,keyasint"`
	Kept    map[string]KeptRecord `cbor:"5,keyasint,omitempty"`
	Source  Source                `cbor:"-"`
	// ConfirmedAt is when the store is known to have held nothing from Position on; zero
	// if that is unknown.
	ConfirmedAt time.Time `cbor:"-"`
}

// KeptRecord is a key whose value, or whose absence, was read before the store was
// restored from an older copy.
type KeptRecord struct {
	_ struct{} `cbor:",toarray"`
	// Stored is the value in the store; nil if the store does not have the key.
	Stored []byte
	// ForMillis is the time until the store's state is put in force.
	ForMillis int64
}
