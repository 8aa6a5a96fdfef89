package transfer

import (
	"context"
	"io"
	"sync"
	"time"
)

// maxDuration limits a transfer from its first byte on. The state that it brings is too old
// after that, and another source may be faster.
const maxDuration = 4 * time.Second

// deadlineContext is a context whose deadline moves while a reply arrives.
type deadlineContext struct {
	context.Context
	done chan struct{}
	// stall is how long a reply that has begun may make no progress.
	stall time.Duration

	mu       sync.Mutex
	deadline time.Time
	// latest limits deadline; zero until the reply has begun.
	latest time.Time
	timer  *time.Timer
	err    error
}

type contextKey struct{}

// WithTimeout returns a context for a call whose reply begins within wait and timeout, and
// makes progress at least once in each timeout after that. A fixed time for the whole reply
// would never be enough for one that is too large for the link.
//
// It is done with context.DeadlineExceeded, or when parent is. The caller calls cancel to
// release its resources.
func WithTimeout(parent context.Context, wait, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	c := &deadlineContext{Context: parent, done: make(chan struct{}), stall: timeout, deadline: time.Now().Add(wait + timeout)}
	c.mu.Lock() // expire may be called before AfterFunc has returned
	c.timer = time.AfterFunc(wait+timeout, c.expire)
	c.mu.Unlock()
	stop := context.AfterFunc(parent, func() { c.end(parent.Err()) })
	return c, func() {
		stop()
		c.end(context.Canceled)
	}
}

// Deadline implements context.Context. It returns the present deadline.
func (c *deadlineContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, true
}

// Done implements context.Context.
func (c *deadlineContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *deadlineContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Value implements context.Context.
func (c *deadlineContext) Value(key any) any {
	if key == (contextKey{}) {
		return c
	}
	return c.Context.Value(key)
}

func (c *deadlineContext) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	c.timer.Stop()
	close(c.done)
}

// expire ends the context, unless its deadline has moved.
func (c *deadlineContext) expire() {
	c.mu.Lock()
	left := time.Until(c.deadline)
	if left > 0 && c.err == nil {
		c.timer.Reset(left)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.end(context.DeadlineExceeded)
}

// progress moves the deadline, as a part of the reply has arrived.
func (c *deadlineContext) progress(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest.IsZero() {
		c.latest = now.Add(maxDuration)
	}
	moved := now.Add(c.stall)
	if moved.After(c.latest) {
		moved = c.latest
	}
	if moved.After(c.deadline) {
		c.deadline = moved
	}
}

// HasBegun reports whether a reply to a call with this context, or with one derived from it,
// has begun to arrive.
func HasBegun(ctx context.Context) bool {
	c, found := ctx.Value(contextKey{}).(*deadlineContext)
	if !found {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.latest.IsZero()
}

// progressReader moves the deadlines of a context and its parents with each read.
type progressReader struct {
	ctx    context.Context
	reader io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(data []byte) (int, error) {
	n, err := r.reader.Read(data)
	if n > 0 {
		now := time.Now()
		c, _ := r.ctx.Value(contextKey{}).(*deadlineContext)
		for c != nil {
			c.progress(now)
			c, _ = c.Context.Value(contextKey{}).(*deadlineContext)
		}
	}
	return n, err
}
