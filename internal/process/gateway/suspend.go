package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// suspendThreshold is the time between two ticks from which the host counts as having
// stood still: other hosts have given it up by then.
const suspendThreshold = 1500 * time.Millisecond

// suspendDetector finds out that the process did not run for a while. Go's steady
// clock does not count the time in which a machine is suspended, so it asks the
// clock that does.
type suspendDetector struct {
	log  *logrus.Entry
	last time.Duration
	// clockFailed tells that the clock could not be read, which is logged once.
	clockFailed bool
}

func newSuspendDetector(log *logrus.Entry) *suspendDetector {
	d := &suspendDetector{log: log}
	d.last = d.sinceBoot()
	return d
}

// sinceBoot is the time since the machine's start, or the last one read if it
// cannot be told.
func (d *suspendDetector) sinceBoot() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		if !d.clockFailed {
			d.log.WithError(err).Warn("a suspended machine cannot be noticed")
		}
		d.clockFailed = true
		return d.last
	}
	return time.Duration(now.Nano())
}

// check returns how long the process did not run since the last call, if that
// is long.
func (d *suspendDetector) check() time.Duration {
	now := d.sinceBoot()
	gap := now - d.last
	d.last = now
	if gap < suspendThreshold {
		return 0
	}
	return gap
}
