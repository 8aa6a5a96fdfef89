package journal

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/witness"
)

// ErrSyntax is returned for a log record that is not an encoded Batch.
var ErrSyntax = eris.New("not a batch of request entries")

// Appender appends to streams of the log service.
type Appender interface {
	// Append appends the records in order, all or none, and returns the offset
	// of the first. After an error the records may nevertheless have been
	// appended.
	Append(ctx context.Context, stream string, records []platform.AppendRecord) (uint64, error)
}

// LogReader reads streams of the log service. It is implemented by platform.Log.
type LogReader interface {
	// Read reads a range of a stream. The page is empty at the tail; it is empty
	// with Trimmed set if the log no longer has the first record of the range.
	Read(ctx context.Context, part platform.Range) (platform.Page, error)
}

// Entry is the state of one request in the log.
type Entry struct {
	// Intent is the latest intent at the time the entry was written.
	Intent witness.Intent `cbor:"1,keyasint"`
	// Final is set if the request had ended by that time.
	Final *witness.Result `cbor:"2,keyasint,omitempty"`
}

// Batch is the content of one log record.
type Batch struct {
	Entries []Entry `cbor:"1,keyasint"`
}

func encode(records []witness.Unlogged) ([]byte, error) {
	batch := Batch{Entries: make([]Entry, len(records))}
	for i, record := range records {
		batch.Entries[i] = Entry{Intent: record.Intent, Final: record.Result}
	}
	return cbor.Marshal(batch)
}

func decode(data []byte) (Batch, error) {
	var batch Batch
	if err := cbor.Unmarshal(data, &batch); err != nil {
		return Batch{}, eris.Wrap(ErrSyntax, err.Error())
	}
	return batch, nil
}
