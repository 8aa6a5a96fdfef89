package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/quarantine"
)

const (
	// maxCrashDelay is the age of a response up to which its request may have
	// crashed the endpoint: a prompt that does so, does so as its response begins.
	maxCrashDelay = 250 * time.Millisecond
	// crashCheckTimeout limits the check whether an endpoint has ended.
	crashCheckTimeout = 300 * time.Millisecond
)

// checkCrash finds out, without blocking, whether the endpoint ended when the
// request's response broke off, and records it. responseAge is the time since the
// first event, or 0 if there was none.
func (s *serverRequest) checkCrash(lease *dispatch.Lease, responseAge time.Duration) {
	if responseAge > maxCrashDelay || s.context().Err() != nil {
		return
	}
	fields := logrus.Fields{
		"request": s.caller.ID, "route": s.route.Name, "endpoint": lease.Endpoint,
		"prompt_parts": s.caller.SharedParts, "request_digest": s.digest(), "response_age_ms": responseAge.Milliseconds(), "sends": s.sends,
	}
	incarnation, parts := lease.EndpointIncarnation(), s.suspects()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if lease.Pool.IsRefusing(ctx) {
			s.relay.crashes.Inc(1)
			s.relay.Log.Entry().WithFields(fields).Info("endpoint ended as a response began")
			s.relay.Quarantine.RecordCrash(incarnation, parts)
		}
	}()
}

// reasonQuarantined is the reason of requests with a quarantined part.
const reasonQuarantined = "prompt_quarantined"

// suspects returns what an endpoint may have ended by that runs the request: the
// shared parts of its prompt, and last the request itself.
func (s *serverRequest) suspects() []quarantine.Part {
	if s.suspectParts == nil {
		s.suspectParts = append(slices.Clone(s.caller.SharedParts), s.digest())
	}
	return s.suspectParts
}

// respondIfQuarantined responds to a request that must not be sent because it, or a
// part of its prompt, crashes endpoints, and reports whether it did.
func (s *serverRequest) respondIfQuarantined() bool {
	part, retryAfter, blocked := s.relay.Quarantine.IsQuarantined(s.suspects())
	if !blocked {
		return false
	}
	s.fields["quarantined_part"] = part
	s.relay.quarantined.Inc(1)
	switch {
	case s.respondEndpointFailure():
	case s.attempts > 0:
		s.fail(http.StatusBadGateway, reasonQuarantined)
	default:
		s.refuse(http.StatusServiceUnavailable, reasonQuarantined, withJitter(retryAfter))
	}
	return true
}
