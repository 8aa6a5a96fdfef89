package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// stillLimit is the time between two ticks from which the host counts as having
// stood still: other hosts have given it up by then.
const stillLimit = 1500 * time.Millisecond

// stillness finds out that the process did not run for a while. Go's steady
// clock does not count the time in which a machine is suspended, so it asks the
// clock that does.
type stillness struct {
	log  *logrus.Entry
	last time.Duration
	// failed tells that the clock could not be read, which is logged once.
	failed bool
}

func newStillness(log *logrus.Entry) *stillness {
	s := &stillness{log: log}
	s.last = s.sinceBoot()
	return s
}

// sinceBoot is the time since the machine's start, or the last one read if it
// cannot be told.
func (s *stillness) sinceBoot() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		if !s.failed {
			s.log.WithError(err).Warn("a suspended machine cannot be noticed")
		}
		s.failed = true
		return s.last
	}
	return time.Duration(now.Nano())
}

// check returns how long the process did not run since the last call, if that
// is long.
func (s *stillness) check() time.Duration {
	now := s.sinceBoot()
	gap := now - s.last
	s.last = now
	if gap < stillLimit {
		return 0
	}
	return gap
}
