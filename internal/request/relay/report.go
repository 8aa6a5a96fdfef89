package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/process/decisionlog"
)

// report logs and counts the request, and aborts the connection if the
// response is incomplete.
func (s *serverRequest) report() {
	r := s.relay
	took := time.Since(s.startedAt)
	if s.outcome.kind == outcomeCallerLeft {
		s.findCause()
	}
	switch s.outcome.kind {
	case outcomeAnswered:
		r.answered.Inc(1)
		r.duration.Update(took)
	case outcomeRefused:
		r.refused.Inc(1)
	case outcomeCallerLeft:
		r.callerLeft.Inc(1)
	default:
		r.failed.Inc(1)
	}
	level := decisionlog.Failure
	if s.outcome.kind == outcomeAnswered && s.outcome.status < http.StatusInternalServerError && s.sends == 1 {
		level = decisionlog.Success
	}
	r.Log.LogRequest(level, func() (string, logrus.Fields) {
		s.addLogFields(took)
		return "request " + string(s.outcome.kind), s.fields
	})
	if s.outcome.kind == outcomeAborted || s.outcome.kind == outcomeCallerLeft {
		panic(http.ErrAbortHandler)
	}
}

// findCause finds out why a connection failed whose caller seems to have left.
func (s *serverRequest) findCause() {
	conn := downstream.FromContext(s.context())
	if s.isEnded() {
		s.abort(reasonStopped)
		return
	}
	if conn == nil {
		return
	}
	failure := conn.Failure()
	switch {
	case errors.Is(failure, downstream.ErrShed):
		s.outcome.reason = reasonShed
	case errors.Is(failure, io.EOF) || errors.Is(failure, syscall.ECONNRESET) || errors.Is(failure, syscall.EPIPE):
	case errors.Is(failure, net.ErrClosed):
		s.abort(reasonStopped)
	case errors.Is(failure, syscall.ETIMEDOUT):
		s.abort("caller_unreachable")
	case failure != nil:
		s.abort("connection_failed")
		s.fields["error"] = failure.Error()
	case s.context().Err() != nil:
		// Only a deadline that this host has set is left.
		s.abort("connection_timeout")
	default:
		s.abort(s.outcome.reason)
	}
}

// addLogFields adds the request's attributes and timings to its log fields.
func (s *serverRequest) addLogFields(took time.Duration) {
	f := s.fields
	f["request"] = s.caller.ID
	f["status"] = s.outcome.status
	f["took_ms"] = took.Milliseconds()
	if s.outcome.reason != "" {
		f["reason"] = s.outcome.reason
	}
	if s.table != nil {
		f["config_version"] = s.table.Version
	}
	if s.route != nil {
		f["route"] = s.route.Name
		f["service"] = s.service
		f["sends"] = s.sends
		f["returned"] = s.isCallerRetry
		f["deadline_ms"] = s.caller.Deadline.Milliseconds()
	}
	if s.longestDelay > 0 {
		f["longest_delay_ms"] = s.longestDelay.Milliseconds()
	}
	if s.team != nil {
		f["team"] = s.team.Name
	}
	if len(s.caller.SharedParts) > 0 && s.outcome.kind != outcomeAnswered {
		f["prompt_parts"] = s.caller.SharedParts
	}
	if s.outcome.kind == outcomeFailed {
		f["request_digest"] = s.digest()
	}
	if s.outcome.kind != outcomeAnswered && s.outcome.kind != outcomeRefused {
		s.addStateFields()
	}
	if s.events.count > 0 {
		f["events"] = s.events.count
		f["last_event"] = s.events.lastID
		f["longest_gap_ms"] = s.longestGap.Milliseconds()
		f["longest_write_ms"] = s.longestWrite.Milliseconds()
		f["prompt_tokens"] = s.caller.PromptTokens
		f["first_event_ms"] = s.firstSentAt.Sub(s.startedAt).Milliseconds()
	}
}

// addStateFields adds the state of this process, of the caller's connection and of the
// service to the log fields of a request that failed or was cut.
func (s *serverRequest) addStateFields() {
	f, now := s.fields, time.Now()
	f["process_delay_ms"] = s.relay.LongestDelay(s.startedAt).Milliseconds()
	if stop := s.relay.Stop(); stop != nil {
		f["stopping_ms"] = now.Sub(stop.RequestedAt).Milliseconds()
	}
	if conn := downstream.FromContext(s.context()); conn != nil {
		if lastAt := conn.LastWrite(); lastAt.After(s.startedAt) {
			f["last_write_ms"] = now.Sub(lastAt).Milliseconds()
		}
		f["caller_unsent"] = conn.Unsent()
	}
	if s.service != "" {
		load := s.relay.Dispatcher.ServiceLoad(s.service)
		f["service_busy"], f["service_slots"], f["service_queued"] = load.Busy, load.Slots, load.Queued
	}
}
