package journal

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/witness"
)

// ErrSyntax is returned for a log record that is not a batch of entries.
var ErrSyntax = eris.New("not a batch of request entries")

// Appender appends to a stream of the log service.
type Appender interface {
	// Append appends the records in order, all or none. After an error they may
	// have been appended all the same. It returns the first record's offset.
	Append(ctx context.Context, stream string, records []platform.AppendRecord) (uint64, error)
}

// LogReader reads streams of the log service; platform.Log is one.
type LogReader interface {
	// Read reads a part of a stream. A page is empty at the tail and, with
	// Trimmed set, where the log no longer has the record wanted.
	Read(ctx context.Context, part platform.Range) (platform.Page, error)
}

// Entry is what the log keeps of one request.
type Entry struct {
	// Intent is the intent that stood when the entry was written.
	Intent witness.Intent `cbor:"1,keyasint"`
	// Final is set if the request had ended by then.
	Final *witness.Final `cbor:"2,keyasint,omitempty"`
}

// Batch is one record of the log.
type Batch struct {
	Entries []Entry `cbor:"1,keyasint"`
}

func encode(records []witness.Unlogged) ([]byte, error) {
	batch := Batch{Entries: make([]Entry, len(records))}
	for i, record := range records {
		batch.Entries[i] = Entry{Intent: record.Intent, Final: record.Final}
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
