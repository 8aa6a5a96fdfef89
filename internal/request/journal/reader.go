package journal

import (
	"context"
	"sync"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/witness"
)

const (
	// maxRecordsPerRead is how many log records one read asks for.
	maxRecordsPerRead = 256
	// maxIndexedKeys is how many keys a reader's index holds; beyond it the oldest
	// half is forgotten.
	maxIndexedKeys = 1 << 20
)

// Reader looks keys up in the log. It keeps an index from the hash of a key to
// the offset of its latest log record and extends it, at each lookup, to the
// log's tail. It is safe for concurrent use.
type Reader struct {
	log LogReader

	mu         sync.Mutex
	nextOffset uint64
	current    map[uint64]uint64
	older      map[uint64]uint64
	cache      recordCache
}

// NewReader returns a reader with an empty index.
func NewReader(log LogReader) *Reader {
	return &Reader{log: log, nextOffset: 1, current: make(map[uint64]uint64)}
}

// Find returns what the log has of the key, up to the tail as it is now; found
// is false if there is nothing. It fails with the source's error.
func (r *Reader) Find(ctx context.Context, k key.Key) (record witness.Record, found bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.catchUp(ctx); err != nil {
		return witness.Record{}, false, err
	}
	offset, indexed := r.latestOffset(k.Hash())
	if !indexed {
		return witness.Record{}, false, nil
	}
	return r.readEntry(ctx, k, offset)
}

// catchUp indexes the log up to its tail.
func (r *Reader) catchUp(ctx context.Context) error {
	for {
		page, err := r.read(ctx, r.nextOffset, maxRecordsPerRead)
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			r.indexRecord(record)
		}
		switch {
		case page.Trimmed:
			r.nextOffset = max(r.nextOffset+1, page.FirstOffset)
		case len(page.Records) == 0:
			return nil
		}
	}
}

func (r *Reader) read(ctx context.Context, from uint64, limit int) (platform.Page, error) {
	return r.log.Read(ctx, platform.Range{Stream: platform.StreamRequests, From: from, Max: limit})
}

// indexRecord notes the keys of one log record. A record of another form is skipped.
func (r *Reader) indexRecord(record platform.Record) {
	r.nextOffset = record.Offset + 1
	batch, err := decode(record.Data)
	if err != nil {
		return
	}
	for _, entry := range batch.Entries {
		r.current[entry.Intent.Key.Hash()] = record.Offset
	}
	if len(r.current) >= maxIndexedKeys/2 {
		r.older = r.current
		r.current = make(map[uint64]uint64)
	}
}

func (r *Reader) latestOffset(hash uint64) (uint64, bool) {
	if offset, ok := r.current[hash]; ok {
		return offset, true
	}
	offset, ok := r.older[hash]
	return offset, ok
}

// readEntry reads the key's entry from the log record at the offset.
func (r *Reader) readEntry(ctx context.Context, k key.Key, offset uint64) (witness.Record, bool, error) {
	entries, cached := r.cache.get(offset)
	if !cached {
		var err error
		if entries, err = r.readEntries(ctx, offset); err != nil {
			return witness.Record{}, false, err
		}
		r.cache.put(offset, entries)
	}
	entry, found := entries[k]
	if !found {
		return witness.Record{}, false, nil
	}
	return witnessRecord(entry), true, nil
}

// readEntries reads the entries of a log record; there are none if the log no
// longer has it.
func (r *Reader) readEntries(ctx context.Context, offset uint64) (map[key.Key]Entry, error) {
	page, err := r.read(ctx, offset, 1)
	if err != nil || len(page.Records) == 0 {
		return nil, err
	}
	batch, err := decode(page.Records[0].Data)
	if err != nil {
		return nil, err
	}
	entries := make(map[key.Key]Entry, len(batch.Entries))
	for _, entry := range batch.Entries {
		entries[entry.Intent.Key] = entry
	}
	return entries, nil
}

// witnessRecord turns an entry into what a witness would have told.
func witnessRecord(entry Entry) witness.Record {
	record := witness.Record{State: witness.StateIntended, Intent: entry.Intent}
	if entry.Final != nil {
		record.State = witness.StateFinished
		record.Final = *entry.Final
	}
	return record
}
