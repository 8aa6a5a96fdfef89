package member

import (
	"math"
	"time"
)

// Timing are the periods and timeouts of the protocol.
type Timing struct {
	// Period is the time between two probes by a host of a large fleet, and
	// SmallPeriod that of a fleet of at most SmallFleet hosts, whose members
	// are each watched by few others.
	Period, SmallPeriod time.Duration
	// Attempt is the time between the pings of one probe.
	Attempt time.Duration
	// Attempts is the number of pings after which a silent host is suspected.
	Attempts int
	// RelayFrom is the ping from which on other hosts are asked to ping, too.
	RelayFrom int
	// Relays is how many other hosts are asked at each such ping.
	Relays int
	// Suspicion is how long a suspect has to refute, in a fleet of ten.
	Suspicion time.Duration
	// Contact is the time between pings to hosts that are gone, and to seeds
	// where no member is known.
	Contact time.Duration
	// Sync is the least time between two comparisons of state, and BusySync the
	// same when news came within the time Quiet.
	Sync, BusySync, Quiet time.Duration
	// Forget is how long hosts that are gone are kept.
	Forget time.Duration
	// Stall is by how much a timer must be late for this process to count as
	// paused itself; it then suspects nobody for that time.
	Stall time.Duration
}

// SmallFleet is the largest number of hosts that probe at SmallPeriod.
const SmallFleet = 16

// DefaultTiming is the timing of today's fleets.
func DefaultTiming() Timing {
	return Timing{
		Period:      500 * time.Millisecond,
		SmallPeriod: 250 * time.Millisecond,
		Attempt:     40 * time.Millisecond,
		Attempts:    18,
		RelayFrom:   3,
		Relays:      3,
		Suspicion:   3 * time.Second,
		Contact:     2 * time.Second,
		Sync:        2 * time.Second,
		BusySync:    4 * time.Second,
		Quiet:       time.Second,
		Forget:      time.Hour,
		Stall:       200 * time.Millisecond,
	}
}

func (t Timing) period(fleet int) time.Duration {
	if fleet <= SmallFleet {
		return t.SmallPeriod
	}
	return t.Period
}

// suspicion grows with the time that news needs to reach all of the fleet.
func (t Timing) suspicion(fleet int) time.Duration {
	return time.Duration(float64(t.Suspicion) * max(1, math.Log10(float64(fleet))))
}
