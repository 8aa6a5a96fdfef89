// Package runclock provides a clock that does not advance while this process does not run.
//
// Messages that arrive in that time are read only afterwards. An age measured with this
// clock does not include a time in which nothing could be received.
package runclock

import (
	"sync"
	"time"
)

// maxStep is the most by which the clock advances between two readings. It is a multiple
// of the time between readings of a process that runs.
const maxStep = 300 * time.Millisecond

// Clock is a clock that its users read at least every 100 milliseconds. It is safe for
// concurrent use.
type Clock struct {
	mu     sync.Mutex
	readAt time.Time
	// stood is the time for which the process did not run.
	stood time.Duration
}

// New returns a clock that shows the current time.
func New() *Clock { return &Clock{readAt: time.Now()} }

// Stood returns for how long the process did not run, up to the last reading.
func (c *Clock) Stood() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stood
}

// Now returns the current time less the time for which the process did not run.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.stood += max(0, now.Sub(c.readAt)-maxStep)
	c.readAt = now
	return now.Add(-c.stood)
}
