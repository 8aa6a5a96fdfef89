package relay

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/request/repeat"
)

// sendWithRetries sends the request to endpoints until one has responded, no
// endpoint is available or a retry is not allowed.
func (s *serverRequest) sendWithRetries() {
	for {
		if s.respondIfQuarantined() {
			return
		}
		// The shutdown may have begun while the request was read or waited.
		if s.attempts == 0 && s.isPlain() && s.endsAfterStop(time.Now()) {
			s.refuseStopping()
			return
		}
		lease, err := s.relay.Dispatcher.Acquire(s.context(), s.job())
		if err != nil {
			s.respondNoEndpoint(err)
			return
		}
		s.relay.queueWait.Update(lease.QueueWait)
		result := s.send(lease)
		for result.replacement != nil {
			s.excludedEndpoints = append(s.excludedEndpoints, lease.Endpoint)
			s.logRetry(lease, result)
			s.relay.retries.Inc(1)
			lease, result = result.replacement.lease, s.continueWith(result.replacement)
		}
		if result.done || s.hasCallerLeft() {
			return
		}
		s.excludedEndpoints = append(s.excludedEndpoints, lease.Endpoint)
		if result.endpointFailure != nil {
			s.endpointFailure = result.endpointFailure
		}
		if result.outcome == repeat.OutcomeNotSent && s.carryIfUnreachable() {
			return
		}
		state := s.retryState(result)
		decision, limit := repeat.Decide(state), ""
		if decision.Retry && result.outcome != repeat.OutcomeNotSent && !s.relay.Limits.AllowRetry(s.service) {
			decision, limit = repeat.WithoutRetry(state), "retry_budget"
		}
		if !decision.Retry {
			s.fields["not_repeated"] = cmp.Or(limit, notRepeatedReason(state))
			s.respondFailure(decision, result)
			return
		}
		s.logRetry(lease, result)
		if result.outcome != repeat.OutcomeNotSent {
			s.relay.retries.Inc(1)
		}
	}
}

// notRepeatedReason returns why a request is not sent again, apart from the retry budget.
func notRepeatedReason(state repeat.State) string {
	withTime := state
	withTime.TimeLeft = time.Hour
	switch {
	case repeat.Decide(withTime).Retry:
		return "deadline"
	case !state.Retryable && state.Attempts > 0:
		return "may_run_once"
	}
	return "max_attempts"
}

// logRetry logs why the request is sent again.
func (s *serverRequest) logRetry(lease *dispatch.Lease, result sendResult) {
	s.relay.Log.LogRequest(decisionlog.Failure, func() (string, logrus.Fields) {
		return "request repeated", logrus.Fields{
			"request": s.caller.ID, "route": s.route.Name, "reason": result.reason, "endpoint": lease.Endpoint,
			"endpoint_sequence": lease.EntrySequence, "sends": s.sends, "attempts": s.attempts,
			"events": s.events.count, "last_event": s.events.lastID,
			"after_ms": time.Since(s.startedAt).Milliseconds(),
		}
	})
}

// retryState returns the state that decides on a retry.
func (s *serverRequest) retryState(result sendResult) repeat.State {
	return repeat.State{
		Retryable: s.route.IsRetryable(), Attempts: s.attempts, Sends: s.sends,
		MaxAttempts: s.route.MaxAttempts, Outcome: result.outcome,
		ResponseStarted: s.headerSent, TimeLeft: time.Until(s.deadline),
	}
}

// respondNoEndpoint responds to a request for which no endpoint is available.
func (s *serverRequest) respondNoEndpoint(err error) {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		switch {
		case s.isEnded() && s.attempts == 0:
			s.refuseStopping()
		case !s.hasCallerLeft():
			s.fail(http.StatusInternalServerError, err.Error())
		}
		return
	}
	s.fields["predicted_wait_ms"] = refusal.PredictedWait.Milliseconds()
	s.fields["queued"] = refusal.QueueLength
	s.fields["slots"] = refusal.SlotShare
	if refusal.OverShare {
		s.fields["over_share"] = true
	}
	s.fields["queue_wait_ms"] = refusal.QueueWait.Milliseconds()
	if s.respondEndpointFailure() {
		return
	}
	if s.attempts > 0 {
		// An earlier attempt may have run the request, so the response must
		// not say that it has not run.
		s.fail(http.StatusBadGateway, refusal.Reason)
		return
	}
	if s.unreachable > 0 || s.relay.Dispatcher.HasLost(s.service) {
		if s.carryIfUnreachable() {
			return
		}
		s.markUnreached(repeat.OutcomeNotSent)
	}
	s.refuse(http.StatusServiceUnavailable, refusal.Reason, refusal.RetryAfter)
}

// respondFailure responds to a failed request that is not retried.
func (s *serverRequest) respondFailure(decision repeat.Decision, result sendResult) {
	switch {
	case s.respondEndpointFailure():
	case s.headerSent:
		s.abort(result.reason)
	case decision.NotRun:
		s.markUnreached(result.outcome)
		s.refuse(http.StatusServiceUnavailable, result.reason, withJitter(refusedRetryAfter))
	case time.Until(s.deadline) <= 0:
		s.fail(http.StatusGatewayTimeout, result.reason)
	default:
		s.fail(http.StatusBadGateway, result.reason)
	}
}

// respondEndpointFailure forwards the buffered error response of an endpoint,
// if there is one and no other response has begun. It reports whether it did.
func (s *serverRequest) respondEndpointFailure() bool {
	if s.endpointFailure == nil || s.headerSent {
		return false
	}
	s.writeResponse(s.endpointFailure)
	return true
}

// refusedRetryAfter is the Retry-After time after an endpoint refused the
// request. By then its queue has advanced.
const refusedRetryAfter = 300 * time.Millisecond
