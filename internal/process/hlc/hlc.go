// Package hlc is a hybrid logical clock: stamps that follow the wall clock
// closely and also respect the order of messages between processes.
package hlc

import (
	"sync/atomic"
	"time"
)

// logicalBits is how many low bits of a stamp order events within one
// microsecond. A full count carries over into the microseconds.
const logicalBits = 12

// MaxAhead bounds how far a stamp from another host may lead the local wall
// clock. Stamps further ahead are not taken over, so that one wrong clock
// cannot carry the fleet away.
const MaxAhead = time.Minute

// Stamp is a point in hybrid logical time. Greater stamps are later; zero is
// before all others.
type Stamp uint64

// At gives the first stamp of a wall-clock time.
func At(t time.Time) Stamp { return Stamp(t.UnixMicro()) << logicalBits }

// Time is the wall-clock part of the stamp, in microseconds.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s >> logicalBits)) }

// Clock gives out stamps that grow strictly. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// NewClock makes a clock over a wall clock, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now gives a stamp later than all that the clock gave out or observed.
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

// Observe takes over a stamp that came with a message, so that later stamps
// of this clock are greater. It reports false and ignores the stamp if it
// leads the wall clock by more than MaxAhead.
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
