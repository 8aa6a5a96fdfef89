package flow

import (
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// Watcher follows what endpoints make of the requests that are dispatched to
// them.
type Watcher interface {
	// Watch starts with a dispatch.
	Watch(request *Request, place *placement.Placement) Watch
}

// Watch follows one dispatched request. Its methods are called by one
// goroutine.
type Watch interface {
	// FirstToken tells that the first byte of the answer has come.
	FirstToken()
	// Tokens tells how many tokens have come so far.
	Tokens(count int)
	// End tells how the dispatch ended and how many tokens came. It is called
	// once.
	End(ended DispatchEnd, tokens int)
}

// DispatchEnd is how a dispatch ended, as far as the endpoint is concerned.
type DispatchEnd int

// The ends of a dispatch.
const (
	// DispatchAnswered is a whole answer.
	DispatchAnswered DispatchEnd = iota + 1
	// DispatchFailed is an answer that tells of an error of the endpoint.
	DispatchFailed
	// DispatchBroken is a connection that could not be made or that broke, and
	// an answer that stayed incomplete.
	DispatchBroken
	// DispatchRefused is a request that the endpoint refused to start.
	DispatchRefused
	// DispatchCanceled is a request whose caller has gone.
	DispatchCanceled
)

// endOf translates the outcome of a request that was dispatched.
func endOf(result witness.Final) DispatchEnd {
	switch {
	case result.Outcome == outcome.Done:
		return DispatchAnswered
	case result.Reason == outcome.ReasonCanceled:
		return DispatchCanceled
	case result.Reason == outcome.ReasonEndpoint:
		return DispatchFailed
	default:
		return DispatchBroken
	}
}

// noWatcher watches nothing.
type noWatcher struct{}

// noWatch watches nothing.
type noWatch struct{}

// Watch implements Watcher.
func (noWatcher) Watch(*Request, *placement.Placement) Watch { return noWatch{} }

// FirstToken implements Watch.
func (noWatch) FirstToken() {}

// Tokens implements Watch.
func (noWatch) Tokens(int) {}

// End implements Watch.
func (noWatch) End(DispatchEnd, int) {}
