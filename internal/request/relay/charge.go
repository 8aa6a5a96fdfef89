package relay

import (
	"net/http"
	"time"
)

// charge takes the request's cost from its team's limit. If the limit does not
// cover it, charge refuses the request and returns false.
func (s *serverRequest) charge() bool {
	if s.team == nil || s.team.Rate <= 0 {
		return true
	}
	amount := 1.0
	if s.team.CountsTokens {
		amount = s.team.DefaultTokens
		if s.caller.HasTokenCounts {
			amount = float64(s.caller.PromptTokens + s.caller.MaxTokens)
		}
	}
	allowed, wait := s.relay.Limits.Charge(s.team, amount, false)
	if !allowed && s.relay.Dispatcher.HasSpareCapacity(s.service) {
		allowed, wait = s.relay.Limits.Charge(s.team, amount, true)
	}
	if !allowed {
		s.refuse(http.StatusTooManyRequests, "team_limit", wait)
		return false
	}
	s.charged, s.chargedAt = amount, time.Now()
	return true
}

// refund returns the charge of a request that has not run.
func (s *serverRequest) refund() {
	if s.charged > 0 && s.attempts == 0 {
		s.relay.Limits.Refund(s.team, s.charged, s.chargedAt)
		s.charged = 0
	}
}
