// Package keyed follows a topic of the platform's shared log in which the
// newest record of each key counts.
//
// A Topic never goes back: records and snapshots are taken only if they reach
// beyond the offset that it has. So hosts may also hand each other snapshots.
package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store.
var (
	// ErrTrimmed is returned for records that the log has dropped.
	ErrTrimmed = eris.New("the records are no longer in the log")
	// ErrConflict is returned for an append whose condition does not hold.
	ErrConflict = eris.New("the log does not end at the expected offset")
	// ErrRefused is returned when the store did nothing.
	ErrRefused = eris.New("the store refused the call")
	// ErrUnanswered is returned when it is unknown whether the store has done
	// the call or will still do it.
	ErrUnanswered = eris.New("the store did not answer")
)

// Record is one record of a keyed topic. A record without a value removes its
// key.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// Partition is a partition of a topic. Partitions can be unavailable one by one.
type Partition struct {
	Topic  string
	Number int
}

// Store is the shared log.
type Store interface {
	// Newest lists the newest record of each key. All records before the
	// returned offset are reflected; later ones may be.
	Newest(ctx context.Context, partition Partition) (records []Record, end uint64, err error)
	// Read returns the records from an offset on and the offset after them. It
	// waits for records no longer than given. It fails with ErrTrimmed.
	Read(ctx context.Context, partition Partition, from uint64, wait time.Duration) (records []Record, next uint64, err error)
	// Append adds a record. With a condition, it fails with ErrConflict unless
	// the partition ends at the given offset. It returns its new end.
	Append(ctx context.Context, partition Partition, record Record, expectedEnd *uint64) (end uint64, err error)
}

// Snapshot is all that is known of a topic.
type Snapshot struct {
	Next   uint64            `cbor:"1,keyasint"`
	Values map[string][]byte `cbor:"2,keyasint"`
}
