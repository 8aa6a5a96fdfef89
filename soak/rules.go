package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"mustarddoor/platform/standin"
)

// Bounds of the rules. They are those of the platform unless stated otherwise.
const (
	// settleTime is how long a component must have been without faults before the
	// rules with a time bound apply to it.
	settleTime = 4 * time.Second
	// requestDeadline is how long the soak's callers wait for a response, unless it is
	// a long one.
	requestDeadline = 4 * time.Second
	// deadlineSlack is how long after its deadline a request must have ended.
	deadlineSlack = 500 * time.Millisecond
	// cancelSlack is how long after its caller has canceled it a request may reach
	// an endpoint.
	cancelSlack        = 500 * time.Millisecond
	maxDrainDelay      = 3 * time.Second
	maxEvacuationDelay = 5 * time.Second
	maxConfigDelay     = 3 * time.Second
	// stopGracePeriod is how long a host may take to stop.
	stopGracePeriod = 8 * time.Second
	// maxToleratedCases is the number of cases that some rules tolerate.
	maxToleratedCases = 3
	// maxRouteAttempts is the attempt limit of the routes in the stand-in's
	// configuration.
	maxRouteAttempts = 2
	// retryWindow, retryRatio and retrySlack are the retry budget in the
	// stand-in's settings.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 52
)

// Violation is a violated guarantee.
type Violation struct {
	Rule, Detail string
	At           time.Time
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.UTC().Format("15:04:05.000"), v.Detail)
}

// Check evaluates all rules on a history and returns the violations.
func Check(history History) []Violation {
	var violations []Violation
	for _, rule := range []func(History) []Violation{
		checkResponses, checkExecutions, checkAttempts, checkCanceled, checkDeadlines, checkExclusions, checkRejections,
		checkLost, checkLostAtStop, checkRetries, checkCrashes, checkLimits, checkProcesses, checkVersions, checkDuties,
	} {
		violations = append(violations, rule(history)...)
	}
	return violations
}

// isIdempotent reports whether a request on a route may be executed more than once.
func isIdempotent(route string) bool { return route != routeUnsafe && route != routeOnce }

// executed returns the attempts of a request that were not refused.
func (h History) executed(id string) []Attempt {
	var executed []Attempt
	for _, attempt := range h.Attempts[id] {
		if !attempt.Refused {
			executed = append(executed, attempt)
		}
	}
	return executed
}

// excuse selects the disruptions that excuse a violation.
type excuse int

const (
	// unplanned disruptions excuse what a planned one must not cause.
	unplanned excuse = iota
	// disruptions excuse a lost response.
	disruptions
	// delays are disruptions and pauses of a process. They excuse what is late.
	delays
)

func (e excuse) includes(d Disruption) bool {
	switch {
	case d.Pause:
		return e == delays
	case d.Planned:
		return e != unplanned
	}
	return true
}

// isUndisrupted reports whether a component had none of the selected disruptions between
// settleTime before from and to.
func (h History) isUndisrupted(scope Scope, from, to time.Time, excuse excuse) bool {
	for _, d := range h.Disruptions {
		if d.Scope == scope && excuse.includes(d) && d.overlaps(from.Add(-settleTime), to) {
			return false
		}
	}
	return true
}

// reachesStore reports whether neither the host nor the store had a disruption or a
// pause, so that the host knows the state of the store.
func (h History) reachesStore(host int, from, to time.Time) bool {
	return h.isUndisrupted(Scope{ScopeHost, host}, from, to, delays) && h.isUndisrupted(Scope{Kind: ScopeStore}, from, to, delays)
}

// checkResponses finds responses that are not the endpoint's complete response to
// the request, and requests that were executed although the response says that they
// were not.
func checkResponses(history History) []Violation {
	var violations []Violation
	add := func(request Request, rule, detail string) {
		violations = append(violations, Violation{rule, fmt.Sprintf("%s %s at host %d: %s", request.Route, request.ID, request.Host, detail), request.Ended})
	}
	for _, request := range history.Requests {
		response := request.Response
		expected := ""
		if !request.IsWhole {
			expected = expectedBody(request.Target, request.ID)
		}
		switch {
		case request.Ended.IsZero() || response.Status == 0:
		case errors.Is(response.Err, standin.ErrExtraBytes):
			add(request, "answer", response.Err.Error())
		case response.Status == http.StatusOK && (response.ID != request.ID || !response.Sealed):
			add(request, "answer", fmt.Sprintf("response to request %q, sealed %v", response.ID, response.Sealed))
		case response.Status == http.StatusOK && !strings.HasPrefix(expected, response.Body):
			add(request, "answer", "unexpected body "+difference(response.Body, expected))
		case response.Status == http.StatusOK && response.Err == nil && response.Body != expected:
			add(request, "answer", fmt.Sprintf("%d bytes of %d look complete", len(response.Body), len(expected)))
		case response.Status != http.StatusOK && response.Sealed:
			add(request, "answer", fmt.Sprintf("sealed status %d, but no endpoint sent it", response.Status))
		}
		if response.IsNotExecuted() && !isIdempotent(request.Route) && len(history.executed(request.ID)) > 0 {
			add(request, "promise", fmt.Sprintf("status %d, but it was executed", response.Status))
		}
	}
	return violations
}

// difference describes where a body differs from the expected one.
func difference(body, expected string) string {
	at := 0
	for at < min(len(body), len(expected)) && body[at] == expected[at] {
		at++
	}
	const before, after = 40, 60
	excerpt := func(text string) string { return text[min(max(at-before, 0), len(text)):min(at+after, len(text))] }
	return fmt.Sprintf("from byte %d: %q instead of %q", at, excerpt(body), excerpt(expected))
}

// checkExecutions finds attempts of unknown or altered requests, and requests that
// are not idempotent and were executed more than once.
func checkExecutions(history History) []Violation {
	var violations []Violation
	requests := map[string]Request{}
	for _, request := range history.Requests {
		requests[request.ID] = request
		if executed := history.executed(request.ID); len(executed) > 1 && !isIdempotent(request.Route) {
			violations = append(violations, Violation{"twice", fmt.Sprintf("%s %s was executed %d times", request.Route, request.ID, len(executed)), executed[1].At})
		}
	}
	for id, attempts := range history.Attempts {
		for _, attempt := range attempts {
			request, found := requests[id]
			if !found || attempt.Path != request.Target || attempt.Body != request.Body || attempt.Prompt != request.Prompt || attempt.Team != team(request.Route) {
				violations = append(violations, Violation{"unasked", fmt.Sprintf("%s %q of team %q with body %q and prompt %q", attempt.Path, id, attempt.Team, attempt.Body, attempt.Prompt), attempt.At})
			}
		}
	}
	return violations
}

// checkAttempts finds requests that were executed more often than their route
// allows, although none of their endpoints had a disruption.
func checkAttempts(history History) []Violation {
	var found []Violation
	for _, request := range history.Requests {
		executed := history.executed(request.ID)
		isHealthy := true
		for _, attempt := range executed {
			isHealthy = isHealthy && history.isUndisrupted(Scope{ScopeEndpoint, attempt.Endpoint}, attempt.At, attempt.At.Add(request.Deadline), delays)
		}
		if len(executed) > maxRouteAttempts && isHealthy {
			found = append(found, Violation{"attempts", fmt.Sprintf("%s was executed %d times", request.ID, len(executed)), request.Sent})
		}
	}
	return ifMoreThan(maxToleratedCases, found)
}

// checkCanceled finds requests that reached an endpoint long after their callers
// had canceled them.
func checkCanceled(history History) []Violation {
	var found []Violation
	for _, request := range history.Requests {
		if !request.Canceled {
			continue
		}
		for _, attempt := range history.Attempts[request.ID] {
			if attempt.At.After(request.Ended.Add(cancelSlack)) && history.reachesStore(request.Host, request.Sent, attempt.At) &&
				history.isUndisrupted(Scope{ScopeEndpoint, attempt.Endpoint}, request.Sent, attempt.At, delays) {
				found = append(found, Violation{"gone", fmt.Sprintf("%s reached an endpoint %v after its caller left", request.ID, attempt.At.Sub(request.Ended)), attempt.At})
			}
		}
	}
	return ifMoreThan(maxToleratedCases, found)
}

// checkDeadlines finds requests that ended long after their deadline.
func checkDeadlines(history History) []Violation {
	var late []Violation
	unanswered := 0
	for _, request := range history.Requests {
		end := request.Ended
		if end.IsZero() {
			end = history.Now
		}
		due := request.Sent.Add(request.Deadline)
		if request.Canceled || end.Before(due) || !history.isUndisrupted(Scope{ScopeHost, request.Host}, request.Sent, due.Add(deadlineSlack), delays) {
			continue
		}
		unanswered++
		if end.After(due.Add(deadlineSlack)) {
			late = append(late, Violation{"late", fmt.Sprintf("%s %s has no response %v after it was sent", request.Route, request.ID, end.Sub(request.Sent)), end})
		}
	}
	if len(late) <= maxToleratedCases || 2*len(late) <= unanswered {
		return nil
	}
	return late
}

// checkExclusions finds requests that reached an excluded endpoint, or that reached
// an endpoint on a removed route.
func checkExclusions(history History) []Violation {
	var violations []Violation
	for _, request := range history.Requests {
		for _, attempt := range history.Attempts[request.ID] {
			for _, exclusion := range history.Exclusions {
				if exclusion.forbids(request, attempt) && history.reachesStore(request.Host, exclusion.From, attempt.At) {
					violations = append(violations, Violation{"barred", fmt.Sprintf("%s %s at endpoint %d, excluded for %v", request.Route, request.ID, attempt.Endpoint, attempt.At.Sub(exclusion.From)), attempt.At})
				}
			}
		}
	}
	return violations
}

// forbids reports whether the exclusion forbids an attempt. MaxDelay applies to the
// time when the request was sent for a route, and to its arrival for an endpoint.
func (e Exclusion) forbids(request Request, attempt Attempt) bool {
	at, isMatch := attempt.At, attempt.Endpoint == e.Endpoint
	if e.Route != "" {
		at, isMatch = request.Sent, request.Route == e.Route
	}
	return isMatch && at.After(e.From.Add(e.MaxDelay)) && (e.To.IsZero() || attempt.At.Before(e.To))
}

// checkRejections finds valid requests that a host rejected as invalid.
func checkRejections(history History) []Violation {
	var violations []Violation
	for _, request := range history.Requests {
		status := request.Response.Status
		if status >= 300 && status < 500 && !request.Response.IsNotExecuted() && !history.mayLackRoute(request) {
			violations = append(violations, Violation{"denied", fmt.Sprintf("%s %s at host %d: status %d", request.Route, request.ID, request.Host, status), request.Ended})
		}
	}
	return violations
}

// mayLackRoute reports whether a host may not know the route of a request: the
// route is removed, or was restored and the host has not had undisrupted access to
// the store for long enough since.
func (h History) mayLackRoute(request Request) bool {
	for _, exclusion := range h.Exclusions {
		if exclusion.Route != request.Route || request.Ended.Before(exclusion.From) {
			continue
		}
		if exclusion.To.IsZero() || request.Sent.Before(exclusion.To.Add(maxConfigDelay)) || !h.reachesStore(request.Host, exclusion.To, request.Sent) {
			return true
		}
	}
	return false
}

// checkRetries finds windows with more retries than the retry budget allows.
func checkRetries(history History) []Violation {
	if len(history.Requests) == 0 {
		return nil
	}
	start := history.Requests[0].Sent
	for from := start; from.Before(history.Now); from = from.Add(time.Second) {
		window := Interval{From: from, To: from.Add(retryWindow)}
		retries := 0
		for _, attempts := range history.Attempts {
			for _, attempt := range attempts[1:] {
				if window.contains(attempt.At) {
					retries++
				}
			}
		}
		maxRetries := retryRatio*float64(max(history.requestsIn(window), history.requestsIn(window.shiftedBack(retryWindow)), history.requestsIn(window.shiftedBack(retryWindow/2)))) + retrySlack
		if float64(retries) > maxRetries {
			return []Violation{{"repeats", fmt.Sprintf("%d in a window, %.0f allowed", retries, maxRetries), from}}
		}
	}
	return nil
}

func (i Interval) contains(at time.Time) bool { return !at.Before(i.From) && at.Before(i.To) }

// shiftedBack returns the interval moved back by a duration.
func (i Interval) shiftedBack(by time.Duration) Interval {
	return Interval{From: i.From.Add(-by), To: i.To.Add(-by)}
}

func (h History) requestsIn(window Interval) int {
	count := 0
	for _, request := range h.Requests {
		if window.contains(request.Sent) {
			count++
		}
	}
	return count
}

// isHaltedAtEnd reports whether a host did not run at some time in the last sixth of its
// grace period, so that it could not end.
func (h History) isHaltedAtEnd(stop StopResult) bool {
	return slices.ContainsFunc(h.Disruptions, func(d Disruption) bool {
		return d.Pause && d.Scope == Scope{ScopeHost, stop.Host} && d.overlaps(stop.RequestedAt.Add(stopLastPhase), stop.EndedAt)
	})
}

// checkProcesses finds processes that exited unexpectedly, and orderly stops that
// failed although the host had no unplanned disruption.
func checkProcesses(history History) []Violation {
	var violations []Violation
	for _, failure := range history.ProcessFailures {
		violations = append(violations, Violation{"end", failure, history.Now})
	}
	for _, stop := range history.Stops {
		if stop.Failure != "" && history.isUndisrupted(Scope{ScopeHost, stop.Host}, stop.RequestedAt, stop.EndedAt, unplanned) && !history.isHaltedAtEnd(stop) {
			violations = append(violations, Violation{"stop", fmt.Sprintf("host %d: %s", stop.Host, stop.Failure), stop.EndedAt})
		}
	}
	return violations
}

// ifMoreThan returns found if it holds more cases than are allowed.
func ifMoreThan(allowed int, found []Violation) []Violation {
	if len(found) <= allowed {
		return nil
	}
	return found
}
