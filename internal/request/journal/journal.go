// Package journal keeps intents and outcomes of requests in the platform's
// log, off the request's path, so that they outlive both owner and witness.
package journal

import (
	"context"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/witness"
)

// Appender appends to a stream of the log service.
type Appender interface {
	// Append appends the records in order, all or none. After an error they may
	// have been appended all the same. It returns the first record's offset.
	Append(ctx context.Context, stream string, records []platform.AppendRecord) (uint64, error)
}

// Source reads a stream of the log service.
type Source interface {
	// Read returns up to limit records from the offset on, or none at the tail.
	// If the offset was trimmed away, the records start at FirstOffset.
	Read(ctx context.Context, stream string, from uint64, limit int) (platform.ReadResponse, error)
}

// Entry is what the log keeps of one request.
type Entry struct {
	Key key.Key `cbor:"1,keyasint"`
	// Intent is the intent that stood when the entry was written.
	Intent witness.Intent `cbor:"2,keyasint"`
	// Final is set if the request had ended by then.
	Final witness.Final `cbor:"3,keyasint,omitempty"`
}
