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

// run takes a request that this host owns to its end. The context ends when no
// caller waits any more.
func (r *Runner) run(gone context.Context, request *Request, own *owner.Request) {
	own.Queue()
	r.config.Events.Queued(request)
	place, refusal := r.config.Placer.Place(gone, placementRequest(request))
	for refusal == nil {
		if sent := r.dispatch(gone, request, own, place); sent != nil {
			r.finish(gone, request, own, place, sent)
			return
		}
		if own.State().IsFinal() {
			place.Done(placement.Result{Outcome: placement.OutcomeNotStarted})
			r.config.Events.Ended(request, own, nil)
			return
		}
		place, refusal = place.Retry(gone)
	}
	if refusal.Reason == placement.ReasonCapacity {
		r.config.Events.Shed(request)
	}
	own.Refuse(reasonOf(refusal.Reason), refusal.RetryAfter)
	r.config.Events.Ended(request, own, nil)
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

// sent is a request that the endpoint may have started.
type sent struct {
	// reply is nil if the endpoint broke off.
	reply *engine.Response
	watch Watch
}

// dispatch gets the witness's permission and sends the request. It returns nil
// if the endpoint surely did not start it.
func (r *Runner) dispatch(gone context.Context, request *Request, own *owner.Request, place *placement.Placement) *sent {
	if !r.permit(gone, request, own, place) {
		return nil
	}
	if refusal := own.Dispatch(); refusal != nil {
		return nil
	}
	r.config.Events.Dispatched(request, place)
	watch := r.config.Watcher.Watch(request, place)
	reply, err := r.send(callOf(request, place.Address))
	isRefused := err == nil && isExplicitRefusal(request, reply.Status)
	if isRefused {
		reply.Body.Close()
	}
	if (isRefused || errors.Is(err, engine.ErrNotStarted)) && r.takeBack(request, own) {
		watch.End(unstarted(isRefused), 0)
		return nil
	}
	if isRefused || err != nil {
		reply = nil
	}
	return &sent{reply: reply, watch: watch}
}

// unstarted is the end of a dispatch that the endpoint did not start.
func unstarted(isRefused bool) DispatchEnd {
	if isRefused {
		return DispatchRefused
	}
	return DispatchBroken
}

// takeBack notes that the endpoint did not start a dispatched request.
func (r *Runner) takeBack(request *Request, own *owner.Request) bool {
	if !own.NotSent() {
		return false
	}
	r.config.Events.NotStarted(request)
	return true
}

func (r *Runner) permit(gone context.Context, request *Request, own *owner.Request, place *placement.Placement) bool {
	start := time.Now()
	target := owner.Target{Service: request.Service.Name, Endpoint: place.Endpoint, Address: place.Address}
	refusal := own.Permit(gone, target, sendingTime(place))
	if refusal != nil {
		return false
	}
	r.timers.permit.UpdateSince(start)
	r.config.Events.Intended(request, place)
	return true
}

// sendingTime is how long after its intent the request may be dispatched: no
// longer than its slot lasts.
func sendingTime(place *placement.Placement) time.Duration {
	if place.SendBy.IsZero() {
		return sendWithin
	}
	return min(sendWithin, time.Until(place.SendBy))
}

func callOf(request *Request, address string) engine.Call {
	return engine.Call{
		Address:     address,
		Method:      request.Method,
		Path:        request.EndpointPath,
		ContentType: request.ContentType,
		Body:        request.Body,
		Key:         request.Key.String(),
	}
}

// isExplicitRefusal reports whether the status says that the endpoint did not
// start the request. Plain services promise that for 429 alone.
func isExplicitRefusal(request *Request, status int) bool {
	if status == http.StatusTooManyRequests {
		return true
	}
	return status == http.StatusServiceUnavailable && request.IsEngine()
}

// reasonOf translates a placement's reason.
func reasonOf(reason placement.Reason) outcome.Reason {
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
