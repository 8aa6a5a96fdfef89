package journal

import (
	"context"
	"sync"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/witness"
)

const (
	// maxRecordsPerRead limits the log records that one read requests.
	maxRecordsPerRead = 256
	// maxIndexedKeys limits the keys in a reader's index. The oldest half is
	// dropped when it is reached.
	maxIndexedKeys = 1 << 20
)

// Reader looks up keys in the log. Its index maps the hash of a key to the
// offset of the key's latest log record and is extended to the tail of the log
// at each lookup. It is safe for concurrent use.
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

// Find returns the latest state of the key in the log up to its current tail;
// found is false if there is none. It fails with the error of the LogReader.
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

// catchUp extends the index to the tail of the log.
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
	return r.log.Read(ctx, platform.Range{Stream: platform.StreamRequests, From: from, MaxRecords: limit})
}

// indexRecord adds the keys of one log record to the index. A record that cannot
// be decoded is skipped.
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

// readEntry returns the key's entry in the log record at the offset.
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

// readEntries returns the entries of the log record at the offset. There are
// none if the log no longer has the record.
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

// witnessRecord converts an entry to the record that a witness would return.
func witnessRecord(entry Entry) witness.Record {
	record := witness.Record{State: witness.StateIntended, Intent: entry.Intent}
	if entry.Final != nil {
		record.State = witness.StateFinished
		record.Result = *entry.Final
	}
	return record
}
