package fleet

import (
	"time"

	"mustarddoor/internal/process/allowance"
)

// RateLimit is the number of requests a second that an endpoint accepts from all
// hosts together, as it last named it.
type RateLimit struct {
	// IsNamed is set while the endpoint names a limit.
	IsNamed   bool
	PerSecond float64
	// ObservedAt is when the endpoint last named the limit, or named none any more.
	ObservedAt time.Time
}

// RateLimit returns the endpoint's limit. The zero value means that it never named
// one.
func (e *Endpoint) RateLimit() RateLimit { return e.rateLimit }

// RecordRateLimit records the limit in a response to a request sent at sentAt, and
// reports whether the limit has changed. A response without a limit ends an earlier
// one only if its request was sent after that was last named: responses can
// overtake each other.
func (e *Endpoint) RecordRateLimit(isNamed bool, perSecond float64, sentAt, now time.Time) bool {
	previous := e.rateLimit
	switch {
	case isNamed:
		e.rateLimit = RateLimit{IsNamed: true, PerSecond: perSecond, ObservedAt: now}
	case previous.IsNamed && sentAt.After(previous.ObservedAt):
		e.rateLimit = RateLimit{ObservedAt: now}
	}
	return previous.IsNamed != e.rateLimit.IsNamed || previous.PerSecond != e.rateLimit.PerSecond
}

// AdoptRateLimit records what another host observed, unless this host knows
// something newer, and reports whether the limit has changed.
func (e *Endpoint) AdoptRateLimit(limit RateLimit) bool {
	previous := e.rateLimit
	if !limit.ObservedAt.After(previous.ObservedAt) {
		return false
	}
	e.rateLimit = limit
	return previous.IsNamed != limit.IsNamed || previous.PerSecond != limit.PerSecond
}

// SetRateShare sets this host's share of the limit that the endpoint names, as a
// rate per second and a burst. A share that begins is empty: the requests before
// it were sent without regard to the limit.
func (e *Endpoint) SetRateShare(rate, burst float64, now time.Time) {
	if e.rateShare == nil {
		share := allowance.NewBucket(rate, burst, 0, now)
		e.rateShare = &share
		return
	}
	e.rateShare.Resize(rate, burst, now)
}

// isRateLimited reports whether this host has used up its share of the limit that
// the endpoint names.
func (e *Endpoint) isRateLimited(now time.Time) bool {
	return e.rateLimit.IsNamed && e.rateShare != nil && e.rateShare.Level(now) < 1
}

// HostRate returns the number of requests a second that this host may send while
// the endpoint names a limit, and whether it names one.
func (e *Endpoint) HostRate(now time.Time) (perSecond float64, isLimited bool) {
	switch {
	case !e.rateLimit.IsNamed || e.rateShare == nil:
		return 0, false
	case e.health.isSuspended(now):
		return 0, true
	}
	return e.rateShare.Rate, true
}
