package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// stillLimit is the time between two ticks from which the host counts as having
// stood still: other hosts have given it up by then.
const stillLimit = 1500 * time.Millisecond

// stillness finds out that the process did not run for a while. Go's steady
// clock does not count the time in which a machine is suspended, so it asks the
// clock that does.
type stillness struct{ last time.Duration }

func newStillness() *stillness { return &stillness{last: sinceBoot()} }

// sinceBoot is the time since the machine's start, or 0 if it cannot be told.
func sinceBoot() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// check returns how long the process did not run since the last call, if that
// is long.
func (s *stillness) check() time.Duration {
	now := sinceBoot()
	gap := now - s.last
	s.last = now
	if gap < stillLimit {
		return 0
	}
	return gap
}
