package member

import (
	"math"
	"time"
)

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// ProbeInterval is the time between two probes by a host of a large fleet,
	// and SmallFleetProbeInterval that in a fleet of at most MaxSmallFleet
	// hosts, where each member is probed by only a few others.
	ProbeInterval, SmallFleetProbeInterval time.Duration
	// PingInterval is the time between the pings of one probe.
	PingInterval time.Duration
	// MaxPings is the number of pings without a response after which a host is
	// suspected.
	MaxPings int
	// FirstRelayedPing is the number of the ping from which on other hosts are
	// asked to ping as well.
	FirstRelayedPing int
	// Relays is how many other hosts are asked at each such ping.
	Relays int
	// SuspicionTimeout is how long a suspect has to refute, in a fleet of ten
	// hosts.
	SuspicionTimeout time.Duration
	// ReconnectInterval is the time between pings to dead hosts, and to seeds
	// at which no member is known.
	ReconnectInterval time.Duration
	// SyncInterval is the minimum time between two comparisons of state, and
	// BusySyncInterval that for hosts that received changes within QuietTime.
	SyncInterval, BusySyncInterval, QuietTime time.Duration
	// GoneTTL is how long hosts that are gone are kept.
	GoneTTL time.Duration
	// SuspendThreshold is how late a timer must be for this process to conclude
	// that it was suspended itself. It then restarts its probes and extends the
	// timeouts of all others, so that it suspects nobody for the time in which
	// it did not run.
	SuspendThreshold time.Duration
}

// MaxSmallFleet is the largest number of hosts that probe at
// SmallFleetProbeInterval.
const MaxSmallFleet = 16

// DefaultTiming returns the default timing.
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

// suspicionTimeout grows with the time that a broadcast needs to reach the
// whole fleet.
func (t Timing) suspicionTimeout(fleetSize int) time.Duration {
	return time.Duration(float64(t.SuspicionTimeout) * max(1, math.Log10(float64(fleetSize))))
}
