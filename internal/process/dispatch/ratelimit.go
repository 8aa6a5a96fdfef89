package dispatch

import (
	"math"
	"time"

	"mustarddoor/internal/process/fleet"
)

const (
	// minRateLimit is the lowest limit that is observed: hosts learn the end of a
	// limit only from responses.
	minRateLimit = 0.1
	// baseRateHosts is the number of hosts that may use an endpoint which names a
	// limit below one a second. Each host may send one request at any time, and
	// the platform tolerates five.
	baseRateHosts = 4
	// rateBurstDuration is the part of a share that may be sent at once, beyond
	// that request.
	rateBurstDuration = 400 * time.Millisecond
	// rateLimitNews is how long a change of a limit is repeated in every message.
	rateLimitNews = 2 * time.Second
	// endedLimitMemory is how long the end of a limit is told to other hosts.
	endedLimitMemory = 30 * time.Second
)

// shareRateLimit sets this host's share of the limit that an endpoint names. The
// shares of all hosts add up to the limit, so that it holds without messages. The
// caller holds mu.
func (d *Dispatcher) shareRateLimit(e *fleet.Endpoint, now time.Time) {
	limit := e.RateLimit()
	if !limit.IsNamed {
		return
	}
	perSecond := max(limit.PerSecond, minRateLimit)
	// A host with less than a request now and then would never use its share.
	hosts := int(min(float64(d.hostCount), baseRateHosts+math.Floor(perSecond)))
	if !d.isAmongFirst(e, hosts) {
		e.SetRateShare(0, 0, now)
		return
	}
	rate := perSecond / float64(hosts)
	e.SetRateShare(rate, 1+rate*rateBurstDuration.Seconds(), now)
}

// recordRateLimitChange applies a changed limit. The caller holds mu.
func (d *Dispatcher) recordRateLimitChange(e *fleet.Endpoint, now time.Time) EndpointChange {
	d.shareRateLimit(e, now)
	d.rateLimitsChangedAt = now
	return newRateLimitChange(e)
}

// RateLimits returns the limits that endpoints name, or named until lately, by
// hashed endpoint ID. Unless isFull is set, it returns none if no limit has changed
// lately.
func (d *Dispatcher) RateLimits(isFull bool) map[uint32]fleet.RateLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !isFull && now.Sub(d.rateLimitsChangedAt) > rateLimitNews {
		return nil
	}
	limits := map[uint32]fleet.RateLimit{}
	d.fleet.All(func(e *fleet.Endpoint) {
		if limit := e.RateLimit(); limit.IsNamed || now.Sub(limit.ObservedAt) < endedLimitMemory {
			limits[e.Hash] = limit
		}
	})
	return limits
}

// AdoptRateLimits records the limits that another host knows of.
func (d *Dispatcher) AdoptRateLimits(limits map[uint32]fleet.RateLimit) {
	if len(limits) == 0 {
		return
	}
	d.mu.Lock()
	now := time.Now()
	var changes []EndpointChange
	for hash, limit := range limits {
		if e := d.fleet.ByHash(hash); e != nil && e.AdoptRateLimit(limit) {
			changes = append(changes, d.recordRateLimitChange(e, now))
		}
	}
	d.mu.Unlock()
	d.notifyAll(changes)
}
