package flow

import (
	"context"
	"sync"
	"time"

	"mustarddoor/internal/request/key"
)

// readerTable counts the callers that read each running request's answer, so
// that a request that nobody waits for can be cancelled.
type readerTable struct {
	mu      sync.Mutex
	entries map[key.Key]*readers
}

// readers are the callers of one request.
type readers struct {
	table *readerTable
	key   key.Key
	count int
	// generation counts how often the last caller has left.
	generation uint64
	ctx        context.Context
	cancel     context.CancelFunc
}

func newReaderTable() *readerTable {
	return &readerTable{entries: map[key.Key]*readers{}}
}

// join adds a caller.
func (t *readerTable) join(k key.Key) *readers {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[k]
	if entry == nil {
		entry = &readers{table: t, key: k}
		entry.ctx, entry.cancel = context.WithCancel(context.Background())
		t.entries[k] = entry
	}
	entry.count++
	return entry
}

// returnTime is how long a request goes on after its last caller has left, so
// that a caller whose connection broke can come back, also through another
// host.
const returnTime = 3 * time.Second

// leave removes a caller. Some time after the last one has left the request's
// context ends.
func (e *readers) leave() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.count--
	if e.count == 0 {
		e.generation++
		generation := e.generation
		time.AfterFunc(returnTime, func() { e.expire(generation) })
	}
}

// expire ends the request's context unless a caller has come since.
func (e *readers) expire(generation uint64) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.count == 0 && e.generation == generation {
		delete(e.table.entries, e.key)
		e.cancel()
	}
}

// gone gives a context that ends when the last caller has left, or never if
// the answer must be kept.
func (e *readers) gone(keepAnswer bool) context.Context {
	if keepAnswer {
		return context.Background()
	}
	return e.ctx
}
