package soak

import (
	"fmt"
	"time"
)

const (
	// A stop excuses a lost response if the endpoint was still at work in the last sixth
	// of the grace period, on a request sent no later than stopIntake after the stop
	// began.
	stopIntake     = 3 * time.Second
	stopLastPhase  = stopGracePeriod * 5 / 6
	ruleLost       = "lost"
	ruleLostAtStop = "lost at stop"
)

// checkLost finds requests whose connection ended without a complete response after they
// had been passed on, although neither host nor endpoint had a disruption. Pauses,
// changes of the configuration and disruptions of the store excuse none.
func checkLost(history History) []Violation {
	var violations []Violation
	for _, request := range history.Requests {
		if history.isInterrupted(request) && history.isUndisrupted(Scope{ScopeHost, request.Host}, request.Sent, request.Ended, disruptions) && history.isCarrierSound(request) {
			violations = append(violations, lost(ruleLost, request))
		}
	}
	return violations
}

// checkLostAtStop finds requests that an orderly stop or a reload interrupted.
func checkLostAtStop(history History) []Violation {
	var violations []Violation
	for _, request := range history.Requests {
		host := Scope{ScopeHost, request.Host}
		if history.isInterrupted(request) && history.isUndisrupted(host, request.Sent, request.Ended, unplanned) &&
			!history.isUndisrupted(host, request.Sent, request.Ended, disruptions) && !history.outlastsStop(request) && history.isCarrierSound(request) {
			violations = append(violations, lost(ruleLostAtStop, request))
		}
	}
	return violations
}

func lost(rule string, request Request) Violation {
	return Violation{rule, fmt.Sprintf("%s %s at host %d, status %d, %v after it was sent: %v", request.Target, request.ID, request.Host, request.Response.Status, request.Ended.Sub(request.Sent), request.Response.Err), request.Ended}
}

// isCarrierSound reports whether no unplanned disruption affected the host that carried a
// request for another one.
func (h History) isCarrierSound(request Request) bool {
	carrier, isCarried := h.Carriers[request.ID]
	return !isCarried || h.isUndisrupted(Scope{ScopeHost, carrier}, request.Sent, request.Ended, unplanned)
}

// outlastsStop reports whether a request could not end in the grace period of a stop of
// its host.
func (h History) outlastsStop(request Request) bool {
	for _, d := range h.Disruptions {
		isStop := d.Scope == Scope{ScopeHost, request.Host} && d.Planned
		if isStop && !request.Sent.After(d.From.Add(stopIntake)) && request.Ended.After(d.From.Add(stopLastPhase)) && d.overlaps(request.Sent, request.Ended) {
			return true
		}
	}
	return false
}

// isInterrupted reports whether a request was sent to undisrupted endpoints only and
// its connection ended without a complete response.
func (h History) isInterrupted(request Request) bool {
	if request.Canceled || request.Ended.IsZero() || request.Response.Err == nil || request.Ended.After(request.Sent.Add(request.Deadline)) {
		return false
	}
	executed := h.executed(request.ID)
	for _, attempt := range h.Attempts[request.ID] {
		if !h.isUndisrupted(Scope{ScopeEndpoint, attempt.Endpoint}, request.Sent, request.Ended, disruptions) {
			return false
		}
	}
	return len(executed) > 0
}
