// Package repeat decides whether a request that failed at an endpoint is
// retried. Its functions are pure.
package repeat

import "time"

// Outcome is what is known of a request after it was sent.
type Outcome uint8

// Outcomes of a send.
const (
	// OutcomeNotSent means that the request certainly did not reach the
	// endpoint.
	OutcomeNotSent Outcome = iota + 1
	// OutcomeNotRun means that the endpoint refused the request and did not
	// run it.
	OutcomeNotRun
	// OutcomeUnknown means that the endpoint may have run the request.
	OutcomeUnknown
	// OutcomeFailed means that the endpoint ran the request and failed.
	OutcomeFailed
)

// State is the state of a request that decides on a retry.
type State struct {
	// Retryable is set if the request may run more than once.
	Retryable bool
	// Attempts counts the sends after which an endpoint may have run the
	// request, Sends all sends, and MaxAttempts is the maximum number of
	// sends.
	Attempts, Sends, MaxAttempts int
	// Outcome is the outcome of the last send.
	Outcome Outcome
	// ResponseStarted is set if the caller has received a part of the
	// response.
	ResponseStarted bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Decision says how to proceed with a failed request.
type Decision struct {
	Retry bool
	// NotRun is set if a refusal may state that the request has not run.
	NotRun bool
}

// minTimeLeft is the shortest remaining time in which a retry can still
// succeed.
const minTimeLeft = 50 * time.Millisecond

// Decide decides whether the request is retried.
func Decide(s State) Decision {
	d := WithoutRetry(s)
	switch {
	case s.TimeLeft < minTimeLeft:
	case s.Outcome == OutcomeNotSent:
		d.Retry = true
	case s.Sends >= s.MaxAttempts:
	case s.Outcome == OutcomeNotRun && s.Attempts == 0:
		d.Retry = true
	default:
		d.Retry = s.Retryable
	}
	return d
}

// WithoutRetry returns the decision for a request that must not be retried.
func WithoutRetry(s State) Decision { return Decision{NotRun: s.Attempts == 0 && !s.ResponseStarted} }
