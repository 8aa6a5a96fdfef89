// Package hlc implements a hybrid logical clock: its timestamps stay close to
// the wall clock and preserve the causal order of messages between processes.
package hlc

import (
	"sync/atomic"
	"time"
)

// logicalBits is the number of low bits of a stamp that hold the logical
// counter, which orders events within one microsecond. On overflow, the counter
// carries into the microseconds.
const logicalBits = 12

// MaxAhead is the maximum by which a stamp from another host may be ahead of the
// local wall clock. Stamps further ahead are rejected, so that one wrong clock
// cannot advance the clocks of the whole fleet.
const MaxAhead = time.Minute

// Stamp is a timestamp in hybrid logical time. Greater stamps are later; zero is
// before all others.
type Stamp uint64

// At returns the smallest stamp of a wall-clock time.
func At(t time.Time) Stamp { return Stamp(t.UnixMicro()) << logicalBits }

// Time returns the wall-clock part of the stamp, with microsecond precision.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s >> logicalBits)) }

// Clock issues strictly increasing stamps. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// NewClock returns a clock that reads the given wall clock, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp greater than every stamp issued or observed before.
func (c *Clock) Now() Stamp {
	wall := uint64(At(c.wall()))
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe advances the clock to a stamp received with a message, so that all
// later stamps of this clock are greater. It returns false and ignores a stamp
// that is ahead of the wall clock by more than MaxAhead.
func (c *Clock) Observe(remote Stamp) bool {
	for {
		last := c.last.Load()
		if uint64(remote) <= last {
			return true
		}
		if remote > At(c.wall().Add(MaxAhead)) {
			return false
		}
		if c.last.CompareAndSwap(last, uint64(remote)) {
			return true
		}
	}
}
