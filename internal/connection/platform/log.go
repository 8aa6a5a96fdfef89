package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the platform's services. After ErrUnavailable an append surely did
// not take effect; after ErrUncertain it may have.
var (
	ErrUnavailable = eris.New("platform service is unavailable")
	ErrUncertain   = eris.New("append may have taken effect")
	ErrRefused     = eris.New("platform service refused the request")
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends the batch once and returns the offset of its first
	// record. If a reply is lost it looks for the record's id before it tries
	// again. It fails with ErrUnavailable, ErrRefused or an UncertainError.
	Append(ctx context.Context, batch Batch) (uint64, error)
	// Read reads a part of a stream. It fails with ErrUnavailable or
	// ErrRefused. Records that the log no longer has are no error: see
	// Page.Trimmed.
	Read(ctx context.Context, requested Range) (Page, error)
}

// Batch is what one append adds, all records or none.
type Batch struct {
	Stream  string
	Records []AppendRecord
	// Since is zero for a first attempt. To go on after an UncertainError it
	// is that error's Since: the records are looked for from there on before
	// they are appended again.
	Since uint64
}

// Range selects a part of a stream.
type Range struct {
	Stream string
	// From is the first offset wanted, from 1.
	From uint64
	// MaxRecords bounds the number of records.
	MaxRecords int
	// Wait is how long the log may hold the request while it has no record.
	Wait time.Duration
}

// Page is a part of a stream as read.
type Page struct {
	Records []Record
	// FirstOffset is the oldest offset that the log still has.
	FirstOffset uint64
	// NextOffset is the offset that the next append will get.
	NextOffset uint64
	// Trimmed tells that the log no longer has the first record wanted. The
	// page then holds no records.
	Trimmed bool
}

// UncertainError tells that an append may have taken effect. It matches
// ErrUncertain.
type UncertainError struct {
	Stream string
	// Since is the offset from which the records may stand in the stream.
	Since uint64
	Cause error
}

// Error names the stream and the offset.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("append to %s may have taken effect from offset %d on: %v", e.Stream, e.Since, e.Cause)
}

// Is matches ErrUncertain.
func (e *UncertainError) Is(target error) bool { return target == ErrUncertain }

// Unwrap gives the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
