package relay

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/request/repeat"
)

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = eris.New("an event exceeds the limit")

// streamRelay forwards the events of one endpoint's response.
type streamRelay struct {
	request  *serverRequest
	lease    *dispatch.Lease
	response *upstream.Response
	failover *failover
	control  *http.ResponseController
	// countBefore is the number of events that other endpoints have sent.
	countBefore               int
	firstEventAt, lastEventAt time.Time
	// waitingSince is when the wait for the next event began.
	waitingSince time.Time
	// succeeded is set once the success has been recorded in the quarantine.
	succeeded bool
}

// relayStream forwards events as they arrive.
func (s *serverRequest) relayStream(lease *dispatch.Lease, response *upstream.Response, f *failover) sendResult {
	s.events.pending, f.isStream = nil, true
	stream := &streamRelay{
		request: s, lease: lease, response: response, failover: f,
		control: http.NewResponseController(s.w), countBefore: s.events.count,
	}
	return stream.run()
}

// run forwards events until the response ends.
func (r *streamRelay) run() sendResult {
	s := r.request
	buffer := make([]byte, streamReadBytes)
	memory := responseMemory{budget: &s.relay.responseBudget}
	defer memory.release()
	err := r.awaitEvent()
	for err == nil {
		var n int
		n, err = r.response.Read(buffer)
		if events := s.events.add(buffer[:n]); len(events) > 0 {
			r.recordEvents()
			if !s.writeEvents(r.control, r.response, events) {
				r.response.Finish()
				r.lease.Release(fleet.ResultNeutral)
				s.outcome = outcome{outcomeCallerLeft, 0, "caller_left"}
				return sendResult{done: true}
			}
			if awaitErr := r.awaitEvent(); err == nil {
				err = awaitErr
			}
		}
		switch {
		case len(s.events.pending) > maxEventBytes:
			err = cmp.Or(err, errEventTooLong)
		case !memory.grow(len(s.events.pending)):
			err = cmp.Or(err, errNoResponseMemory)
		}
	}
	s.longestDelay = max(s.longestDelay, r.failover.conn.LongestDelay())
	r.response.Finish()
	if errors.Is(err, io.EOF) && s.events.isAtEventBoundary() && r.hasWhole() {
		return r.complete()
	}
	return r.breakOff(err)
}

// hasWhole reports whether a stream whose response has ended is whole. Without any event it
// is not, unless another endpoint has sent them all and this one had only the end to send.
func (r *streamRelay) hasWhole() bool {
	return r.request.events.count > r.countBefore || r.countBefore > 0 && r.response.IsFramed()
}

// awaitEvent begins the wait for the next event. The time in which the caller did not
// accept earlier ones is no silence of the endpoint.
func (r *streamRelay) awaitEvent() error {
	r.waitingSince = time.Now()
	return r.response.Await(r.request.maxEventSilence(), r.request.deadline)
}

// recordEvents records that events have arrived.
func (r *streamRelay) recordEvents() {
	s, now := r.request, time.Now()
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
		r.lease.RecordFirstEvent()
		s.countRun()
	}
	if !r.lastEventAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.failover.stop()
	if now.Sub(r.firstEventAt) > maxCrashDelay {
		r.recordSuccess()
	}
}

// recordSuccess records once that the prompt has not crashed the endpoint.
func (r *streamRelay) recordSuccess() {
	if !r.succeeded {
		r.succeeded = true
		r.request.relay.Quarantine.RecordSuccess(r.request.suspects())
	}
}

// complete ends a complete stream.
func (r *streamRelay) complete() sendResult {
	s := r.request
	if count := s.events.count - r.countBefore; count > 1 {
		r.lease.RecordInterTokenLatency(r.lastEventAt.Sub(r.firstEventAt) / time.Duration(count-1) / time.Duration(s.tokensPerEvent()))
	}
	r.lease.Release(fleet.ResultSuccess)
	r.recordSuccess()
	s.outcome = outcome{outcomeAnswered, r.response.Status, ""}
	return sendResult{done: true}
}

// breakOff ends an incomplete stream.
func (r *streamRelay) breakOff(err error) sendResult {
	s := r.request
	result, reason := fleet.ResultIncomplete, "stream_broken"
	silence := time.Since(r.waitingSince)
	switch {
	case errors.Is(err, errNoResponseMemory):
		result, reason = fleet.ResultNeutral, reasonResponseMemory
	case !isTimeout(err):
		s.checkCrash(r.lease, durationSince(r.firstEventAt))
	case silence < minStallTimeout && time.Until(s.deadline) <= 0:
		result, reason = fleet.ResultNeutral, "deadline_passed"
	default:
		result, reason = silenceResult(silence), "stream_silent"
	}
	r.lease.Release(resultUnlessCanceled(s.context(), result))
	if s.canFailOver() || r.failover.replacement != nil {
		s.relay.resumed.Inc(1)
	}
	return sendResult{outcome: repeat.OutcomeUnknown, reason: reason}
}

// tokensPerEvent returns the number of tokens in each event of the service's
// streams.
func (s *serverRequest) tokensPerEvent() int {
	if service := s.table.Service(s.service); service != nil && service.Engine != nil {
		return service.Engine.TokensPerEvent
	}
	return 1
}

// maxEventSilence returns how long the endpoint may take until the next event is complete,
// or 0 if only the deadline limits it. Bytes that complete no event do not extend it: a
// stalled endpoint may send some now and then.
func (s *serverRequest) maxEventSilence() time.Duration {
	if !s.canFailOver() {
		return 0
	}
	return max(minStallTimeout, stallTargetFactor*s.route.TargetGap)
}

// writeEvents forwards complete events and reports whether the caller accepted
// them.
func (s *serverRequest) writeEvents(control *http.ResponseController, response *upstream.Response, events []byte) bool {
	if !s.headerSent {
		s.headerSent = true
		s.firstSentAt = time.Now()
		s.relay.firstEventLatency.Update(s.firstSentAt.Sub(s.startedAt))
		s.relay.Protocol.CopyResponseHeader(s.w.Header(), response.Header)
		s.w.WriteHeader(response.Status)
	}
	s.relay.traffic.add(len(events) + packetOverheadBytes)
	startedAt := time.Now()
	_, err := s.w.Write(events)
	if err == nil {
		err = control.Flush()
	}
	s.longestWrite = max(s.longestWrite, time.Since(startedAt))
	return err == nil
}

// durationSince returns the time since t, or 0 if t is the zero time.
func durationSince(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t)
}
