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

// Source reads a stream of the log service.
type Source interface {
	// Read returns up to limit records from the offset on, or none at the tail.
	// If the offset was trimmed away, the records start at FirstOffset.
	Read(ctx context.Context, stream string, from uint64, limit int) (platform.ReadResponse, error)
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
