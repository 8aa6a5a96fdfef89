package dispatch

import "mustarddoor/internal/process/fleet"

// EndpointChange describes a change in an endpoint's status and the failure
// statistics at that time.
type EndpointChange struct {
	// Kind is "added", "removed", "leaving", "paused", "brittle", "suspended", "address_reused", "limited"
	// or "unlimited".
	Kind  string
	Entry fleet.Entry
	// FailureRate is the recent share of failed requests, ConsecutiveFailures
	// the number of requests since the last success that got no complete
	// response.
	FailureRate         float64
	ConsecutiveFailures int
	// RateLimit is the limit that the endpoint names, in requests a second.
	RateLimit float64
}

// newEndpointChange captures an endpoint's statistics for a change. The caller
// holds mu.
func newEndpointChange(kind string, e *fleet.Endpoint) EndpointChange {
	change := EndpointChange{Kind: kind, Entry: e.Entry}
	change.FailureRate, change.ConsecutiveFailures = e.FailureStats()
	change.RateLimit = e.RateLimit().PerSecond
	return change
}

// newRateLimitChange captures a change of the limit that an endpoint names. The
// caller holds mu.
func newRateLimitChange(e *fleet.Endpoint) EndpointChange {
	if e.RateLimit().IsNamed {
		return newEndpointChange("limited", e)
	}
	return newEndpointChange("unlimited", e)
}

// notifyAll reports the changes to the notify callback. The caller must not
// hold mu.
func (d *Dispatcher) notifyAll(changes []EndpointChange) {
	for _, change := range changes {
		d.notify(change)
	}
}
