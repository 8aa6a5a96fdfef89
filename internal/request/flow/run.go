package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
)

// run processes a request that this host owns until its outcome is known.
// callerCtx is canceled when no caller waits for the response any more.
func (r *Runner) run(callerCtx context.Context, request *Request, owned *owner.Request) {
	owned.MarkQueued()
	r.config.Events.Queued(request)
	placed, refusal := r.config.Placer.Place(callerCtx, placementRequest(request))
	for refusal == nil {
		if dispatched := r.dispatch(callerCtx, request, owned, placed); dispatched != nil {
			r.finish(callerCtx, request, owned, placed, dispatched)
			return
		}
		if owned.State().IsFinal() {
			placed.Done(placement.Result{Outcome: placement.OutcomeNotStarted})
			r.config.Events.Ended(request, owned, nil)
			return
		}
		placed, refusal = placed.Retry(callerCtx)
	}
	if refusal.Reason == placement.ReasonCapacity {
		r.config.Events.Shed(request)
	}
	owned.Refuse(refusalReason(refusal.Reason), refusal.RetryAfter)
	r.config.Events.Ended(request, owned, nil)
}

func placementRequest(request *Request) placement.Request {
	return placement.Request{
		ID:              request.Key.Part,
		Route:           request.Route.Name,
		Team:            request.Team,
		Adapter:         request.Adapter,
		PromptTokens:    request.PromptTokens,
		MaxOutputTokens: request.MaxOutputTokens,
		Bytes:           len(request.Body),
		Prefixes:        request.Prefixes,
		Arrival:         request.Arrival,
	}
}

// dispatchedCall is a call that the endpoint may have started to execute.
type dispatchedCall struct {
	// response is nil if the connection broke before the endpoint responded.
	response    *engine.Response
	observation AttemptObservation
}

// dispatch obtains a permit from the witness and sends the request. It returns
// nil if the endpoint is certain not to have started the request.
func (r *Runner) dispatch(callerCtx context.Context, request *Request, owned *owner.Request, placed *placement.Placement) *dispatchedCall {
	if !r.obtainPermit(callerCtx, request, owned, placed) {
		return nil
	}
	if refusal := owned.Dispatch(); refusal != nil {
		return nil
	}
	r.config.Events.Dispatched(request, placed)
	observation := r.config.Observer.ObserveAttempt(request, placed)
	response, err := r.send(engineCall(request, placed.Address))
	isRefused := err == nil && isExplicitRefusal(request, response.Status)
	if isRefused {
		response.Body.Close()
	}
	if (isRefused || errors.Is(err, engine.ErrNotStarted)) && r.markNotStarted(request, owned) {
		observation.End(notStartedEnd(isRefused), 0)
		return nil
	}
	if isRefused || err != nil {
		response = nil
	}
	return &dispatchedCall{response: response, observation: observation}
}

// notStartedEnd is the end of an attempt that the endpoint did not start.
func notStartedEnd(isRefused bool) AttemptEnd {
	if isRefused {
		return AttemptRefused
	}
	return AttemptBroken
}

// markNotStarted returns a dispatched request to the queued state because the
// endpoint did not start it.
func (r *Runner) markNotStarted(request *Request, owned *owner.Request) bool {
	if !owned.MarkNotStarted() {
		return false
	}
	r.config.Events.NotStarted(request)
	return true
}

func (r *Runner) obtainPermit(callerCtx context.Context, request *Request, owned *owner.Request, placed *placement.Placement) bool {
	start := time.Now()
	target := owner.Target{Service: request.Service.Name, Endpoint: placed.Endpoint, Address: placed.Address}
	refusal := owned.ObtainPermit(callerCtx, target, sendTimeout(placed))
	if refusal != nil {
		return false
	}
	r.timers.permit.UpdateSince(start)
	r.config.Events.Intended(request, placed)
	return true
}

// sendTimeout is the maximum time between the intent and the dispatch. It never
// exceeds the time left until the send deadline of the slot.
func sendTimeout(placed *placement.Placement) time.Duration {
	if placed.SendDeadline.IsZero() {
		return maxSendDelay
	}
	return min(maxSendDelay, time.Until(placed.SendDeadline))
}

func engineCall(request *Request, address string) engine.Call {
	return engine.Call{
		Address:     address,
		Method:      request.Method,
		Path:        request.EndpointPath,
		ContentType: request.ContentType,
		Body:        request.Body,
		Key:         request.Key.String(),
	}
}

// isExplicitRefusal reports whether the status guarantees that the endpoint did
// not start the request. Plain services guarantee this for 429 only.
func isExplicitRefusal(request *Request, status int) bool {
	if status == http.StatusTooManyRequests {
		return true
	}
	return status == http.StatusServiceUnavailable && request.IsEngine()
}

// refusalReason maps a placement reason to a refusal reason.
func refusalReason(reason placement.Reason) outcome.Reason {
	switch reason {
	case placement.ReasonDeadline:
		return outcome.ReasonDeadline
	case placement.ReasonCapacity, placement.ReasonRetryBudget:
		return outcome.ReasonShed
	case placement.ReasonQueueFull:
		return outcome.ReasonQueueFull
	case placement.ReasonCanceled:
		return outcome.ReasonCanceled
	case placement.ReasonLeaving:
		return outcome.ReasonStopping
	default:
		return outcome.ReasonNoEndpoint
	}
}
