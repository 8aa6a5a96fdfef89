package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/request/repeat"
)

// Carrier is another host that carries requests to a service that this host cannot
// reach.
type Carrier struct {
	Name string
	// Pool holds the connections to the address at which it accepts carried requests.
	Pool *upstream.Pool
}

// Carriers finds other hosts to carry requests.
type Carriers interface {
	// Find returns a host that can reach a service and is not among those tried, or
	// false.
	Find(service string, tried []string) (Carrier, bool)
}

// OperatorRecords reports how much of the operator's records this host has read and applied.
type OperatorRecords interface {
	// Next returns the position up to which the records have been read, and false until
	// they have been read for the first time.
	Next() (keyed.Position, bool)
	// Await waits until the records up to a position are applied. It returns false if ctx
	// is done first.
	Await(ctx context.Context, position keyed.Position) bool
}

// Header fields between a host and its carrier. They never reach callers or endpoints.
const (
	// carriedHeader marks a carried request. Its first value is carriedFirst or
	// carriedRetry, for a caller's first attempt or retry. The second one is the position
	// up to which the host has read the operator's records; a host that runs a version
	// that does not send it has none, and one that does not know it reads the first value.
	carriedHeader = "Mustarddoor-Carried"
	carriedFirst  = "first"
	carriedRetry  = "retry"
	// unreachedHeader marks the refusal of a carrier that cannot reach the service either.
	unreachedHeader = "Mustarddoor-Unreached"
)

const (
	// maxCarriers is the number of other hosts that a request is offered to.
	maxCarriers = 2
	// carrierDialTimeout limits connecting to a carrier.
	carrierDialTimeout = 500 * time.Millisecond
	// carrierGrace is how much longer than its deadline a request waits for the final
	// response of its carrier.
	carrierGrace = 150 * time.Millisecond
	// maxBehind is how long a carrier waits until it has read the operator's records as
	// far as the host that passes on the request.
	maxBehind = 300 * time.Millisecond
	// minUnreachable is the number of endpoints that a request tries to connect to in
	// vain before another host carries it.
	minUnreachable = 2
)

// IsCarried reports whether a request comes from another host.
func IsCarried(request *http.Request) bool { return request.Header.Get(carriedHeader) != "" }

// ServeCarried serves a request that another host could not send to an endpoint. It is
// charged, queued and sent as if the caller had sent it here, and is not passed on to a
// third host.
func (r *Relay) ServeCarried(w http.ResponseWriter, request *http.Request) {
	r.carrying.Add(1)
	defer r.carrying.Add(-1)
	carried := parseCarried(request.Header.Values(carriedHeader))
	request.Header.Del(carriedHeader)
	r.serve(w, request, &carried)
}

// parseCarried parses the values of carriedHeader.
func parseCarried(values []string) carriedRequest {
	carried := carriedRequest{isCallerRetry: values[0] == carriedRetry}
	if len(values) > 1 {
		// A position that cannot be parsed is that of a host which has read nothing.
		_, _ = fmt.Sscanf(values[1], positionFormat, &carried.operator.Era, &carried.operator.Offset)
	}
	return carried
}

// positionFormat is the format of a position in carriedHeader: the era and the offset.
const positionFormat = "%d.%d"

// isBehindSender reports whether another host passed on the request that has read more of
// the operator's records than this one. It waits for a moment until this one has, too.
// Otherwise this host would refuse for good what the other one has found to be allowed.
func (s *serverRequest) isBehindSender() bool {
	if s.carried == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.context(), maxBehind)
	defer cancel()
	return !s.relay.Records.Await(ctx, s.carried.operator)
}

// refuseBehind refuses a request of a host that has read more than this one. That host offers
// it to another one.
func (s *serverRequest) refuseBehind() {
	s.markUnreached(repeat.OutcomeNotSent)
	s.refuse(http.StatusServiceUnavailable, "behind", withJitter(defaultRetryAfter))
}

// CarryingCount returns the number of requests in progress for other hosts.
func (r *Relay) CarryingCount() int { return int(r.carrying.Load()) }

// carriedRequest holds what the first host has determined about a carried request.
type carriedRequest struct {
	isCallerRetry bool
	// operator is the position up to which that host has read the operator's records; zero if
	// the request does not name it.
	operator keyed.Position
}

// carryIfLost lets another host carry the request if this one has lost its service. It
// reports whether the request has been responded to.
func (s *serverRequest) carryIfLost() bool {
	return s.carried == nil && s.relay.Dispatcher.HasLost(s.service) && s.carry()
}

// carryIfUnreachable is carryIfLost for a request that was not sent, since several
// endpoints could not be connected to.
func (s *serverRequest) carryIfUnreachable() bool {
	canCarry := s.carried == nil && s.attempts == 0 && !s.headerSent && s.endpointFailure == nil
	if !canCarry || s.unreachable < minUnreachable && !s.relay.Dispatcher.HasLost(s.service) {
		return false
	}
	return s.carry()
}

// carry offers the request to other hosts until one has accepted it, and reports whether
// the request has been responded to.
func (s *serverRequest) carry() bool {
	var tried []string
	for len(tried) < maxCarriers {
		carrier, found := s.relay.Carriers.Find(s.service, tried)
		if !found {
			return false
		}
		tried = append(tried, carrier.Name)
		if s.carryTo(carrier) || s.hasCallerLeft() {
			return true
		}
	}
	return false
}

// carryTo sends the request to another host and relays its response. It returns false if
// that host certainly has not sent the request to an endpoint and will not.
func (s *serverRequest) carryTo(carrier Carrier) bool {
	ctx, cancel := context.WithTimeout(s.context(), min(carrierDialTimeout, time.Until(s.deadline)))
	conn, err := carrier.Pool.Get(ctx)
	cancel()
	if err != nil {
		s.logCarrierFailure(carrier, err)
		return false
	}
	s.fields["carrier"] = carrier.Name
	conn.AbortOn(s.context())
	kind := carriedFirst
	if s.isCallerRetry {
		kind = carriedRetry
	}
	header := s.relay.Protocol.CarriedHeader(s.request.Header, time.Until(s.deadline))
	operator, _ := s.relay.Records.Next()
	header[carriedHeader] = []string{kind, fmt.Sprintf(positionFormat, operator.Era, operator.Offset)}
	response, err := conn.Do(upstream.Request{
		Method: s.request.Method, Target: s.request.RequestURI, Host: s.request.Host, Header: header, Body: s.body,
	}, s.deadline.Add(carrierGrace), func(header http.Header) bool {
		return conn.IsReused() && s.relay.Protocol.ParseResponse(http.StatusOK, header).ID != s.caller.ID
	})
	if err != nil {
		conn.Abort()
		s.logCarrierFailure(carrier, err)
		if errors.Is(err, upstream.ErrNotSent) {
			return false
		}
		if !s.hasCallerLeft() {
			s.failUnknown(err)
		}
		return true
	}
	if response.Header.Get(unreachedHeader) != "" {
		s.discardBody(response)
		return false
	}
	s.refund() // the carrier has charged the request
	s.relay.carriedCount.Inc(1)
	s.relayCarried(response)
	return true
}

// failUnknown responds to a request of which it is unknown whether it has run.
func (s *serverRequest) failUnknown(err error) {
	s.attempts++
	status := http.StatusBadGateway
	if isTimeout(err) {
		status = http.StatusGatewayTimeout
	}
	s.fail(status, "carrier_failed")
}

func (s *serverRequest) logCarrierFailure(carrier Carrier, err error) {
	s.relay.Log.LogRequest(decisionlog.Failure, func() (string, logrus.Fields) {
		return "carrier failed", logrus.Fields{"request": s.caller.ID, "carrier": carrier.Name, "error": err.Error()}
	})
}

// relayCarried copies the response of a carrier, which has decided on it, as it arrives.
func (s *serverRequest) relayCarried(response *upstream.Response) {
	defer response.Finish()
	s.relay.Protocol.CopyResponseHeader(s.w.Header(), response.Header)
	s.w.WriteHeader(response.Status)
	s.firstSentAt, s.headerSent = time.Now(), true
	s.outcome = outcome{outcomeAnswered, response.Status, "carried"}
	if impliesNotRun(response.Status) {
		s.outcome.kind = outcomeRefused
	}
	if err := response.Await(0, s.deadline.Add(carrierGrace)); err != nil {
		s.abort("carrier_failed")
		return
	}
	control := http.NewResponseController(s.w)
	buffer := make([]byte, streamReadBytes)
	for {
		n, err := response.Read(buffer)
		s.relay.traffic.add(n)
		if n > 0 {
			_, writeErr := s.w.Write(buffer[:n])
			if writeErr == nil {
				writeErr = control.Flush()
			}
			if writeErr != nil {
				s.outcome = outcome{outcomeCallerLeft, 0, "caller_left"}
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			if !s.hasCallerLeft() {
				s.abort("carrier_failed")
			}
			return
		}
	}
}

// markUnreached marks a refusal of a carried request, so that the first host offers it to
// another one.
func (s *serverRequest) markUnreached(outcome repeat.Outcome) {
	if s.carried != nil && outcome == repeat.OutcomeNotSent {
		s.w.Header().Set(unreachedHeader, "1")
	}
}
