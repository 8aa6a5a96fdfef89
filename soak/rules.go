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
	// contact is how long a part must have been without faults before the
	// rules with a time bound concern it.
	contact = 4 * time.Second
	// deadline is how long callers of the soak wait.
	deadline = 4 * time.Second
	// lateSlack is how long after its deadline a request must have an answer.
	lateSlack = 500 * time.Millisecond
	// goneSlack is how long after its caller has left a request may reach an
	// endpoint.
	goneSlack       = 500 * time.Millisecond
	drainBound      = 3 * time.Second
	evacuationBound = 5 * time.Second
	configBound     = 3 * time.Second
	// grace is how long a host may take to stop.
	grace = 8 * time.Second
	// allowedCases is how many cases some rules allow.
	allowedCases = 3
	// routeAttempts is the bound of the stand-in's routes.
	routeAttempts = 2
	// repeatWindow, repeatRatio and repeatSlack bound the repeats, as the
	// stand-in's settings say.
	repeatWindow = 10 * time.Second
	repeatRatio  = 0.2
	repeatSlack  = 52
)

// Break is a promise that was not kept.
type Break struct {
	Rule, Detail string
	At           time.Time
}

func (b Break) String() string {
	return fmt.Sprintf("%s at %s: %s", b.Rule, b.At.UTC().Format("15:04:05.000"), b.Detail)
}

// Check judges what was seen.
func Check(seen Seen) []Break {
	var breaks []Break
	for _, rule := range []func(Seen) []Break{
		checkAnswers, checkRuns, checkAttempts, checkGone, checkLate, checkBarred, checkOwnErrors,
		checkLost, checkLostAtStop, checkRepeats, checkProcesses,
	} {
		breaks = append(breaks, rule(seen)...)
	}
	return breaks
}

// isIdempotent reports whether a request to a route may run more than once.
func isIdempotent(route string) bool { return route != routeUnsafe && route != routeOnce }

// executed are the runs of a request, without those that were refused.
func (s Seen) executed(id string) []Run {
	var runs []Run
	for _, run := range s.Runs[id] {
		if !run.Refused {
			runs = append(runs, run)
		}
	}
	return runs
}

// isCalm reports whether a part had no fault from contact before a span on.
// Planned disturbances count only if isStrict.
func (s Seen) isCalm(scope Scope, from, to time.Time, isStrict bool) bool {
	for _, d := range s.Disturbances {
		if d.Scope == scope && (isStrict || !d.Planned) && d.overlaps(from.Add(-contact), to) {
			return false
		}
	}
	return true
}

// isInTouch reports whether a host and the store had no fault.
func (s Seen) isInTouch(host int, from, to time.Time) bool {
	return s.isCalm(Scope{ScopeHost, host}, from, to, true) && s.isCalm(Scope{Kind: ScopeStore}, from, to, true)
}

// checkAnswers finds answers that are not the endpoint's whole answer to the
// request, and broken promises.
func checkAnswers(seen Seen) []Break {
	var breaks []Break
	add := func(ask Ask, rule, detail string) {
		breaks = append(breaks, Break{rule, fmt.Sprintf("%s %s at host %d: %s", ask.Route, ask.ID, ask.Host, detail), ask.Ended})
	}
	for _, ask := range seen.Asks {
		reply := ask.Reply
		whole := answerOf(ask.Route, ask.ID)
		switch {
		case ask.Ended.IsZero() || reply.Status == 0:
		case errors.Is(reply.Err, standin.ErrExtraBytes):
			add(ask, "answer", reply.Err.Error())
		case reply.Status == http.StatusOK && (reply.ID != ask.ID || !reply.Sealed):
			add(ask, "answer", fmt.Sprintf("success of request %q, sealed %v", reply.ID, reply.Sealed))
		case reply.Status == http.StatusOK && !strings.HasPrefix(whole, reply.Body):
			add(ask, "answer", fmt.Sprintf("%q is not a part of %q", reply.Body, whole))
		case reply.Status == http.StatusOK && reply.Err == nil && reply.Body != whole:
			add(ask, "answer", fmt.Sprintf("%q looks complete", reply.Body))
		case reply.Status != http.StatusOK && reply.Sealed:
			add(ask, "answer", fmt.Sprintf("a status %d that no endpoint gave", reply.Status))
		}
		if reply.IsNotExecuted() && !isIdempotent(ask.Route) && len(seen.executed(ask.ID)) > 0 {
			add(ask, "promise", fmt.Sprintf("status %d, and it has run", reply.Status))
		}
	}
	return breaks
}

// checkRuns finds what ran without having been asked for, or too often.
func checkRuns(seen Seen) []Break {
	var breaks []Break
	asked := map[string]Ask{}
	for _, ask := range seen.Asks {
		asked[ask.ID] = ask
		if runs := seen.executed(ask.ID); len(runs) > 1 && !isIdempotent(ask.Route) {
			breaks = append(breaks, Break{"twice", fmt.Sprintf("%s %s ran %d times", ask.Route, ask.ID, len(runs)), runs[1].At})
		}
	}
	for id, runs := range seen.Runs {
		for _, run := range runs {
			ask, found := asked[id]
			if !found || run.Path != standin.Path(ask.Route) || run.Body != ask.Body {
				breaks = append(breaks, Break{"unasked", fmt.Sprintf("%s %q with %q", run.Path, id, run.Body), run.At})
			}
		}
	}
	return breaks
}

// checkAttempts finds requests that ran more often than their route allows,
// though no endpoint of theirs had a fault.
func checkAttempts(seen Seen) []Break {
	var found []Break
	for _, ask := range seen.Asks {
		runs := seen.executed(ask.ID)
		isSound := true
		for _, run := range runs {
			isSound = isSound && seen.isCalm(Scope{ScopeEndpoint, run.Endpoint}, run.At, run.At.Add(deadline), true)
		}
		if len(runs) > routeAttempts && isSound {
			found = append(found, Break{"attempts", fmt.Sprintf("%s ran %d times", ask.ID, len(runs)), ask.Sent})
		}
	}
	return moreThan(allowedCases, found)
}

// checkGone finds requests that reached an endpoint long after their callers
// had left.
func checkGone(seen Seen) []Break {
	var found []Break
	for _, ask := range seen.Asks {
		if !ask.Left {
			continue
		}
		for _, run := range seen.Runs[ask.ID] {
			if run.At.After(ask.Ended.Add(goneSlack)) && seen.isInTouch(ask.Host, ask.Sent, run.At) &&
				seen.isCalm(Scope{ScopeEndpoint, run.Endpoint}, ask.Sent, run.At, true) {
				found = append(found, Break{"gone", fmt.Sprintf("%s reached an endpoint %v after its caller left", ask.ID, run.At.Sub(ask.Ended)), run.At})
			}
		}
	}
	return moreThan(allowedCases, found)
}

// checkLate finds requests without an answer long after their deadline.
func checkLate(seen Seen) []Break {
	var late []Break
	unanswered := 0
	for _, ask := range seen.Asks {
		end := ask.Ended
		if end.IsZero() {
			end = seen.Now
		}
		due := ask.Sent.Add(deadline)
		if ask.Left || end.Before(due) || !seen.isCalm(Scope{ScopeHost, ask.Host}, ask.Sent, due.Add(lateSlack), true) {
			continue
		}
		unanswered++
		if end.After(due.Add(lateSlack)) {
			late = append(late, Break{"late", fmt.Sprintf("%s %s has no answer %v after it was sent", ask.Route, ask.ID, end.Sub(ask.Sent)), end})
		}
	}
	if len(late) <= allowedCases || 2*len(late) <= unanswered {
		return nil
	}
	return late
}

// checkBarred finds requests that reached an endpoint which had left, or on a
// route that was gone.
func checkBarred(seen Seen) []Break {
	var breaks []Break
	for _, ask := range seen.Asks {
		for _, run := range seen.Runs[ask.ID] {
			for _, bar := range seen.Barred {
				if bar.forbids(ask, run) && seen.isInTouch(ask.Host, bar.From, run.At) {
					breaks = append(breaks, Break{"barred", fmt.Sprintf("%s %s at endpoint %d, barred since %v", ask.Route, ask.ID, run.Endpoint, run.At.Sub(bar.From)), run.At})
				}
			}
		}
	}
	return breaks
}

// forbids reports whether a run should not have been. Routes bind from when
// the request was sent, endpoints from when it arrives.
func (b Barred) forbids(ask Ask, run Run) bool {
	since, isConcerned := run.At, run.Endpoint == b.Endpoint
	if b.Route != "" {
		since, isConcerned = ask.Sent, ask.Route == b.Route
	}
	return isConcerned && since.After(b.From.Add(b.Bound)) && (b.To.IsZero() || run.At.Before(b.To))
}

// checkOwnErrors finds proper requests that a host turned away as improper.
func checkOwnErrors(seen Seen) []Break {
	var breaks []Break
	for _, ask := range seen.Asks {
		status := ask.Reply.Status
		if status >= 300 && status < 500 && !ask.Reply.IsNotExecuted() && !seen.mayLack(ask) {
			breaks = append(breaks, Break{"denied", fmt.Sprintf("%s %s at host %d: status %d", ask.Route, ask.ID, ask.Host, status), ask.Ended})
		}
	}
	return breaks
}

// mayLack reports whether a host may not know the route of a request: one that
// was away since then, until it is in touch again.
func (s Seen) mayLack(ask Ask) bool {
	for _, bar := range s.Barred {
		if bar.Route != ask.Route || ask.Ended.Before(bar.From) {
			continue
		}
		if bar.To.IsZero() || ask.Sent.Before(bar.To.Add(configBound)) || !s.isInTouch(ask.Host, bar.To, ask.Sent) {
			return true
		}
	}
	return false
}

// checkLost finds requests on kept connections that ended without an answer
// though host and endpoint had no fault.
func checkLost(seen Seen) []Break {
	var found []Break
	for _, ask := range seen.Asks {
		if seen.isCutOff(ask) && ask.Reply.Reused && seen.isCalm(Scope{ScopeHost, ask.Host}, ask.Sent, ask.Ended, true) {
			found = append(found, Break{"lost", fmt.Sprintf("%s %s at host %d: %v", ask.Route, ask.ID, ask.Host, ask.Reply.Err), ask.Ended})
		}
	}
	return moreThan(allowedCases, found)
}

// checkLostAtStop finds requests that a planned stop has cut off.
func checkLostAtStop(seen Seen) []Break {
	var breaks []Break
	for _, ask := range seen.Asks {
		host := Scope{ScopeHost, ask.Host}
		if seen.isCutOff(ask) && seen.isCalm(host, ask.Sent, ask.Ended, false) && !seen.isCalm(host, ask.Sent, ask.Ended, true) {
			breaks = append(breaks, Break{"lost at stop", fmt.Sprintf("%s %s at host %d: %v", ask.Route, ask.ID, ask.Host, ask.Reply.Err), ask.Ended})
		}
	}
	return breaks
}

// isCutOff reports whether a request was passed on to sound endpoints only and
// its connection ended without a complete answer.
func (s Seen) isCutOff(ask Ask) bool {
	if ask.Left || ask.Ended.IsZero() || ask.Reply.Err == nil || ask.Ended.After(ask.Sent.Add(deadline)) {
		return false
	}
	runs := s.executed(ask.ID)
	for _, run := range s.Runs[ask.ID] {
		if !s.isCalm(Scope{ScopeEndpoint, run.Endpoint}, ask.Sent, ask.Ended, true) {
			return false
		}
	}
	return len(runs) > 0
}

// checkRepeats finds windows with more repeats than the budget.
func checkRepeats(seen Seen) []Break {
	if len(seen.Asks) == 0 {
		return nil
	}
	begin := seen.Asks[0].Sent
	for from := begin; from.Before(seen.Now); from = from.Add(time.Second) {
		window := Span{From: from, To: from.Add(repeatWindow)}
		repeats := 0
		for _, runs := range seen.Runs {
			for _, run := range runs[1:] {
				if window.holds(run.At) {
					repeats++
				}
			}
		}
		most := repeatRatio*float64(max(seen.asksIn(window), seen.asksIn(window.before(repeatWindow)), seen.asksIn(window.before(repeatWindow/2)))) + repeatSlack
		if float64(repeats) > most {
			return []Break{{"repeats", fmt.Sprintf("%d in a window, %.0f allowed", repeats, most), from}}
		}
	}
	return nil
}

func (s Span) holds(at time.Time) bool { return !at.Before(s.From) && at.Before(s.To) }

// before is the span so much earlier.
func (s Span) before(by time.Duration) Span { return Span{From: s.From.Add(-by), To: s.To.Add(-by)} }

func (s Seen) asksIn(window Span) int {
	count := 0
	for _, ask := range s.Asks {
		if window.holds(ask.Sent) {
			count++
		}
	}
	return count
}

// checkProcesses finds processes that ended by themselves, and stops that were
// not orderly though nothing else was wrong with the host.
func checkProcesses(seen Seen) []Break {
	var breaks []Break
	for _, end := range seen.Ends {
		breaks = append(breaks, Break{"end", end, seen.Now})
	}
	for _, stop := range seen.Stops {
		if stop.Failure != "" && seen.isCalm(Scope{ScopeHost, stop.Host}, stop.Asked, stop.Done, false) {
			breaks = append(breaks, Break{"stop", fmt.Sprintf("host %d: %s", stop.Host, stop.Failure), stop.Done})
		}
	}
	return breaks
}

// moreThan is found if it holds more cases than are allowed.
func moreThan(allowed int, found []Break) []Break {
	if len(found) <= allowed {
		return nil
	}
	return found
}
