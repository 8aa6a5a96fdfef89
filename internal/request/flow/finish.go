package flow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
)

// Limits that apply while a response is received.
const (
	maxResumes      = 5
	resumeBackoff   = 100 * time.Millisecond
	lookupTimeout   = 5 * time.Second
	cancelTimeout   = 2 * time.Second
	copyBufferBytes = 32 << 10
)

// streamTerminator ends every complete event stream of an engine.
var streamTerminator = []byte("data: [DONE]\n\n")

// attempt is a dispatch of a request that the endpoint may have started.
type attempt struct {
	runner      *Runner
	request     *Request
	owned       *owner.Request
	placed      *placement.Placement
	callerCtx   context.Context
	observation AttemptObservation
	started     time.Time
	// status and contentType come from the endpoint's first response.
	status      int
	contentType string
	// offset is the number of bytes of the response received so far.
	offset int64
	// tail holds the last received bytes, at most as many as streamTerminator
	// has.
	tail []byte
	// eventCount is the number of events of an event stream received so far.
	eventCount int
}

// finish copies the endpoint's response and records the outcome.
func (r *Runner) finish(callerCtx context.Context, request *Request, owned *owner.Request, placed *placement.Placement, call *dispatchedCall) {
	a := &attempt{runner: r, request: request, owned: owned, placed: placed, callerCtx: callerCtx, observation: call.observation, started: time.Now()}
	stopCancel := a.cancelWhenCallersLeave()
	result := a.receive(call.response)
	stopCancel()
	a.observation.End(attemptEnd(result), a.eventCount)
	owned.Finish(result)
	r.config.Events.Ended(request, owned, placed)
	placed.Done(placement.Result{
		Outcome:      placementOutcome(result),
		OutputTokens: a.eventCount,
		CachedTokens: -1,
	})
	r.timers.total.UpdateSince(request.Arrival)
}

func placementOutcome(result witness.Result) placement.Outcome {
	switch {
	case result.Outcome == outcome.Done:
		return placement.OutcomeDone
	case result.Reason == outcome.ReasonCanceled:
		return placement.OutcomeCanceled
	case result.Outcome == outcome.Unknown:
		return placement.OutcomeDetached
	default:
		return placement.OutcomeFailed
	}
}

// cancelWhenCallersLeave cancels the request at its engine when no caller waits
// any more. Calls of plain services are left to complete.
func (a *attempt) cancelWhenCallersLeave() (stop func() bool) {
	if !a.request.IsEngine() {
		return func() bool { return true }
	}
	return context.AfterFunc(a.callerCtx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// The end of the stream shows whether the cancellation succeeded.
		_ = a.runner.config.Endpoints.Cancel(ctx, a.placed.Address, a.request.Key.String())
	})
}

// receive copies the complete response. It reconnects after a broken connection
// if the endpoint supports that.
func (a *attempt) receive(response *engine.Response) witness.Result {
	if a.request.IsEngine() {
		return a.receiveEngine(response)
	}
	return a.receivePlain(response)
}

func (a *attempt) receiveEngine(response *engine.Response) witness.Result {
	for resumes := 0; ; resumes++ {
		if response != nil && a.readResponse(response) {
			return a.completedResult()
		}
		if a.callerCtx.Err() != nil {
			return witness.Result{Outcome: outcome.Failed, Reason: outcome.ReasonCanceled}
		}
		if resumes == maxResumes {
			return witness.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}
		}
		var err error
		response, err = a.runner.resume(a.placed.Address, a.request.Key.String(), a.offset)
		if err != nil {
			response = nil
			if errors.Is(err, engine.ErrUnknownKey) && a.offset > 0 {
				return witness.Result{Outcome: outcome.Failed, Reason: outcome.ReasonReplyLost}
			}
			time.Sleep(resumeBackoff)
		}
	}
}

// receivePlain copies a plain service's response. If the response was lost, the
// service's lookup path determines what happened to the call; without one the
// outcome is unknown.
func (a *attempt) receivePlain(response *engine.Response) witness.Result {
	if response != nil && a.readResponse(response) {
		return a.completedResult()
	}
	if a.request.Service.LookupPath == "" || a.offset > 0 {
		return witness.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	path := LookupPath(a.request.Service.LookupPath, a.request.Key.String())
	found, err := a.runner.config.Endpoints.Send(ctx, engine.Call{Address: a.placed.Address, Method: http.MethodGet, Path: path})
	if err == nil && found.Status == http.StatusOK && a.readResponse(found) {
		return a.completedResult()
	}
	return witness.Result{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}
}

// LookupPath inserts a request key into a service's lookup path.
func LookupPath(path, key string) string {
	return strings.ReplaceAll(path, "{key}", url.PathEscape(key))
}

// completedResult is the result of an attempt with a complete response.
func (a *attempt) completedResult() witness.Result {
	result := witness.Result{Outcome: outcome.Done}
	if !a.request.IsEngine() {
		result.Status = a.status
		result.ContentType = a.contentType
	}
	if a.status >= http.StatusInternalServerError {
		result.Outcome = outcome.Failed
		result.Reason = outcome.ReasonEndpoint
	}
	return result
}

// readResponse copies what one connection delivers and reports whether the
// response is then complete.
func (a *attempt) readResponse(response *engine.Response) bool {
	defer response.Body.Close()
	if a.status == 0 {
		a.begin(response)
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			a.append(buffer[:count])
		}
		if err != nil {
			return errors.Is(err, io.EOF) && a.isComplete()
		}
	}
}

func (a *attempt) begin(response *engine.Response) {
	a.status = response.Status
	a.contentType = response.ContentType
	a.owned.Begin(owner.Head{Status: response.Status, ContentType: response.ContentType})
}

// append adds bytes to the response.
func (a *attempt) append(data []byte) {
	if a.offset == 0 {
		a.placed.FirstToken()
		if a.status < http.StatusInternalServerError {
			a.observation.FirstToken()
		}
		a.runner.timers.firstByte.UpdateSince(a.request.Arrival)
		a.runner.config.Events.FirstToken(a.request, a.placed)
	}
	a.offset += int64(len(data))
	a.eventCount += bytes.Count(data, []byte("data: "))
	a.observation.Tokens(a.eventCount)
	a.tail = append(a.tail, data[max(len(data)-len(streamTerminator), 0):]...)
	if excess := len(a.tail) - len(streamTerminator); excess > 0 {
		a.tail = append(a.tail[:0], a.tail[excess:]...)
	}
	// Write fails only after Finish, which this goroutine calls later.
	_, _ = a.owned.Write(data)
}

// isComplete reports whether the response is complete after the connection was
// closed normally. An event stream has a terminator; the length of other
// responses is checked by net/http.
func (a *attempt) isComplete() bool {
	if !isEventStream(a.contentType) {
		return true
	}
	return bytes.Equal(a.tail, streamTerminator)
}
