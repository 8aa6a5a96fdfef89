package flow

import (
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// AttemptObserver follows what endpoints make of the requests that are dispatched to
// them.
type AttemptObserver interface {
	// ObserveAttempt starts with a dispatch.
	ObserveAttempt(request *Request, placed *placement.Placement) AttemptObservation
}

// AttemptObservation follows one dispatched request. Its methods are called by one
// goroutine.
type AttemptObservation interface {
	// FirstToken tells that the first byte of the answer has come.
	FirstToken()
	// Tokens tells how many tokens have come so far.
	Tokens(count int)
	// End tells how the dispatch ended and how many tokens came. It is called
	// once.
	End(end AttemptEnd, tokens int)
}

// AttemptEnd is how a dispatch ended, as far as the endpoint is concerned.
type AttemptEnd int

// The ends of a dispatch.
const (
	// AttemptCompleted is a whole answer.
	AttemptCompleted AttemptEnd = iota + 1
	// AttemptFailed is an answer that tells of an error of the endpoint.
	AttemptFailed
	// AttemptBroken is a connection that could not be made or that broke, and
	// an answer that stayed incomplete.
	AttemptBroken
	// AttemptRefused is a request that the endpoint refused to start.
	AttemptRefused
	// AttemptCanceled is a request whose caller has gone.
	AttemptCanceled
)

// attemptEnd translates the outcome of a request that was dispatched.
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

// noObserver watches nothing.
type noObserver struct{}

// noObservation watches nothing.
type noObservation struct{}

// ObserveAttempt implements Watcher.
func (noObserver) ObserveAttempt(*Request, *placement.Placement) AttemptObservation {
	return noObservation{}
}

// FirstToken implements Watch.
func (noObservation) FirstToken() {}

// Tokens implements Watch.
func (noObservation) Tokens(int) {}

// End implements Watch.
func (noObservation) End(AttemptEnd, int) {}
