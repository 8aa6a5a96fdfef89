package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/version/routing"
)

const (
	// stoppingRetryAfter is the Retry-After time while the host shuts down. It
	// is short because the retry goes to another host.
	stoppingRetryAfter = 20 * time.Millisecond
	// stopMargin is the time between a request's deadline and the end of the
	// shutdown in which its final response is sent.
	stopMargin = 200 * time.Millisecond
	// minStreamTimeLeft and minPlainTimeLeft are the shortest times until the
	// end of a shutdown with which a request that may outlast it is accepted.
	// Most streams end within minStreamTimeLeft.
	minStreamTimeLeft = 4500 * time.Millisecond
	minPlainTimeLeft  = 1500 * time.Millisecond
	// maxUnboundedTime is the time from the begin of a shutdown in which such
	// requests are accepted, until callers have learned of the other hosts.
	maxUnboundedTime = 3 * time.Second
)

// errStopped is the cause of the end of a request that runs longer than the process.
var errStopped = eris.New("the process ends")

// reasonStopped is the reason of such a request.
const reasonStopped = "stopped"

// End ends the requests in progress, because the process ends.
func (r *Relay) End() { r.end() }

// isEnded reports whether the request is ended because the process ends.
func (s *serverRequest) isEnded() bool { return errors.Is(context.Cause(s.context()), errStopped) }

// refuseStopping refuses a request that the shutdown could cut.
func (s *serverRequest) refuseStopping() {
	s.refuse(http.StatusServiceUnavailable, "stopping", withJitter(stoppingRetryAfter))
}

// endsAfterStop reports whether the shutdown of the process may interrupt a request that
// is sent at sentAt. A request that must not run twice is only sent if its deadline is
// before the end of the shutdown.
func (s *serverRequest) endsAfterStop(sentAt time.Time) bool {
	stop := s.relay.Stop()
	if stop == nil || !s.deadline.Add(stopMargin).After(stop.EndsAt) {
		return false
	}
	if s.isPlain() && !s.route.IsRetryable() || sentAt.Sub(stop.RequestedAt) > maxUnboundedTime {
		return true
	}
	minTimeLeft := minStreamTimeLeft
	if s.isPlain() {
		minTimeLeft = minPlainTimeLeft
	}
	return sentAt.Add(minTimeLeft).After(stop.EndsAt)
}

// isPlain reports whether the response is not a stream.
func (s *serverRequest) isPlain() bool { return s.route.Kind != routing.KindStream }
