package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mustarddoor/platform/standin"
)

// Bounds of the rules; the platform's unless said otherwise.
const (
	// settleTime is how long a part must have been without faults before the
	// rules with a time bound concern it.
	settleTime = 4 * time.Second
	// requestDeadline is how long callers of the soak wait.
	requestDeadline = 4 * time.Second
	// deadlineSlack is how long after its deadline a request must have an answer.
	deadlineSlack = 500 * time.Millisecond
	// cancelSlack is how long after its caller has left a request may reach an
	// endpoint.
	cancelSlack        = 500 * time.Millisecond
	maxDrainDelay      = 3 * time.Second
	maxEvacuationDelay = 5 * time.Second
	maxConfigDelay     = 3 * time.Second
	// stopGracePeriod is how long a host may take to stop.
	stopGracePeriod = 8 * time.Second
	// maxToleratedCases is how many cases some rules allow.
	maxToleratedCases = 3
	// maxRouteAttempts is the bound of the stand-in's routes.
	maxRouteAttempts = 2
	// retryWindow, repeatRatio and repeatSlack bound the repeats, as the
	// stand-in's settings say.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 52
)

// Violation is a promise that was not kept.
type Violation struct {
	Rule, Detail string
	At           time.Time
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.UTC().Format("15:04:05.000"), v.Detail)
}

// Check judges what was seen.
func Check(history History) []Violation {
	var violations []Violation
	for _, rule := range []func(History) []Violation{
		checkResponses, checkExecutions, checkAttempts, checkCanceled, checkDeadlines, checkExclusions, checkRejections,
		checkLost, checkLostAtStop, checkRetries, checkProcesses,
	} {
		violations = append(violations, rule(history)...)
	}
	return violations
}

// isIdempotent reports whether a request to a route may run more than once.
func isIdempotent(route string) bool { return route != routeUnsafe && route != routeOnce }

// executed are the runs of a request, without those that were refused.
func (h History) executed(id string) []Attempt {
	var executed []Attempt
	for _, attempt := range h.Attempts[id] {
		if !attempt.Refused {
			executed = append(executed, attempt)
		}
	}
	return executed
}

// isUndisrupted reports whether a part had no fault from contact before a span on.
// Planned disturbances count only if isStrict.
func (h History) isUndisrupted(scope Scope, from, to time.Time, includePlanned bool) bool {
	for _, d := range h.Disruptions {
		if d.Scope == scope && (includePlanned || !d.Planned) && d.overlaps(from.Add(-settleTime), to) {
			return false
		}
	}
	return true
}

// reachesStore reports whether a host and the store had no fault.
func (h History) reachesStore(host int, from, to time.Time) bool {
	return h.isUndisrupted(Scope{ScopeHost, host}, from, to, true) && h.isUndisrupted(Scope{Kind: ScopeStore}, from, to, true)
}

// checkResponses finds answers that are not the endpoint's whole answer to the
// request, and broken promises.
func checkResponses(history History) []Violation {
	var violations []Violation
	add := func(request Request, rule, detail string) {
		violations = append(violations, Violation{rule, fmt.Sprintf("%s %s at host %d: %s", request.Route, request.ID, request.Host, detail), request.Ended})
	}
	for _, request := range history.Requests {
		response := request.Response
		expected := expectedBody(request.Route, request.ID)
		switch {
		case request.Ended.IsZero() || response.Status == 0:
		case errors.Is(response.Err, standin.ErrExtraBytes):
			add(request, "answer", response.Err.Error())
		case response.Status == http.StatusOK && (response.ID != request.ID || !response.Sealed):
			add(request, "answer", fmt.Sprintf("success of request %q, sealed %v", response.ID, response.Sealed))
		case response.Status == http.StatusOK && !strings.HasPrefix(expected, response.Body):
			add(request, "answer", fmt.Sprintf("%q is not a part of %q", response.Body, expected))
		case response.Status == http.StatusOK && response.Err == nil && response.Body != expected:
			add(request, "answer", fmt.Sprintf("%q looks complete", response.Body))
		case response.Status != http.StatusOK && response.Sealed:
			add(request, "answer", fmt.Sprintf("a status %d that no endpoint gave", response.Status))
		}
		if response.IsNotExecuted() && !isIdempotent(request.Route) && len(history.executed(request.ID)) > 0 {
			add(request, "promise", fmt.Sprintf("status %d, and it has run", response.Status))
		}
	}
	return violations
}

// checkExecutions finds what ran without having been asked for, or too often.
func checkExecutions(history History) []Violation {
	var violations []Violation
	requests := map[string]Request{}
	for _, request := range history.Requests {
		requests[request.ID] = request
		if executed := history.executed(request.ID); len(executed) > 1 && !isIdempotent(request.Route) {
			violations = append(violations, Violation{"twice", fmt.Sprintf("%s %s ran %d times", request.Route, request.ID, len(executed)), executed[1].At})
		}
	}
	for id, attempts := range history.Attempts {
		for _, attempt := range attempts {
			request, found := requests[id]
			if !found || attempt.Path != standin.Path(request.Route) || attempt.Body != request.Body {
				violations = append(violations, Violation{"unasked", fmt.Sprintf("%s %q with %q", attempt.Path, id, attempt.Body), attempt.At})
			}
		}
	}
	return violations
}

// checkAttempts finds requests that ran more often than their route allows,
// though no endpoint of theirs had a fault.
func checkAttempts(history History) []Violation {
	var found []Violation
	for _, request := range history.Requests {
		executed := history.executed(request.ID)
		isHealthy := true
		for _, attempt := range executed {
			isHealthy = isHealthy && history.isUndisrupted(Scope{ScopeEndpoint, attempt.Endpoint}, attempt.At, attempt.At.Add(requestDeadline), true)
		}
		if len(executed) > maxRouteAttempts && isHealthy {
			found = append(found, Violation{"attempts", fmt.Sprintf("%s ran %d times", request.ID, len(executed)), request.Sent})
		}
	}
	return ifMoreThan(maxToleratedCases, found)
}

// checkCanceled finds requests that reached an endpoint long after their callers
// had left.
func checkCanceled(history History) []Violation {
	var found []Violation
	for _, request := range history.Requests {
		if !request.Canceled {
			continue
		}
		for _, attempt := range history.Attempts[request.ID] {
			if attempt.At.After(request.Ended.Add(cancelSlack)) && history.reachesStore(request.Host, request.Sent, attempt.At) &&
				history.isUndisrupted(Scope{ScopeEndpoint, attempt.Endpoint}, request.Sent, attempt.At, true) {
				found = append(found, Violation{"gone", fmt.Sprintf("%s reached an endpoint %v after its caller left", request.ID, attempt.At.Sub(request.Ended)), attempt.At})
			}
		}
	}
	return ifMoreThan(maxToleratedCases, found)
}

// checkDeadlines finds requests without an answer long after their deadline.
func checkDeadlines(history History) []Violation {
	var late []Violation
	unanswered := 0
	for _, request := range history.Requests {
		end := request.Ended
		if end.IsZero() {
			end = history.Now
		}
		due := request.Sent.Add(requestDeadline)
		if request.Canceled || end.Before(due) || !history.isUndisrupted(Scope{ScopeHost, request.Host}, request.Sent, due.Add(deadlineSlack), true) {
			continue
		}
		unanswered++
		if end.After(due.Add(deadlineSlack)) {
			late = append(late, Violation{"late", fmt.Sprintf("%s %s has no answer %v after it was sent", request.Route, request.ID, end.Sub(request.Sent)), end})
		}
	}
	if len(late) <= maxToleratedCases || 2*len(late) <= unanswered {
		return nil
	}
	return late
}

// checkExclusions finds requests that reached an endpoint which had left, or on a
// route that was gone.
func checkExclusions(history History) []Violation {
	var violations []Violation
	for _, request := range history.Requests {
		for _, attempt := range history.Attempts[request.ID] {
			for _, exclusion := range history.Exclusions {
				if exclusion.forbids(request, attempt) && history.reachesStore(request.Host, exclusion.From, attempt.At) {
					violations = append(violations, Violation{"barred", fmt.Sprintf("%s %s at endpoint %d, barred since %v", request.Route, request.ID, attempt.Endpoint, attempt.At.Sub(exclusion.From)), attempt.At})
				}
			}
		}
	}
	return violations
}

// forbids reports whether a run should not have been. Routes bind from when
// the request was sent, endpoints from when it arrives.
func (e Exclusion) forbids(request Request, attempt Attempt) bool {
	at, isMatch := attempt.At, attempt.Endpoint == e.Endpoint
	if e.Route != "" {
		at, isMatch = request.Sent, request.Route == e.Route
	}
	return isMatch && at.After(e.From.Add(e.MaxDelay)) && (e.To.IsZero() || attempt.At.Before(e.To))
}

// checkRejections finds proper requests that a host turned away as improper.
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

// mayLackRoute reports whether a host may not know the route of a request: one that
// was away since then, until it is in touch again.
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

// checkLost finds requests on kept connections that ended without an answer
// though host and endpoint had no fault.
func checkLost(history History) []Violation {
	var found []Violation
	for _, request := range history.Requests {
		if history.isInterrupted(request) && request.Response.Reused && history.isUndisrupted(Scope{ScopeHost, request.Host}, request.Sent, request.Ended, true) {
			found = append(found, Violation{"lost", fmt.Sprintf("%s %s at host %d: %v", request.Route, request.ID, request.Host, request.Response.Err), request.Ended})
		}
	}
	return ifMoreThan(maxToleratedCases, found)
}

// checkLostAtStop finds requests that a planned stop has cut off.
func checkLostAtStop(history History) []Violation {
	var violations []Violation
	for _, request := range history.Requests {
		host := Scope{ScopeHost, request.Host}
		if history.isInterrupted(request) && history.isUndisrupted(host, request.Sent, request.Ended, false) && !history.isUndisrupted(host, request.Sent, request.Ended, true) {
			violations = append(violations, Violation{"lost at stop", fmt.Sprintf("%s %s at host %d: %v", request.Route, request.ID, request.Host, request.Response.Err), request.Ended})
		}
	}
	return violations
}

// isInterrupted reports whether a request was passed on to sound endpoints only and
// its connection ended without a complete answer.
func (h History) isInterrupted(request Request) bool {
	if request.Canceled || request.Ended.IsZero() || request.Response.Err == nil || request.Ended.After(request.Sent.Add(requestDeadline)) {
		return false
	}
	executed := h.executed(request.ID)
	for _, attempt := range h.Attempts[request.ID] {
		if !h.isUndisrupted(Scope{ScopeEndpoint, attempt.Endpoint}, request.Sent, request.Ended, true) {
			return false
		}
	}
	return len(executed) > 0
}

// checkRetries finds windows with more repeats than the budget.
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

// shiftedBack is the span so much earlier.
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

// checkProcesses finds processes that ended by themselves, and stops that were
// not orderly though nothing else was wrong with the host.
func checkProcesses(history History) []Violation {
	var violations []Violation
	for _, failure := range history.ProcessFailures {
		violations = append(violations, Violation{"end", failure, history.Now})
	}
	for _, stop := range history.Stops {
		if stop.Failure != "" && history.isUndisrupted(Scope{ScopeHost, stop.Host}, stop.RequestedAt, stop.EndedAt, false) {
			violations = append(violations, Violation{"stop", fmt.Sprintf("host %d: %s", stop.Host, stop.Failure), stop.EndedAt})
		}
	}
	return violations
}

// ifMoreThan is found if it holds more cases than are allowed.
func ifMoreThan(allowed int, found []Violation) []Violation {
	if len(found) <= allowed {
		return nil
	}
	return found
}
