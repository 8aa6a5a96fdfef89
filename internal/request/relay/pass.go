package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/request/repeat"
	"mustarddoor/internal/version/routing"
)

const (
	// maxWhole bounds the answers that are read whole before they are passed
	// on, so that a broken one can be repeated; in bytes.
	maxWhole = 256 << 10
	// readStep is the size of the reads of an answer in bytes.
	readStep = 8 << 10
	// discardMost bounds what is read of an answer that is not passed on.
	discardMost = 64 << 10
	// stallLeast is how long a stream may pause before it is resumed at
	// another endpoint. It is well over the pauses of sound endpoints and
	// well under the time after which callers leave.
	stallLeast = 1200 * time.Millisecond
	// stallAims bounds the wait for a first event, in aims of the route.
	stallAims = 2
)

// canMove reports whether the request may go on at another endpoint if this
// one falls silent.
func (s *serving) canMove() bool {
	return s.route.MayRepeat() && s.sends < s.route.Attempts
}

// headBy is when the head of the answer must have come.
func (s *serving) headBy(lease *dispatch.Lease) time.Time {
	if !s.canMove() {
		return s.deadline
	}
	wait := max(stallLeast, stallAims*s.route.Aim) + lease.ExpectedFirstResponse
	return earlier(s.deadline, time.Now().Add(wait))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pass passes an endpoint's answer on.
func (s *serving) pass(lease *dispatch.Lease, answer *upstream.Answer, said AnswerAttributes) sendEnd {
	if s.route.Kind == routing.KindStream && answer.Status == http.StatusOK {
		if !said.Sealed {
			answer.Finish()
			lease.Release(unlessLeft(s, fleet.ResultIncomplete))
			return sendEnd{fate: repeat.FateUnknown, reason: "answer_unfit"}
		}
		return s.passStream(lease, answer)
	}
	if s.headSent {
		// The resumed stream failed at once.
		s.discard(answer)
		lease.Release(fleet.ResultFailed)
		return sendEnd{fate: repeat.FateFailed, reason: "resume_failed"}
	}
	return s.passWhole(lease, answer, said)
}

// passWhole reads an answer whole and then passes it on.
func (s *serving) passWhole(lease *dispatch.Lease, answer *upstream.Answer, said AnswerAttributes) sendEnd {
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errTooLarge
	}
	answer.Finish()
	if err != nil {
		lease.Release(unlessLeft(s, fleet.ResultIncomplete))
		return sendEnd{fate: repeat.FateUnknown, reason: "answer_broken"}
	}
	isFailure := answer.Status >= http.StatusInternalServerError
	result := fleet.ResultSuccess
	if isFailure {
		result = fleet.ResultFailed
	}
	lease.RecordFirstEvent()
	lease.Release(result)
	if !isFailure && !said.Sealed || isPromise(answer.Status) {
		// Passed on, it would say more than the endpoint has said.
		return sendEnd{fate: repeat.FateUnknown, reason: "answer_unfit"}
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if isFailure && s.canMove() && time.Until(s.deadline) > s.route.Aim/2 {
		return sendEnd{fate: repeat.FateFailed, reason: "endpoint_failed", failure: whole}
	}
	s.deliver(whole)
	return sendEnd{answered: true}
}

// wholeAnswer is an endpoint's answer that was read whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes a whole answer on.
func (s *serving) deliver(answer *wholeAnswer) {
	s.relay.Protocol.CopyAnswer(s.w.Header(), answer.header)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	s.w.WriteHeader(answer.status)
	s.firstAt = time.Now()
	s.outcome = outcome{outcomeAnswered, answer.status, ""}
	if _, err := s.w.Write(answer.body); err != nil {
		s.outcome = outcome{outcomeLeft, 0, "caller_left"}
	}
}

// passStream passes events on as they come.
func (s *serving) passStream(lease *dispatch.Lease, answer *upstream.Answer) sendEnd {
	control := http.NewResponseController(s.w)
	buffer := make([]byte, readStep)
	s.events.pending = nil
	begun, begin, first, last := s.events.count, time.Now(), time.Time{}, time.Time{}
	for {
		if err := answer.SetDeadline(s.eventBy()); err != nil {
			lease.Release(unlessLeft(s, fleet.ResultIncomplete))
			answer.Finish()
			return sendEnd{fate: repeat.FateUnknown, reason: "stream_broken"}
		}
		n, err := answer.Read(buffer)
		if whole := s.events.add(buffer[:n]); len(whole) > 0 {
			now := time.Now()
			if first.IsZero() {
				first = now
				lease.RecordFirstEvent()
			}
			if !last.IsZero() {
				s.longestGap = max(s.longestGap, now.Sub(last))
			}
			last = now
			if !s.passEvents(control, answer, whole) {
				answer.Finish()
				lease.Release(fleet.ResultNeutral)
				s.outcome = outcome{outcomeLeft, 0, "caller_left"}
				return sendEnd{answered: true}
			}
		}
		if err == nil && len(s.events.pending) <= maxEvent {
			continue
		}
		answer.Finish()
		if errors.Is(err, io.EOF) && s.events.isAtBorder() && s.events.count > begun {
			if count := s.events.count - begun; count > 1 {
				lease.RecordInterTokenLatency(last.Sub(first) / time.Duration(count-1) / time.Duration(s.eventTokens()))
			}
			lease.Release(fleet.ResultSuccess)
			s.outcome = outcome{outcomeAnswered, answer.Status, ""}
			return sendEnd{answered: true}
		}
		result, reason := fleet.ResultIncomplete, "stream_broken"
		if err != nil && isTimeout(err) {
			result, reason = silence(time.Since(later(last, begin))), "stream_silent"
		}
		lease.Release(unlessLeft(s, result))
		if s.canMove() {
			s.relay.resumed.Inc(1)
		}
		return sendEnd{fate: repeat.FateUnknown, reason: reason}
	}
}

// eventTokens is the number of tokens in an event of the service's streams.
func (s *serving) eventTokens() int {
	if service := s.table.Service(s.service); service != nil && service.Engine != nil {
		return service.Engine.EventTokens
	}
	return 1
}

// eventBy is when the next event must have come.
func (s *serving) eventBy() time.Time {
	if !s.canMove() {
		return s.deadline
	}
	return earlier(s.deadline, time.Now().Add(max(stallLeast, stallAims*s.route.GapAim)))
}

// passEvents passes whole events on and reports whether the caller takes them.
func (s *serving) passEvents(control *http.ResponseController, answer *upstream.Answer, events []byte) bool {
	if !s.headSent {
		s.headSent = true
		s.firstAt = time.Now()
		s.relay.firstEvent.Update(s.firstAt.Sub(s.begin))
		s.relay.Protocol.CopyAnswer(s.w.Header(), answer.Header)
		s.w.WriteHeader(answer.Status)
	}
	if _, err := s.w.Write(events); err != nil {
		return false
	}
	return control.Flush() == nil
}

// discard reads an answer that is not passed on, so that its connection can be
// used again.
func (s *serving) discard(answer *upstream.Answer) {
	// An error shows in Finish, which closes the connection then.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, discardMost))
	answer.Finish()
}

// isPromise reports whether a status says that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
