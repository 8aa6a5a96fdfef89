package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/request/repeat"
	"mustarddoor/internal/version/routing"
)

const (
	// maxBufferedBytes is the maximum size of a non-streaming response. Such a
	// response is buffered before it is relayed, so that a request whose
	// response breaks off can be retried.
	maxBufferedBytes = 256 << 10
	// streamReadBytes is the read size for streamed responses.
	streamReadBytes = 8 << 10
	// maxDiscardBytes is the most that is read of a response body that is not
	// relayed.
	maxDiscardBytes = 64 << 10
	// minStallTimeout is the shortest wait for a response header or for the
	// next event before the request fails over to another endpoint. It is well
	// above the pauses of healthy endpoints and well below the time after
	// which callers leave.
	minStallTimeout = 1200 * time.Millisecond
	// stallTargetFactor is that wait as a multiple of the route's target
	// latency or target gap.
	stallTargetFactor = 2
)

// errNoResponseMemory means that this host has no memory for the rest of a response, and
// reasonResponseMemory is the reason of what ends by that. The endpoint is not to blame.
var errNoResponseMemory = eris.New("too many responses are held in memory")

const reasonResponseMemory = "response_memory"

// canFailOver reports whether the request may be retried at another endpoint
// if this one stops responding.
func (s *serverRequest) canFailOver() bool {
	return s.route.IsRetryable() && s.sends < s.route.MaxAttempts
}

// maxHeaderSilence returns how long the endpoint may take until the response header, or 0
// if only the deadline limits it.
func (s *serverRequest) maxHeaderSilence(lease *dispatch.Lease) time.Duration {
	if !s.canFailOver() {
		return 0
	}
	return max(minStallTimeout, stallTargetFactor*s.route.TargetLatency) + lease.ExpectedFirstResponse
}

// countRun counts the request when an endpoint first responds to it.
func (s *serverRequest) countRun() {
	if s.relay.CountRun == nil || s.isRunCounted || s.team == nil {
		return
	}
	s.isRunCounted = true
	s.relay.CountRun(s.team.Name)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// relayResponse relays an endpoint's response to the caller.
func (s *serverRequest) relayResponse(opened *openedResponse, f *failover) sendResult {
	lease, response, attributes := opened.lease, opened.response, opened.attributes
	if s.route.Kind == routing.KindStream && response.Status == http.StatusOK {
		if !attributes.Sealed {
			response.Finish()
			lease.Release(resultUnlessCanceled(s.context(), fleet.ResultIncomplete))
			return sendResult{outcome: repeat.OutcomeUnknown, reason: "answer_unfit"}
		}
		return s.relayStream(lease, response, f)
	}
	if s.headerSent {
		// The stream could not be resumed at this endpoint, and its response
		// cannot follow the header that was already sent.
		s.discardBody(response)
		lease.Release(fleet.ResultFailed)
		return sendResult{outcome: repeat.OutcomeFailed, reason: "resume_failed"}
	}
	return s.relayBuffered(lease, response, attributes)
}

// relayBuffered reads the whole response and then relays it.
func (s *serverRequest) relayBuffered(lease *dispatch.Lease, response *upstream.Response, attributes ResponseAttributes) sendResult {
	s.countRun()
	startedAt := time.Now()
	body, err := s.readBuffered(response)
	response.Finish()
	if err != nil {
		result, reason := fleet.ResultIncomplete, "answer_broken"
		switch {
		case errors.Is(err, errNoResponseMemory):
			result, reason = fleet.ResultNeutral, reasonResponseMemory
		case !isTimeout(err):
			s.checkCrash(lease, 0)
		case time.Since(startedAt) < minPenalizedSilence && time.Until(s.deadline) <= 0:
			result, reason = fleet.ResultNeutral, "deadline_passed"
		}
		lease.Release(resultUnlessCanceled(s.context(), result))
		return sendResult{outcome: repeat.OutcomeUnknown, reason: reason}
	}
	isServerError := response.Status >= http.StatusInternalServerError
	result := fleet.ResultSuccess
	if isServerError {
		result = fleet.ResultFailed
	}
	lease.RecordFirstEvent()
	lease.Release(result)
	if !isServerError && !attributes.Sealed || impliesNotRun(response.Status) {
		// A caller would take the relayed response as signed by the endpoint,
		// or as a guarantee that the request has not run.
		return sendResult{outcome: repeat.OutcomeUnknown, reason: "answer_unfit"}
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if isServerError && s.canFailOver() && time.Until(s.deadline) > s.route.TargetLatency/2 {
		return sendResult{outcome: repeat.OutcomeFailed, reason: "endpoint_failed", endpointFailure: buffered}
	}
	if response.Status < http.StatusMultipleChoices {
		s.relay.Quarantine.RecordSuccess(s.suspects())
	}
	s.writeResponse(buffered)
	return sendResult{done: true}
}

// readBuffered reads the whole body of a response.
func (s *serverRequest) readBuffered(response *upstream.Response) ([]byte, error) {
	buffer := bytes.Buffer{}
	for {
		_, err := io.CopyN(&buffer, response, bodyReadBytes)
		if buffer.Len() > maxBufferedBytes {
			return nil, errTooLarge
		}
		if !s.bufferedMemory.grow(buffer.Len()) {
			return nil, errNoResponseMemory
		}
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bufferedResponse is an endpoint's response with its whole body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse sends a buffered response to the caller.
func (s *serverRequest) writeResponse(response *bufferedResponse) {
	s.relay.Protocol.CopyResponseHeader(s.w.Header(), response.header)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	s.w.WriteHeader(response.status)
	s.firstSentAt = time.Now()
	s.outcome = outcome{outcomeAnswered, response.status, ""}
	s.relay.traffic.add(len(response.body))
	if _, err := s.w.Write(response.body); err != nil {
		s.outcome = outcome{outcomeCallerLeft, 0, "caller_left"}
	}
}

// discardBody drains a response that is not relayed, so that its connection
// can be reused.
func (s *serverRequest) discardBody(response *upstream.Response) {
	// On a read error, Finish closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxDiscardBytes))
	response.Finish()
}

// impliesNotRun reports whether a status tells callers that the request has
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
