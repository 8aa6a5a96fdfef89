package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/request/repeat"
)

// sendResult is the result of sending the request to one endpoint.
type sendResult struct {
	// done is set if no further response is due to the caller.
	done    bool
	outcome repeat.Outcome
	reason  string
	// endpointFailure is the endpoint's error response, or nil.
	endpointFailure *bufferedResponse
	// replacement is the send to another endpoint that has taken over, or nil.
	replacement *replacement
}

// openedResponse is an endpoint's response whose header has arrived.
type openedResponse struct {
	lease      *dispatch.Lease
	conn       *upstream.Conn
	response   *upstream.Response
	attributes ResponseAttributes
}

// discard ends a response that is not relayed, and the request at its endpoint.
func (o *openedResponse) discard(result fleet.Result) {
	o.conn.Abort()
	o.lease.Release(result)
}

// send sends the request to one endpoint and relays its response.
func (s *serverRequest) send(lease *dispatch.Lease) sendResult {
	var f *failover
	opened, failure := s.openResponse(s.context(), lease, func(conn *upstream.Conn) {
		f = s.watch(lease, conn, s.maxHeaderSilence(lease))
	})
	if opened == nil {
		if f != nil {
			f.stop()
			failure.replacement = f.replacement
		}
		return failure
	}
	return s.relayOpened(opened, f)
}

// continueWith relays the response of an endpoint that has taken over.
func (s *serverRequest) continueWith(r *replacement) sendResult {
	defer r.cancel()
	if r.response == nil {
		return r.failure
	}
	return s.relayOpened(r.response, s.watch(r.lease, r.response.conn, 0))
}

// relayOpened relays a response, or what takes over from it.
func (s *serverRequest) relayOpened(opened *openedResponse, f *failover) sendResult {
	defer f.stop()
	result := s.relayResponse(opened, f)
	result.replacement = f.replacement
	return result
}

// openResponse sends the request to one endpoint and reads the header of its response.
// Without a response to relay, it releases the lease and returns what happened. It calls
// beforeSend right before it sends. If ctx ends, the request is canceled at the endpoint.
func (s *serverRequest) openResponse(ctx context.Context, lease *dispatch.Lease, beforeSend func(*upstream.Conn)) (*openedResponse, sendResult) {
	s.addLeaseFields(lease)
	dialCtx, cancel := context.WithDeadline(ctx, s.deadline)
	conn, err := lease.Pool.Get(dialCtx)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			s.unreachable++
			lease.RecordConnection(false)
		}
		lease.Release(resultUnlessCanceled(ctx, fleet.ResultUnreachable))
		return nil, sendResult{outcome: repeat.OutcomeNotSent, reason: "endpoint_unreachable"}
	}
	if conn.IsNew() {
		lease.RecordConnection(true)
	}
	if ctx.Err() != nil || !lease.IsEndpointUsable() {
		conn.Close()
		lease.Release(fleet.ResultNeutral)
		return nil, sendResult{outcome: repeat.OutcomeNotSent, reason: "endpoint_left"}
	}
	if !s.relay.Quarantine.AllowSend(s.suspects()) {
		conn.Close()
		lease.Release(fleet.ResultNeutral)
		return nil, sendResult{outcome: repeat.OutcomeNotSent, reason: reasonQuarantined}
	}
	conn.AbortOn(ctx)
	s.sends++
	s.attempts++
	sentAt := time.Now()
	beforeSend(conn)
	response, err := conn.Do(s.upstreamRequest(lease), s.deadline, func(header http.Header) bool {
		return s.isStale(conn, header)
	})
	s.longestDelay = max(s.longestDelay, conn.LongestDelay())
	if err != nil {
		conn.Abort()
		return nil, s.handleNoResponse(ctx, lease, sentAt, err)
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
			return nil, sendResult{outcome: repeat.OutcomeNotRun, reason: "other_endpoint"}
		}
		lease.RecordRejection()
		lease.Release(fleet.ResultRefused)
		return nil, sendResult{outcome: repeat.OutcomeNotRun, reason: "endpoint_refused"}
	}
	return &openedResponse{lease: lease, conn: conn, response: response, attributes: attributes}, sendResult{}
}

// addLeaseFields adds the endpoint that the request is sent to, to the log fields.
func (s *serverRequest) addLeaseFields(lease *dispatch.Lease) {
	s.fields["endpoint"] = lease.Endpoint
	s.fields["endpoint_busy"] = lease.Busy
	s.fields["endpoint_slots"] = lease.Slots
	s.fields["endpoint_sequence"] = lease.EntrySequence
	s.fields["loads_age_ms"] = lease.LoadAge.Milliseconds()
	s.fields["hosts"] = lease.HostCount
	s.fields["queue_wait_ms"] = lease.QueueWait.Milliseconds()
	s.fields["expected_first_ms"] = lease.ExpectedFirstResponse.Milliseconds()
}

// resultUnlessCanceled returns the result, or fleet.ResultNeutral if the send was
// canceled: the endpoint is not to blame then.
func resultUnlessCanceled(ctx context.Context, result fleet.Result) fleet.Result {
	if ctx.Err() != nil {
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
		// An endpoint cannot echo the ID of a request that has none.
		return conn.IsReused() && s.caller.ID != ""
	}
	return id != s.caller.ID
}

// handleNoResponse ends a send that failed before the response header arrived.
func (s *serverRequest) handleNoResponse(ctx context.Context, lease *dispatch.Lease, sentAt time.Time, err error) sendResult {
	if errors.Is(err, upstream.ErrNotSent) {
		s.attempts--
		s.sends--
		lease.Release(resultUnlessCanceled(ctx, fleet.ResultUnreachable))
		return sendResult{outcome: repeat.OutcomeNotSent, reason: "connection_failed"}
	}
	result, reason := fleet.ResultIncomplete, "answer_lost"
	if isTimeout(err) {
		result, reason = silenceResult(time.Since(sentAt)), "endpoint_silent"
	} else if ctx.Err() == nil {
		s.checkCrash(lease, 0)
	}
	lease.Release(resultUnlessCanceled(ctx, result))
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
