// Package reach decides which endpoints of a service a host has no path to, and whether
// it has lost the service. It judges by new connections alone: open ones may live on
// while new ones fail, and a response that stays away may be the endpoint's fault.
//
// The functions read no clock: the time is passed in.
package reach

import "time"

const (
	// lostAfter is the least number of endpoints out of reach from which a service may
	// count as lost. Of a smaller service, all endpoints count.
	lostAfter = 3
	// successAge is the age up to which a new connection shows that an endpoint is in
	// reach.
	successAge = 3 * time.Second
	// retryInterval is the least time between attempts to connect to an endpoint that is
	// out of reach.
	retryInterval = 500 * time.Millisecond
	// checkAfter is the number of endpoints out of reach from which others are checked,
	// maxChecks the number of those that are.
	checkAfter = 2
	maxChecks  = 8
)

// Tracker tracks the paths to the endpoints of one service.
type Tracker struct {
	// failedAt holds when each endpoint that is out of reach could last not be connected
	// to, openedAt when the last connection to each other one was opened.
	failedAt, openedAt map[string]time.Time
}

// NewTracker returns a tracker of a service whose endpoints are all in reach.
func NewTracker() *Tracker {
	return &Tracker{failedAt: map[string]time.Time{}, openedAt: map[string]time.Time{}}
}

// RecordFailure records that an endpoint could not be connected to.
func (t *Tracker) RecordFailure(endpoint string, now time.Time) {
	t.failedAt[endpoint] = now
	delete(t.openedAt, endpoint)
}

// RecordSuccess records a new connection to an endpoint, and reports whether it was out
// of reach.
func (t *Tracker) RecordSuccess(endpoint string, now time.Time) (wasOutOfReach bool) {
	wasOutOfReach = t.IsOutOfReach(endpoint)
	delete(t.failedAt, endpoint)
	t.openedAt[endpoint] = now
	return wasOutOfReach
}

// Forget removes an endpoint that has left.
func (t *Tracker) Forget(endpoint string) {
	delete(t.failedAt, endpoint)
	delete(t.openedAt, endpoint)
}

// IsOutOfReach reports whether the last new connection to an endpoint failed.
func (t *Tracker) IsOutOfReach(endpoint string) bool {
	_, failed := t.failedAt[endpoint]
	return failed
}

// IsLost reports whether this host can reach less than half of the service's endpoints,
// of those that it has connected to lately. endpoints is the number of those in use.
func (t *Tracker) IsLost(endpoints int, now time.Time) bool {
	if len(t.failedAt) == 0 || len(t.failedAt) < min(lostAfter, endpoints) {
		return false
	}
	inReach := 0
	for _, at := range t.openedAt {
		if now.Sub(at) < successAge {
			inReach++
		}
	}
	return len(t.failedAt) > inReach
}

// Probes returns which of the endpoints in use to connect to: those that are out of
// reach, and some of the others if several are.
func (t *Tracker) Probes(endpoints []string, now time.Time) []string {
	var probes []string
	checks := 0
	for _, id := range endpoints {
		failedAt, failed := t.failedAt[id]
		openedAt := t.openedAt[id]
		switch {
		case failed && now.Sub(failedAt) >= retryInterval:
			probes = append(probes, id)
		case !failed && len(t.failedAt) >= checkAfter && checks < maxChecks && now.Sub(openedAt) >= successAge:
			checks++
			probes = append(probes, id)
		}
	}
	return probes
}
