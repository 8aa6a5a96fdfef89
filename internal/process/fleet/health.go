package fleet

import "time"

// Result is the result of a request at an endpoint.
type Result uint8

// The results.
const (
	// ResultSuccess is a complete response of the endpoint.
	ResultSuccess Result = iota + 1
	// ResultFailed is a response that reports a failure of the endpoint.
	ResultFailed
	// ResultRefused is a refusal that guarantees that the request did not run.
	ResultRefused
	// ResultIncomplete is a lost or truncated response.
	ResultIncomplete
	// ResultTimeout is a response that did not arrive in time.
	ResultTimeout
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable
	// ResultWrongEndpoint is a response from another endpoint at the same
	// address.
	ResultWrongEndpoint
	// ResultNeutral is a result that says nothing about the endpoint.
	ResultNeutral
)

const (
	// failureRateWeight is the weight of the newest result in the failure rate:
	// about the last ten results count.
	failureRateWeight = 0.1
	// suspendAfterFailures is the number of consecutive failures that suspend
	// an endpoint. Responses with ResultFailed do not count.
	suspendAfterFailures = 2
	// initialSuspension is the length of the first suspension. Each further one
	// is twice as long.
	initialSuspension = 500 * time.Millisecond
	maxSuspension     = 4 * time.Second
	// maxExcessFailureRate is the failure rate above the service's baseline
	// from which an endpoint gets only one request at a time from this host.
	maxExcessFailureRate = 0.35
)

// health is the endpoint's status, as derived from the results of this host's
// own requests.
type health struct {
	// failureRate is the recent share of failures, 0 to 1.
	failureRate float64
	// consecutiveFailures counts the failures since the last success, except
	// for ResultFailed: there, the endpoint did respond.
	consecutiveFailures int
	// suspension is the length of the last suspension, suspendedUntil its end.
	suspension     time.Duration
	suspendedUntil time.Time
	// probing is set from the start of a request until the next result. After a
	// suspension, it holds back further requests meanwhile.
	probing bool
	results int
}

// record adds a result and reports whether it starts a suspension.
func (h *health) record(result Result, now time.Time) bool {
	switch result {
	case ResultNeutral:
		h.probing = false
		return false
	case ResultSuccess:
		h.failureRate *= 1 - failureRateWeight
		h.consecutiveFailures, h.suspension, h.probing = 0, 0, false
	case ResultRefused:
		h.probing = false
		return false
	default:
		h.failureRate += (1 - h.failureRate) * failureRateWeight
		h.probing = false
		if result != ResultFailed {
			h.consecutiveFailures++
		}
	}
	h.results++
	if h.consecutiveFailures < suspendAfterFailures || now.Before(h.suspendedUntil) {
		return false
	}
	h.suspension = min(max(2*h.suspension, initialSuspension), maxSuspension)
	h.suspendedUntil = now.Add(h.suspension)
	return true
}

// ClearSuspension ends an endpoint's suspension, after which it is not on probation.
func (e *Endpoint) ClearSuspension() {
	e.health.consecutiveFailures, e.health.suspension, e.health.suspendedUntil = 0, 0, time.Time{}
}

// isSuspended reports whether the endpoint gets no requests at present. After a
// suspension, it is probed with one request at a time.
func (h *health) isSuspended(now time.Time) bool {
	if now.Before(h.suspendedUntil) {
		return true
	}
	return h.consecutiveFailures >= suspendAfterFailures && h.probing
}
