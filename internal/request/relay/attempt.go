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

// sendWithRetries sends the request to endpoints until one has responded, no
// endpoint is available or a retry is not allowed.
func (s *serverRequest) sendWithRetries() {
	for {
		if s.respondIfQuarantined() {
			return
		}
		lease, err := s.relay.Dispatcher.Acquire(s.context(), s.job())
		if err != nil {
			s.respondNoEndpoint(err)
			return
		}
		s.relay.queueWait.Update(lease.QueueWait)
		result := s.send(lease)
		if s.hasCallerLeft() {
			return
		}
		if result.done {
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
		decision := repeat.Decide(state)
		if decision.Retry && result.outcome != repeat.OutcomeNotSent && !s.relay.Limits.AllowRetry(s.service) {
			decision = repeat.WithoutRetry(state)
		}
		if !decision.Retry {
			s.respondFailure(decision, result)
			return
		}
		s.logRetry(lease, result)
		if result.outcome != repeat.OutcomeNotSent {
			s.relay.retries.Inc(1)
		}
	}
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
		if !s.hasCallerLeft() {
			s.fail(http.StatusInternalServerError, err.Error())
		}
		return
	}
	s.fields["predicted_wait_ms"] = refusal.PredictedWait.Milliseconds()
	s.fields["queued"] = refusal.QueueLength
	s.fields["slots"] = refusal.SlotShare
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

// sendResult is the result of sending the request to one endpoint.
type sendResult struct {
	// done is set if no further response is due to the caller.
	done    bool
	outcome repeat.Outcome
	reason  string
	// endpointFailure is the endpoint's error response, or nil.
	endpointFailure *bufferedResponse
}

// send sends the request to one endpoint and relays its response.
func (s *serverRequest) send(lease *dispatch.Lease) sendResult {
	s.fields["endpoint"] = lease.Endpoint
	s.fields["endpoint_busy"] = lease.Busy
	s.fields["endpoint_slots"] = lease.Slots
	s.fields["endpoint_sequence"] = lease.EntrySequence
	s.fields["loads_age_ms"] = lease.LoadAge.Milliseconds()
	s.fields["hosts"] = lease.HostCount
	s.fields["queue_wait_ms"] = lease.QueueWait.Milliseconds()
	s.fields["expected_first_ms"] = lease.ExpectedFirstResponse.Milliseconds()
	dialCtx, cancel := context.WithDeadline(s.context(), s.deadline)
	conn, err := lease.Pool.Get(dialCtx)
	cancel()
	if err != nil {
		if s.context().Err() == nil {
			s.unreachable++
			lease.RecordConnection(false)
		}
		lease.Release(resultUnlessCallerLeft(s, fleet.ResultUnreachable))
		return sendResult{outcome: repeat.OutcomeNotSent, reason: "endpoint_unreachable"}
	}
	if conn.IsNew() {
		lease.RecordConnection(true)
	}
	if s.context().Err() != nil || !lease.IsEndpointUsable() {
		conn.Close()
		lease.Release(fleet.ResultNeutral)
		return sendResult{outcome: repeat.OutcomeNotSent, reason: "endpoint_left"}
	}
	if !s.relay.Quarantine.AllowSend(s.suspects()) {
		conn.Close()
		lease.Release(fleet.ResultNeutral)
		return sendResult{outcome: repeat.OutcomeNotSent, reason: reasonQuarantined}
	}
	// If the caller leaves, aborting the connection cancels the request at the
	// endpoint.
	stop := context.AfterFunc(s.context(), conn.Abort)
	defer stop()
	s.sends++
	s.attempts++
	sentAt := time.Now()
	response, err := conn.Do(s.upstreamRequest(lease), s.headerDeadline(lease), func(header http.Header) bool {
		return s.isStale(conn, header)
	})
	if err != nil {
		conn.Abort()
		return s.handleNoResponse(lease, sentAt, err)
	}
	attributes := s.relay.Protocol.ParseResponse(response.Status, response.Header)
	if attributes.ColdRemaining > 0 {
		lease.MarkCold(attributes.ColdRemaining)
	}
	if response.Status != http.StatusMisdirectedRequest {
		lease.RecordBrittleness(attributes.IsBrittle, attributes.MaxRejections, sentAt)
	}
	if response.Status == http.StatusServiceUnavailable && attributes.RetryAfter > 0 {
		lease.Pause(attributes.RetryAfter)
	}
	if attributes.Leaving && response.Status != http.StatusMisdirectedRequest {
		lease.MarkLeaving()
	}
	s.recordRateLimit(lease, response.Status, attributes, sentAt)
	if attributes.NotRun {
		s.attempts--
		s.discardBody(response)
		if response.Status == http.StatusMisdirectedRequest {
			lease.Release(fleet.ResultWrongEndpoint)
			return sendResult{outcome: repeat.OutcomeNotRun, reason: "other_endpoint"}
		}
		lease.RecordRejection()
		lease.Release(fleet.ResultRefused)
		return sendResult{outcome: repeat.OutcomeNotRun, reason: "endpoint_refused"}
	}
	return s.relayResponse(lease, response, attributes)
}

// resultUnlessCallerLeft returns the result, or fleet.ResultNone if the caller
// has disconnected: the endpoint is not to blame then.
func resultUnlessCallerLeft(s *serverRequest, result fleet.Result) fleet.Result {
	if s.context().Err() != nil {
		return fleet.ResultNeutral
	}
	return result
}

func (s *serverRequest) upstreamRequest(lease *dispatch.Lease) upstream.Request {
	attributes := SendAttributes{Endpoint: lease.Endpoint, Deadline: time.Until(s.deadline), LastEventID: s.events.lastID}
	if s.team != nil {
		attributes.Team = s.team.Name
	}
	return upstream.Request{
		Method: s.request.Method, Target: s.request.RequestURI, Host: s.request.Host,
		Header: s.relay.Protocol.ForwardHeader(s.request.Header, attributes), Body: s.body,
	}
}

// isStale reports whether a response belongs to an earlier request on the
// connection.
func (s *serverRequest) isStale(conn *upstream.Conn, header http.Header) bool {
	id := s.relay.Protocol.ParseResponse(http.StatusOK, header).ID
	if id == "" {
		return conn.IsReused()
	}
	return id != s.caller.ID
}

// handleNoResponse ends a send that failed before the response header arrived.
func (s *serverRequest) handleNoResponse(lease *dispatch.Lease, sentAt time.Time, err error) sendResult {
	if errors.Is(err, upstream.ErrNotSent) {
		s.attempts--
		s.sends--
		lease.Release(resultUnlessCallerLeft(s, fleet.ResultUnreachable))
		return sendResult{outcome: repeat.OutcomeNotSent, reason: "connection_failed"}
	}
	result, reason := fleet.ResultIncomplete, "answer_lost"
	if isTimeout(err) {
		result, reason = silenceResult(time.Since(sentAt)), "endpoint_silent"
	} else {
		s.checkCrash(lease, 0)
	}
	lease.Release(resultUnlessCallerLeft(s, result))
	return sendResult{outcome: repeat.OutcomeUnknown, reason: reason}
}

// minPenalizedSilence is the shortest wait for a response whose timeout counts
// against the endpoint. Healthy endpoints sometimes take longer than the
// caller's deadline allows.
const minPenalizedSilence = time.Second

// silenceResult classifies a timeout by how long the endpoint was silent.
func silenceResult(length time.Duration) fleet.Result {
	if length < minPenalizedSilence {
		return fleet.ResultNeutral
	}
	return fleet.ResultTimeout
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordRateLimit records the limit that the endpoint named. Only a success shows
// that it names none: a failure may come from elsewhere.
func (s *serverRequest) recordRateLimit(lease *dispatch.Lease, status int, attributes ResponseAttributes, sentAt time.Time) {
	isOther := status == http.StatusMisdirectedRequest
	isSuccess := status < http.StatusMultipleChoices && attributes.Sealed
	if !isOther && (attributes.HasRateLimit || isSuccess) {
		lease.RecordRateLimit(attributes.HasRateLimit, attributes.RateLimit, sentAt)
	}
}
