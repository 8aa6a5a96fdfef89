package flow

import (
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// AttemptObserver observes the attempts of requests.
type AttemptObserver interface {
	// ObserveAttempt is called when a request is dispatched.
	ObserveAttempt(request *Request, placed *placement.Placement) AttemptObservation
}

// AttemptObservation observes one attempt. Its methods are called by a single
// goroutine.
type AttemptObservation interface {
	// FirstToken is called at the first byte of the response.
	FirstToken()
	// Tokens is called with the number of tokens received so far.
	Tokens(count int)
	// End is called once, with the end of the attempt and the number of tokens
	// received.
	End(end AttemptEnd, tokens int)
}

// AttemptEnd describes how an attempt ended from the endpoint's point of view.
type AttemptEnd int

// The ways in which an attempt ends.
const (
	// AttemptCompleted means that the complete response was received.
	AttemptCompleted AttemptEnd = iota + 1
	// AttemptFailed means that the endpoint responded with an error.
	AttemptFailed
	// AttemptBroken means that the connection could not be established or broke,
	// or that the response was truncated.
	AttemptBroken
	// AttemptRefused means that the endpoint refused to start the request.
	AttemptRefused
	// AttemptCanceled means that the caller disconnected.
	AttemptCanceled
)

// attemptEnd maps the result of a dispatched request to the end of its attempt.
func attemptEnd(result witness.Result) AttemptEnd {
	switch {
	case result.Outcome == outcome.Done:
		return AttemptCompleted
	case result.Reason == outcome.ReasonCanceled:
		return AttemptCanceled
	case result.Reason == outcome.ReasonEndpoint:
		return AttemptFailed
	default:
		return AttemptBroken
	}
}

// noObserver is an AttemptObserver that ignores all attempts.
type noObserver struct{}

// noObservation is an AttemptObservation that does nothing.
type noObservation struct{}

// ObserveAttempt implements AttemptObserver.
func (noObserver) ObserveAttempt(*Request, *placement.Placement) AttemptObservation {
	return noObservation{}
}

// FirstToken implements AttemptObservation.
func (noObservation) FirstToken() {}

// Tokens implements AttemptObservation.
func (noObservation) Tokens(int) {}

// End implements AttemptObservation.
func (noObservation) End(AttemptEnd, int) {}
