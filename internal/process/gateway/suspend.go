package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// suspendThreshold is the time between two ticks from which the process counts
// as having been suspended: other hosts consider it unreachable by then.
const suspendThreshold = 1500 * time.Millisecond

// longSuspension is the suspension after which the other hosts may well have ended.
const longSuspension = 5 * time.Second

// suspendDetector detects that the process did not run for some time. Go's
// monotonic clock excludes the time in which the machine is suspended, so it uses
// CLOCK_BOOTTIME, which includes it.
type suspendDetector struct {
	log  *logrus.Entry
	last time.Duration
	// clockFailed is true once reading the clock has failed and was logged.
	clockFailed bool
}

func newSuspendDetector(log *logrus.Entry) *suspendDetector {
	d := &suspendDetector{log: log}
	d.last = d.sinceBoot()
	return d
}

// sinceBoot returns the time since boot, or the last reading if the clock cannot
// be read.
func (d *suspendDetector) sinceBoot() time.Duration {
	now, err := sinceBoot()
	if err != nil {
		if !d.clockFailed {
			d.log.WithError(err).Warn("cannot read the boot-time clock, suspension of the machine is not detected")
		}
		d.clockFailed = true
		return d.last
	}
	return now
}

// sinceBoot returns the time since boot, with the time in which the machine was suspended.
func sinceBoot() (time.Duration, error) {
	now := unix.Timespec{}
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Duration(now.Nano()), err
}

// check returns how long the process did not run since the last call, or 0 if
// that is below the threshold.
func (d *suspendDetector) check() time.Duration {
	now := d.sinceBoot()
	gap := now - d.last
	d.last = now
	if gap < suspendThreshold {
		return 0
	}
	return gap
}
