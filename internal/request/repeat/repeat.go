// Package repeat decides whether a request is sent again after a send that gave
// no answer. It is pure.
package repeat

import "time"

// Outcome is what is known of a request after a send.
type Outcome uint8

// The fates.
const (
	// OutcomeNotSent is sure not to have reached the endpoint.
	OutcomeNotSent Outcome = iota + 1
	// OutcomeNotRun was refused by the endpoint, which has not run it.
	OutcomeNotRun
	// OutcomeUnknown may have run.
	OutcomeUnknown
	// OutcomeFailed has run and failed.
	OutcomeFailed
)

// State is what a repeat depends on.
type State struct {
	// Retryable tells that the request may run more than once.
	Retryable bool
	// Attempts is the number of endpoints that may have run it, Sends of those
	// to which it was sent, MaxAttempts the greatest number allowed.
	Attempts, Sends, MaxAttempts int
	// Outcome is that of the last send.
	Outcome Outcome
	// ResponseStarted tells that the caller has a part of the answer.
	ResponseStarted bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Decision is what follows.
type Decision struct {
	Retry bool
	// NotRun tells that a refusal may promise that the request has not run.
	NotRun bool
}

// minTimeLeft is the time that a further send needs to be of use.
const minTimeLeft = 50 * time.Millisecond

// Decide says whether to send the request again.
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

// WithoutRetry is the decision when no further send is allowed.
func WithoutRetry(s State) Decision { return Decision{NotRun: s.Attempts == 0 && !s.ResponseStarted} }
