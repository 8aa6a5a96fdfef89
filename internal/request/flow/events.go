package flow

import (
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// Events writes the events of requests to the time line.
type Events struct {
	Recorder timeline.Recorder
}

// newEvent gives an event with what is known of a request on its arrival.
func newEvent(kind timeline.Kind, request *Request) timeline.Event {
	event := timeline.Event{Kind: kind, Request: request.Key.String(), Team: request.Team}
	if request.Route != nil {
		event.Service = request.Service.Name
		event.Tier = request.Tier.Name
		event.Rank = request.Tier.Rank
	}
	return event
}

// Received tells that the request has come to its owner.
func (e Events) Received(request *Request) {
	e.Recorder.Record(newEvent(timeline.RequestReceived, request))
}

// Queued tells that the request waits for an endpoint.
func (e Events) Queued(request *Request) {
	e.Recorder.Record(newEvent(timeline.RequestQueued, request))
}

// Intended tells that the witness has acknowledged the intent.
func (e Events) Intended(request *Request, placed *placement.Placement) {
	event := newPlacedEvent(timeline.RequestIntent, request, placed)
	event.Peer = request.Key.Session.Witness
	e.Recorder.Record(event)
}

// Dispatched tells that the request was sent to its endpoint.
func (e Events) Dispatched(request *Request, placed *placement.Placement) {
	e.Recorder.Record(newPlacedEvent(timeline.RequestDispatched, request, placed))
}

// NotStarted tells that the endpoint surely did not start the request that was
// dispatched to it, so that the request waits again.
func (e Events) NotStarted(request *Request) {
	e.Recorder.Record(newEvent(timeline.RequestNotStarted, request))
}

// Shed tells that the request gives way under load.
func (e Events) Shed(request *Request) { e.Recorder.Record(newEvent(timeline.RequestShed, request)) }

// Resumed tells that a host which does not own the request fetches its answer
// from the endpoint, from an offset in bytes on.
func (e Events) Resumed(request *Request, intent witness.Intent, offset int64) {
	event := newEvent(timeline.RequestResumed, request)
	event.Service = intent.Service
	event.Endpoint = intent.Endpoint
	event.Value = offset
	e.Recorder.Record(event)
}

// FirstToken tells that the answer has begun.
func (e Events) FirstToken(request *Request, placed *placement.Placement) {
	e.Recorder.Record(newPlacedEvent(timeline.RequestFirstToken, request, placed))
}

func newPlacedEvent(kind timeline.Kind, request *Request, placed *placement.Placement) timeline.Event {
	event := newEvent(kind, request)
	event.Endpoint = placed.Endpoint
	event.Domain = placed.Domain
	event.Version = placed.Version
	return event
}

// Refused tells that the request was refused before it was taken on.
func (e Events) Refused(request *Request, refusal outcome.Refusal) {
	event := newEvent(timeline.RequestRefused, request)
	event.Outcome = string(refusal.Outcome)
	event.Detail = string(refusal.Reason)
	e.Recorder.Record(event)
}

// Ended tells the outcome of a request that was taken on. The place is nil if
// it was not dispatched.
func (e Events) Ended(request *Request, owned *owner.Request, placed *placement.Placement) {
	result := owned.Result()
	if placed == nil {
		e.Refused(request, outcome.Refuse(result.Outcome, result.Reason))
		return
	}
	event := newPlacedEvent(timeline.RequestDone, request, placed)
	event.Outcome = string(result.Outcome)
	if result.Reason == outcome.ReasonCanceled {
		event.Outcome = timeline.OutcomeCanceled
	}
	event.Detail = string(result.Reason)
	e.Recorder.Record(event)
}
