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

// Bounds of following a request whose connection to the endpoint broke.
const (
	resumeTries   = 5
	resumeBackoff = 100 * time.Millisecond
	lookupTimeout = 5 * time.Second
	cancelTimeout = 2 * time.Second
	copyBytes     = 32 << 10
)

// streamEnd ends every whole event stream of an engine.
var streamEnd = []byte("data: [DONE]\n\n")

// dispatched is a request that an endpoint may have started.
type dispatched struct {
	runner  *Runner
	request *Request
	own     *owner.Request
	place   *placement.Placement
	gone    context.Context
	watch   Watch
	started time.Time
	// status and contentType are those of the endpoint's reply.
	status      int
	contentType string
	// offset is how many bytes of the answer have come.
	offset int64
	// tail is the end of what has come, as long as streamEnd.
	tail []byte
	// events counts the events of an event stream.
	events int
}

// finish copies the endpoint's answer and notes the outcome.
func (r *Runner) finish(gone context.Context, request *Request, own *owner.Request, place *placement.Placement, out *sent) {
	d := &dispatched{runner: r, request: request, own: own, place: place, gone: gone, watch: out.watch, started: time.Now()}
	stopWatching := d.watchCallers()
	result := d.follow(out.reply)
	stopWatching()
	d.watch.End(endOf(result), d.events)
	own.Finish(result)
	r.config.Events.Ended(request, own, place)
	place.Done(placement.Result{
		Outcome:      placementOutcome(result),
		OutputTokens: d.events,
		CachedTokens: -1,
	})
	r.timers.whole.UpdateSince(request.Arrival)
}

func placementOutcome(result witness.Final) placement.Outcome {
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

// watchCallers cancels the request at its engine when no caller waits any
// more. Calls of plain services are left to end.
func (d *dispatched) watchCallers() (stop func() bool) {
	if !d.request.IsEngine() {
		return func() bool { return true }
	}
	return context.AfterFunc(d.gone, func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// Whether it worked shows when the stream ends.
		_ = d.runner.config.Endpoints.Cancel(ctx, d.place.Address, d.request.Key.String())
	})
}

// follow copies the answer to its end, over broken connections where the
// endpoint allows it.
func (d *dispatched) follow(reply *engine.Response) witness.Final {
	if d.request.IsEngine() {
		return d.followEngine(reply)
	}
	return d.followPlain(reply)
}

func (d *dispatched) followEngine(reply *engine.Response) witness.Final {
	for try := 0; ; try++ {
		if reply != nil && d.copy(reply) {
			return d.completed()
		}
		if d.gone.Err() != nil {
			return witness.Final{Outcome: outcome.Failed, Reason: outcome.ReasonCanceled}
		}
		if try == resumeTries {
			return witness.Final{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}
		}
		var err error
		reply, err = d.runner.resume(d.place.Address, d.request.Key.String(), d.offset)
		if err != nil {
			reply = nil
			if errors.Is(err, engine.ErrUnknownKey) && d.offset > 0 {
				return witness.Final{Outcome: outcome.Failed, Reason: outcome.ReasonReplyLost}
			}
			time.Sleep(resumeBackoff)
		}
	}
}

// followPlain copies a plain service's answer. If the reply was lost, the
// service's lookup tells what became of the call; without one it is unknown.
func (d *dispatched) followPlain(reply *engine.Response) witness.Final {
	if reply != nil && d.copy(reply) {
		return d.completed()
	}
	if d.request.Service.LookupPath == "" || d.offset > 0 {
		return witness.Final{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	path := LookupPath(d.request.Service.LookupPath, d.request.Key.String())
	found, err := d.runner.config.Endpoints.Send(ctx, engine.Call{Address: d.place.Address, Method: http.MethodGet, Path: path})
	if err == nil && found.Status == http.StatusOK && d.copy(found) {
		return d.completed()
	}
	return witness.Final{Outcome: outcome.Unknown, Reason: outcome.ReasonReplyLost}
}

// LookupPath fills a service's lookup path with a request key.
func LookupPath(path, key string) string {
	return strings.ReplaceAll(path, "{key}", url.PathEscape(key))
}

// completed is the outcome of a whole reply.
func (d *dispatched) completed() witness.Final {
	final := witness.Final{Outcome: outcome.Done}
	if !d.request.IsEngine() {
		final.Status = d.status
		final.ContentType = d.contentType
	}
	if d.status >= http.StatusInternalServerError {
		final.Outcome = outcome.Failed
		final.Reason = outcome.ReasonEndpoint
	}
	return final
}

// copy takes over one reply. It reports whether the answer is whole.
func (d *dispatched) copy(reply *engine.Response) bool {
	defer reply.Body.Close()
	if d.status == 0 {
		d.begin(reply)
	}
	buffer := make([]byte, copyBytes)
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 {
			d.take(buffer[:count])
		}
		if err != nil {
			return errors.Is(err, io.EOF) && d.isWhole()
		}
	}
}

func (d *dispatched) begin(reply *engine.Response) {
	d.status = reply.Status
	d.contentType = reply.ContentType
	d.own.Begin(owner.Head{Status: reply.Status, ContentType: reply.ContentType})
}

// take adds bytes to the answer.
func (d *dispatched) take(part []byte) {
	if d.offset == 0 {
		d.place.FirstToken()
		if d.status < http.StatusInternalServerError {
			d.watch.FirstToken()
		}
		d.runner.timers.firstByte.UpdateSince(d.request.Arrival)
		d.runner.config.Events.FirstToken(d.request, d.place)
	}
	d.offset += int64(len(part))
	d.events += bytes.Count(part, []byte("data: "))
	d.watch.Tokens(d.events)
	d.tail = append(d.tail, part[max(len(part)-len(streamEnd), 0):]...)
	if excess := len(d.tail) - len(streamEnd); excess > 0 {
		d.tail = append(d.tail[:0], d.tail[excess:]...)
	}
	// The answer ends only by Finish, which this goroutine calls.
	_, _ = d.own.Write(part)
}

// isWhole reports whether an answer whose connection ended in order is whole.
// An event stream says so itself; other replies have a length that the
// connection checks.
func (d *dispatched) isWhole() bool {
	if !isEventStream(d.contentType) {
		return true
	}
	return bytes.Equal(d.tail, streamEnd)
}
