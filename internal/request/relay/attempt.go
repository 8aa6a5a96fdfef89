package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/request/repeat"
)

// attempt sends the request until it is answered or may not be sent again.
func (s *serving) attempt() {
	for {
		lease, err := s.relay.Dispatcher.Acquire(s.context(), s.job())
		if err != nil {
			s.withoutEndpoint(err)
			return
		}
		s.relay.waited.Update(lease.QueueWait)
		end := s.send(lease)
		if s.hasLeft() {
			return
		}
		if end.answered {
			return
		}
		s.excluded = append(s.excluded, lease.Endpoint)
		if end.failure != nil {
			s.failure = end.failure
		}
		standing := s.standing(end)
		decision := repeat.Decide(standing)
		if decision.Repeat && end.fate != repeat.FateNotSent && !s.relay.Limits.Repeat(s.service) {
			decision = repeat.Denied(standing)
		}
		if !decision.Repeat {
			s.finish(decision, end)
			return
		}
		s.logRepeat(lease, end)
		if end.fate != repeat.FateNotSent {
			s.relay.repeats.Inc(1)
		}
	}
}

// logRepeat tells why the request is sent again.
func (s *serving) logRepeat(lease *dispatch.Lease, end sendEnd) {
	s.relay.Log.Request(decisionlog.Failure, func() (string, logrus.Fields) {
		return "request repeated", logrus.Fields{
			"request": s.caller.ID, "route": s.route.Name, "reason": end.reason, "endpoint": lease.Endpoint,
			"endpoint_sequence": lease.EntrySequence, "sends": s.sends, "attempts": s.attempts,
			"events": s.events.count, "last_event": s.events.last,
			"after_ms": time.Since(s.begin).Milliseconds(),
		}
	})
}

// standing is what a repeat depends on.
func (s *serving) standing(end sendEnd) repeat.Standing {
	return repeat.Standing{
		MayRepeat: s.route.MayRepeat(), Attempts: s.attempts, Sends: s.sends,
		MaxAttempts: s.route.Attempts, Fate: end.fate,
		Begun: s.headSent, Left: time.Until(s.deadline),
	}
}

// withoutEndpoint answers a request for which there is no endpoint.
func (s *serving) withoutEndpoint(err error) {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		if !s.hasLeft() {
			s.fail(http.StatusInternalServerError, err.Error())
		}
		return
	}
	s.fields["predicted_wait_ms"] = refusal.PredictedWait.Milliseconds()
	s.fields["queued"] = refusal.QueueLength
	s.fields["slots"] = refusal.SlotShare
	s.fields["queue_wait_ms"] = refusal.QueueWait.Milliseconds()
	if s.deliverFailure() {
		return
	}
	if s.attempts > 0 {
		// It may have run, so nothing can be promised.
		s.fail(http.StatusBadGateway, refusal.Reason)
		return
	}
	s.refuse(http.StatusServiceUnavailable, refusal.Reason, refusal.RetryAfter)
}

// finish answers a request that is not sent again.
func (s *serving) finish(decision repeat.Decision, end sendEnd) {
	switch {
	case s.deliverFailure():
	case s.headSent:
		s.cut(end.reason)
	case decision.Promise:
		s.refuse(http.StatusServiceUnavailable, end.reason, spread(refusedWait))
	case time.Until(s.deadline) <= 0:
		s.fail(http.StatusGatewayTimeout, end.reason)
	default:
		s.fail(http.StatusBadGateway, end.reason)
	}
}

// deliverFailure passes on what an endpoint has answered itself, if there is
// such an answer and no other one has begun. It reports whether it did.
func (s *serving) deliverFailure() bool {
	if s.failure == nil || s.headSent {
		return false
	}
	s.deliver(s.failure)
	return true
}

// refusedWait is when callers come back after an endpoint refused: its queue
// has moved on by then.
const refusedWait = 300 * time.Millisecond

// sendEnd is how one send ended.
type sendEnd struct {
	// answered tells that the caller has its final answer.
	answered bool
	fate     repeat.Fate
	reason   string
	// failure is the endpoint's own answer; nil if there is none.
	failure *wholeAnswer
}

// send sends the request to one endpoint and passes its answer on.
func (s *serving) send(lease *dispatch.Lease) sendEnd {
	s.fields["endpoint"] = lease.Endpoint
	s.fields["endpoint_busy"] = lease.Busy
	s.fields["endpoint_slots"] = lease.Slots
	s.fields["endpoint_sequence"] = lease.EntrySequence
	s.fields["loads_age_ms"] = lease.LoadAge.Milliseconds()
	s.fields["hosts"] = lease.HostCount
	s.fields["queue_wait_ms"] = lease.QueueWait.Milliseconds()
	s.fields["expected_first_ms"] = lease.ExpectedFirstResponse.Milliseconds()
	dialing, cancel := context.WithDeadline(s.context(), s.deadline)
	conn, err := lease.Pool.Get(dialing)
	cancel()
	if err != nil {
		lease.Release(unlessLeft(s, fleet.ResultUnreachable))
		return sendEnd{fate: repeat.FateNotSent, reason: "endpoint_unreachable"}
	}
	if s.context().Err() != nil || !lease.IsEndpointUsable() {
		conn.Close()
		lease.Release(fleet.ResultNeutral)
		return sendEnd{fate: repeat.FateNotSent, reason: "endpoint_left"}
	}
	// Aborting the connection makes the endpoint drop the request.
	stop := context.AfterFunc(s.context(), conn.Abort)
	defer stop()
	s.sends++
	s.attempts++
	sent := time.Now()
	answer, err := conn.Do(s.outgoing(lease), s.headBy(lease), func(header http.Header) bool {
		return s.isStale(conn, header)
	})
	if err != nil {
		conn.Abort()
		return s.noAnswer(lease, sent, err)
	}
	said := s.relay.Protocol.Answer(answer.Status, answer.Header)
	if said.Cold > 0 {
		lease.MarkCold(said.Cold)
	}
	if said.NotRun {
		s.attempts--
		s.discard(answer)
		if answer.Status == http.StatusMisdirectedRequest {
			lease.Release(fleet.ResultWrongEndpoint)
			return sendEnd{fate: repeat.FateNotRun, reason: "other_endpoint"}
		}
		lease.Release(fleet.ResultRefused)
		return sendEnd{fate: repeat.FateNotRun, reason: "endpoint_refused"}
	}
	return s.pass(lease, answer, said)
}

// unlessLeft is the result, or none if the caller has left meanwhile.
func unlessLeft(s *serving, result fleet.Result) fleet.Result {
	if s.context().Err() != nil {
		return fleet.ResultNeutral
	}
	return result
}

func (s *serving) outgoing(lease *dispatch.Lease) upstream.Request {
	send := Send{Endpoint: lease.Endpoint, Deadline: time.Until(s.deadline), LastEvent: s.events.last}
	if s.team != nil {
		send.Team = s.team.Name
	}
	return upstream.Request{
		Method: s.request.Method, Target: s.request.RequestURI, Host: s.request.Host,
		Header: s.relay.Protocol.Forward(s.request.Header, send), Body: s.body,
	}
}

// isStale reports whether an answer belongs to an earlier request.
func (s *serving) isStale(conn *upstream.Conn, header http.Header) bool {
	id := s.relay.Protocol.Answer(http.StatusOK, header).ID
	if id == "" {
		return conn.WasUsed()
	}
	return id != s.caller.ID
}

// noAnswer ends a send whose answer did not come.
func (s *serving) noAnswer(lease *dispatch.Lease, sent time.Time, err error) sendEnd {
	if errors.Is(err, upstream.ErrNotSent) {
		s.attempts--
		s.sends--
		lease.Release(unlessLeft(s, fleet.ResultUnreachable))
		return sendEnd{fate: repeat.FateNotSent, reason: "connection_failed"}
	}
	result, reason := fleet.ResultIncomplete, "answer_lost"
	if isTimeout(err) {
		result, reason = silence(time.Since(sent)), "endpoint_silent"
	}
	lease.Release(unlessLeft(s, result))
	return sendEnd{fate: repeat.FateUnknown, reason: reason}
}

// silenceLeast is the silence from which a time-out speaks against an endpoint;
// sound ones are slower than a caller's deadline at times.
const silenceLeast = time.Second

// silence is what a silence of a length tells of an endpoint.
func silence(length time.Duration) fleet.Result {
	if length < silenceLeast {
		return fleet.ResultNeutral
	}
	return fleet.ResultTimeout
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
