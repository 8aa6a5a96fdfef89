package duty

import "time"

// Config configures the lease of a host. Its durations are derived from the time within
// which the duties must not return to a host.
type Config struct {
	// Holder is the name of this host, Incarnation identifies its process.
	Holder      string
	Incarnation int64
	// LeaseDuration is how long a lease lasts after a renewal, and the time within
	// which the duties must not return to a host.
	LeaseDuration time.Duration
	// IsFenced is set if the receivers of calls refuse old fencing tokens.
	IsFenced bool
}

const (
	// renewalsPerLease is how many renewals there are in a lease.
	renewalsPerLease = 3
	// minPollShare is the part of the time between two renewals that is the least between
	// two polls.
	minPollShare = 5
	// sendMarginShare is the part of a lease, at its end, in which nothing is sent any
	// more, so that a call arrives within the lease.
	sendMarginShare = 6
	// watchMarginShare is the part of a lease by which the watch of another host's
	// lease is longer.
	watchMarginShare = 10
	// unfencedMargin is how much longer the watch is if no fence stops a late call.
	unfencedMargin = time.Second
	// releaseDelay is the time from the last send of a host that stops to the release:
	// calls in progress end within it.
	releaseDelay = time.Second
	// retryDelay is the delay after a call that the store has refused or not answered.
	retryDelay = 300 * time.Millisecond
)

func (c Config) interval() time.Duration { return c.LeaseDuration / renewalsPerLease }

// watch returns how long a claim must stand unrenewed until another host takes over.
func (c Config) watch() time.Duration {
	watch := c.LeaseDuration + c.LeaseDuration/watchMarginShare
	if !c.IsFenced {
		watch += unfencedMargin
	}
	return watch
}

// returnDelay returns how long after its last lease a host may hold the duties again,
// if another one may have held them in between.
func (c Config) returnDelay() time.Duration {
	return c.LeaseDuration + c.LeaseDuration/watchMarginShare
}
