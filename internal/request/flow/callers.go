package flow

import (
	"context"
	"sync"
	"time"

	"mustarddoor/internal/request/key"
)

// callerTable counts the callers that read the response of each running
// request, so that a request without callers can be canceled.
type callerTable struct {
	mu      sync.Mutex
	entries map[key.Key]*requestCallers
}

// requestCallers counts the callers of one request.
type requestCallers struct {
	table *callerTable
	key   key.Key
	count int
	// generation counts how often the number of callers dropped to zero.
	generation uint64
	ctx        context.Context
	cancel     context.CancelFunc
}

func newCallerTable() *callerTable {
	return &callerTable{entries: map[key.Key]*requestCallers{}}
}

// join adds a caller to a request.
func (t *callerTable) join(k key.Key) *requestCallers {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[k]
	if entry == nil {
		entry = &requestCallers{table: t, key: k}
		entry.ctx, entry.cancel = context.WithCancel(context.Background())
		t.entries[k] = entry
	}
	entry.count++
	return entry
}

// reconnectTimeout is how long a request continues after its last caller has
// left, so that a caller whose connection broke can reconnect, possibly through
// another host.
const reconnectTimeout = 3 * time.Second

// leave removes a caller. The request's context is canceled reconnectTimeout
// after the last caller has left.
func (c *requestCallers) leave() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.count--
	if c.count == 0 {
		c.generation++
		generation := c.generation
		time.AfterFunc(reconnectTimeout, func() { c.expire(generation) })
	}
}

// expire cancels the request's context unless a caller has joined since.
func (c *requestCallers) expire(generation uint64) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.count == 0 && c.generation == generation {
		delete(c.table.entries, c.key)
		c.cancel()
	}
}

// context returns a context that is canceled after the last caller has left, or
// never if the response must be kept.
func (c *requestCallers) context(keepResponse bool) context.Context {
	if keepResponse {
		return context.Background()
	}
	return c.ctx
}
