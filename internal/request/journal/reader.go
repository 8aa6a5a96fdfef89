package journal

import (
	"context"
	"sync"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/witness"
)

const (
	// readLimit is how many log records one read asks for.
	readLimit = 256
	// maxIndexed is how many keys a reader's index holds; beyond it the oldest
	// half is forgotten.
	maxIndexed = 1 << 20
)

// Reader looks keys up in the log. It keeps an index from the hash of a key to
// the offset of its latest log record and extends it, at each lookup, to the
// log's tail. It is safe for concurrent use.
type Reader struct {
	source Source

	mu      sync.Mutex
	next    uint64
	current map[uint64]uint64
	older   map[uint64]uint64
	pages   pageCache
}

// NewReader returns a reader with an empty index.
func NewReader(source Source) *Reader {
	return &Reader{source: source, next: 1, current: make(map[uint64]uint64)}
}

// Find returns what the log has of the key, up to the tail as it is now; found
// is false if there is nothing. It fails with the source's error.
func (r *Reader) Find(ctx context.Context, k key.Key) (record witness.Record, found bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.extend(ctx); err != nil {
		return witness.Record{}, false, err
	}
	offset, indexed := r.lookUp(k.Hash())
	if !indexed {
		return witness.Record{}, false, nil
	}
	return r.fetch(ctx, k, offset)
}

// extend indexes the log up to its tail.
func (r *Reader) extend(ctx context.Context) error {
	for {
		page, err := r.read(ctx, r.next, readLimit)
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			r.index(record)
		}
		switch {
		case page.Trimmed:
			r.next = max(r.next+1, page.FirstOffset)
		case len(page.Records) == 0:
			return nil
		}
	}
}

func (r *Reader) read(ctx context.Context, from uint64, limit int) (platform.Page, error) {
	return r.source.Read(ctx, platform.Range{Stream: platform.StreamRequests, From: from, MaxRecords: limit})
}

// index notes the keys of one log record. A record of another form is skipped.
func (r *Reader) index(record platform.Record) {
	r.next = record.Offset + 1
	batch, err := decode(record.Data)
	if err != nil {
		return
	}
	for _, entry := range batch.Entries {
		r.current[entry.Intent.Key.Hash()] = record.Offset
	}
	if len(r.current) >= maxIndexed/2 {
		r.older = r.current
		r.current = make(map[uint64]uint64)
	}
}

func (r *Reader) lookUp(hash uint64) (uint64, bool) {
	if offset, ok := r.current[hash]; ok {
		return offset, true
	}
	offset, ok := r.older[hash]
	return offset, ok
}

// fetch reads the key's entry from the log record at the offset.
func (r *Reader) fetch(ctx context.Context, k key.Key, offset uint64) (witness.Record, bool, error) {
	entries, kept := r.pages.get(offset)
	if !kept {
		var err error
		if entries, err = r.fetchPage(ctx, offset); err != nil {
			return witness.Record{}, false, err
		}
		r.pages.put(offset, entries)
	}
	entry, found := entries[k]
	if !found {
		return witness.Record{}, false, nil
	}
	return describe(entry), true, nil
}

// fetchPage reads the entries of a log record; there are none if the log no
// longer has it.
func (r *Reader) fetchPage(ctx context.Context, offset uint64) (map[key.Key]Entry, error) {
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

// describe turns an entry into what a witness would have told.
func describe(entry Entry) witness.Record {
	record := witness.Record{State: witness.StateIntended, Intent: entry.Intent}
	if entry.Final != nil {
		record.State = witness.StateFinished
		record.Final = *entry.Final
	}
	return record
}
