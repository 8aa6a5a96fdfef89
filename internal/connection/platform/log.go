package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the platform's services. After ErrUnavailable an append certainly
// did not take effect; after ErrUncertain it may have.
var (
	ErrUnavailable = eris.New("platform service is unavailable")
	ErrUncertain   = eris.New("append may have taken effect")
	ErrRefused     = eris.New("platform service refused the request")
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends the batch once and returns the offset of its first record.
	// If a reply is lost, it searches the stream for the record's ID before it
	// sends the batch again. It fails with ErrUnavailable, ErrRefused or an
	// UncertainError.
	Append(ctx context.Context, batch Batch) (uint64, error)
	// Read reads a range of a stream. It fails with ErrUnavailable or
	// ErrRefused. Trimmed records are not an error: see Page.Trimmed.
	Read(ctx context.Context, requested Range) (Page, error)
}

// Batch is a list of records that are appended atomically.
type Batch struct {
	Stream  string
	Records []AppendRecord
	// Since is zero for a new batch. To retry after an UncertainError it is set
	// to Since of that error: the records are searched for from that offset on
	// before they are appended again.
	Since uint64
}

// Range selects records of a stream.
type Range struct {
	Stream string
	// From is the first requested offset. Offsets start at 1.
	From uint64
	// MaxRecords bounds the number of records.
	MaxRecords int
	// Wait is how long the log may delay the reply while it has no matching
	// record.
	Wait time.Duration
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// FirstOffset is the oldest offset that the log still holds.
	FirstOffset uint64
	// NextOffset is the offset of the next record to be appended.
	NextOffset uint64
	// Trimmed reports that the log has trimmed the first requested record. The
	// page then has no records.
	Trimmed bool
}

// UncertainError is returned if an append may have taken effect. It matches
// ErrUncertain.
type UncertainError struct {
	Stream string
	// Since is the lowest offset that the records may have in the stream.
	Since uint64
	Cause error
}

// Error names the stream and the offset.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("append to %s may have taken effect from offset %d on: %v", e.Stream, e.Since, e.Cause)
}

// Is reports whether target is ErrUncertain.
func (e *UncertainError) Is(target error) bool { return target == ErrUncertain }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
