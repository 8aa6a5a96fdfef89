package fleet

import "time"

// Result is how a request ended at an endpoint.
type Result uint8

// The results.
const (
	// ResultSuccess is a whole answer of the endpoint, or one that the caller
	// left early.
	ResultSuccess Result = iota + 1
	// ResultFailed is an answer that tells of a failure there.
	ResultFailed
	// ResultRefused is a truthful refusal: the request did not run.
	ResultRefused
	// ResultIncomplete is a lost or cut answer.
	ResultIncomplete
	// ResultTimeout is an answer that did not come in time.
	ResultTimeout
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable
	// ResultWrongEndpoint is an answer of another endpoint at the same address.
	ResultWrongEndpoint
	// ResultNeutral tells nothing of the endpoint.
	ResultNeutral
)

const (
	// failureRateWeight is the weight of the newest result in the share of failures:
	// about the last ten count.
	failureRateWeight = 0.1
	// suspendAfterFailures is the number of broken results in a row, or of
	// unreachable ones, that suspend an endpoint.
	suspendAfterFailures = 2
	// initialSuspension is the first suspension; each further one doubles it.
	initialSuspension = 500 * time.Millisecond
	maxSuspension     = 4 * time.Second
	// maxExcessFailureRate is the share of failures beyond the service's usual from
	// which an endpoint gets only single requests.
	maxExcessFailureRate = 0.35
)

// health is what this host's own requests tell of an endpoint.
type health struct {
	// failureRate is the recent share of failures, 0 to 1.
	failureRate float64
	// consecutiveFailures counts broken, silent and unreachable results in a row.
	consecutiveFailures int
	// suspension is the length of the last suspension, until its end.
	suspension     time.Duration
	suspendedUntil time.Time
	// probing tells that a request tries the endpoint after a suspension.
	probing bool
	results int
}

// record takes a result in and reports whether it begins a suspension.
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

// isSuspended reports whether nothing may be sent now. After a suspension one
// request at a time tries the endpoint.
func (h *health) isSuspended(now time.Time) bool {
	if now.Before(h.suspendedUntil) {
		return true
	}
	return h.consecutiveFailures >= suspendAfterFailures && h.probing
}
