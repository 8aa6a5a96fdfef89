package member

import (
	"math"
	"time"
)

// Timing are the periods and timeouts of the protocol.
type Timing struct {
	// ProbeInterval is the time between two probes by a host of a large fleet, and
	// SmallFleetProbeInterval that of a fleet of at most SmallFleet hosts, whose members
	// are each watched by few others.
	ProbeInterval, SmallFleetProbeInterval time.Duration
	// PingInterval is the time between the pings of one probe.
	PingInterval time.Duration
	// MaxPings is the number of pings after which a silent host is suspected.
	MaxPings int
	// FirstRelayedPing is the ping from which on other hosts are asked to ping, too.
	FirstRelayedPing int
	// Relays is how many other hosts are asked at each such ping.
	Relays int
	// SuspicionTimeout is how long a suspect has to refute, in a fleet of ten.
	SuspicionTimeout time.Duration
	// ReconnectInterval is the time between pings to hosts that are gone, and to seeds
	// where no member is known.
	ReconnectInterval time.Duration
	// SyncInterval is the least time between two comparisons of state, and BusySyncInterval the
	// same when news came within the time QuietTime.
	SyncInterval, BusySyncInterval, QuietTime time.Duration
	// GoneTTL is how long hosts that are gone are kept.
	GoneTTL time.Duration
	// SuspendThreshold is by how much a timer must be late for this process to count as
	// paused itself; it then suspects nobody for that time.
	SuspendThreshold time.Duration
}

// MaxSmallFleet is the largest number of hosts that probe at SmallPeriod.
const MaxSmallFleet = 16

// DefaultTiming is the timing of today's fleets.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:           500 * time.Millisecond,
		SmallFleetProbeInterval: 250 * time.Millisecond,
		PingInterval:            40 * time.Millisecond,
		MaxPings:                18,
		FirstRelayedPing:        3,
		Relays:                  3,
		SuspicionTimeout:        3 * time.Second,
		ReconnectInterval:       2 * time.Second,
		SyncInterval:            2 * time.Second,
		BusySyncInterval:        4 * time.Second,
		QuietTime:               time.Second,
		GoneTTL:                 time.Hour,
		SuspendThreshold:        200 * time.Millisecond,
	}
}

func (t Timing) probeInterval(fleetSize int) time.Duration {
	if fleetSize <= MaxSmallFleet {
		return t.SmallFleetProbeInterval
	}
	return t.ProbeInterval
}

// suspicionTimeout grows with the time that news needs to reach all of the fleet.
func (t Timing) suspicionTimeout(fleetSize int) time.Duration {
	return time.Duration(float64(t.SuspicionTimeout) * max(1, math.Log10(float64(fleetSize))))
}
