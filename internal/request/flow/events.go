package flow

import (
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// Events records the events of requests in the timeline.
type Events struct {
	Recorder timeline.Recorder
}

// newEvent returns an event with the fields that are known on arrival.
func newEvent(kind timeline.Kind, request *Request) timeline.Event {
	event := timeline.Event{Kind: kind, Request: request.Key.String(), Team: request.Team}
	if request.Route != nil {
		event.Service = request.Service.Name
		event.Tier = request.Tier.Name
		event.Rank = request.Tier.Rank
	}
	return event
}

// Received records that the request reached its owner.
func (e Events) Received(request *Request) {
	e.Recorder.Record(newEvent(timeline.RequestReceived, request))
}

// Queued records that the request waits for an endpoint.
func (e Events) Queued(request *Request) {
	e.Recorder.Record(newEvent(timeline.RequestQueued, request))
}

// Intended records that the witness acknowledged the intent.
func (e Events) Intended(request *Request, placed *placement.Placement) {
	event := newPlacedEvent(timeline.RequestIntent, request, placed)
	event.Peer = request.Key.Session.Witness
	e.Recorder.Record(event)
}

// Dispatched records that the request was sent to its endpoint.
func (e Events) Dispatched(request *Request, placed *placement.Placement) {
	e.Recorder.Record(newPlacedEvent(timeline.RequestDispatched, request, placed))
}

// NotStarted records that the endpoint is certain not to have started the
// dispatched request, and that the request is queued again.
func (e Events) NotStarted(request *Request) {
	e.Recorder.Record(newEvent(timeline.RequestNotStarted, request))
}

// Shed records that the request was shed under overload.
func (e Events) Shed(request *Request) { e.Recorder.Record(newEvent(timeline.RequestShed, request)) }

// Resumed records that a host which does not own the request fetches its
// response from the endpoint, starting at the offset in bytes.
func (e Events) Resumed(request *Request, intent witness.Intent, offset int64) {
	event := newEvent(timeline.RequestResumed, request)
	event.Service = intent.Service
	event.Endpoint = intent.Endpoint
	event.Value = offset
	e.Recorder.Record(event)
}

// FirstToken records the first bytes of the response.
func (e Events) FirstToken(request *Request, placed *placement.Placement) {
	e.Recorder.Record(newPlacedEvent(timeline.RequestFirstToken, request, placed))
}

// newPlacedEvent returns an event that includes the placement of the request.
func newPlacedEvent(kind timeline.Kind, request *Request, placed *placement.Placement) timeline.Event {
	event := newEvent(kind, request)
	event.Endpoint = placed.Endpoint
	event.Domain = placed.Domain
	event.Version = placed.Version
	return event
}

// Refused records that the request was refused without being dispatched.
func (e Events) Refused(request *Request, refusal outcome.Refusal) {
	event := newEvent(timeline.RequestRefused, request)
	event.Outcome = string(refusal.Outcome)
	event.Detail = string(refusal.Reason)
	e.Recorder.Record(event)
}

// Ended records the outcome of a request. The placement is nil if the request
// was not dispatched.
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
