package soak

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// sentAt is when the requests of these tests are sent.
var sentAt = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// afterMs returns the time the given number of milliseconds after sentAt.
func afterMs(ms int) time.Time { return sentAt.Add(time.Duration(ms) * time.Millisecond) }

// servedRequest returns a request with a complete response.
func servedRequest(id, route string) Request {
	response := standin.Response{Status: 200, ID: id, Body: expectedBody(standin.Path(route), id), Sealed: true}
	return Request{ID: id, Route: route, Target: standin.Path(route), Deadline: requestDeadline, Body: "b", Sent: sentAt, Ended: afterMs(50), Response: response}
}

// attemptOf returns an attempt of a request.
func attemptOf(request Request, endpoint, ms int) Attempt {
	return Attempt{ID: request.ID, Route: request.Route, Path: request.Target, Body: request.Body, Prompt: request.Prompt, Team: team(request.Route), Endpoint: endpoint, At: afterMs(ms)}
}

// historyOf returns a history of the given requests and attempts.
func historyOf(requests []Request, attempts ...Attempt) History {
	history := History{Now: afterMs(30_000), Requests: requests, Attempts: map[string][]Attempt{}}
	for _, attempt := range attempts {
		history.Attempts[attempt.ID] = append(history.Attempts[attempt.ID], attempt)
	}
	return history
}

// historyOfMany returns a history with n copies of a case, since some rules
// tolerate a few.
func historyOfMany(n int, newCase func(id string) (Request, []Attempt)) History {
	history := historyOf(nil)
	for i := range n {
		request, attempts := newCase(string(rune('a' + i)))
		history.Requests = append(history.Requests, request)
		if len(attempts) > 0 {
			history.Attempts[request.ID] = attempts
		}
	}
	return history
}

// interrupted returns a request whose connection ended after it was executed.
func interrupted(id, route string) (Request, []Attempt) {
	request := servedRequest(id, route)
	request.Response = standin.Response{Err: errors.New("reset")}
	return request, []Attempt{attemptOf(request, 0, 10)}
}

// Each rule finds its violation, and no rule finds one in a permitted case.
func TestRules(t *testing.T) {
	request := servedRequest("a", routeUnsafe)
	change := func(change func(*Request)) []Request {
		changed := request
		change(&changed)
		return []Request{changed}
	}
	stream := servedRequest("s", routeStream)
	stream.Response.Body = formatEvent("s", 1, "") + formatEvent("s", 3, "")
	short := servedRequest("s", routeStream)
	short.Response.Body = formatEvent("s", 1, "")
	broken := short
	broken.Response.Err = errors.New("broke off")
	disrupted := func(kind ScopeKind, planned bool, from, to int) []Disruption {
		return []Disruption{{Scope: Scope{Kind: kind}, Interval: Interval{afterMs(from), afterMs(to)}, Planned: planned}}
	}
	canceled := func(ms int) History {
		return historyOfMany(4, func(id string) (Request, []Attempt) {
			request := servedRequest(id, routeSafe)
			request.Canceled = true
			return request, []Attempt{attemptOf(request, 0, ms)}
		})
	}
	late := func(ms int) History {
		return historyOfMany(4, func(id string) (Request, []Attempt) {
			request := servedRequest(id, routeSafe)
			request.Ended = afterMs(ms)
			return request, nil
		})
	}
	interruptedHistory := historyOfMany(4, func(id string) (Request, []Attempt) { return interrupted(id, routeSafe) })
	repeated := historyOfMany(4, func(id string) (Request, []Attempt) {
		request := servedRequest(id, routeSafe)
		return request, []Attempt{attemptOf(request, 0, 1), attemptOf(request, 1, 2), attemptOf(request, 2, 3), attemptOf(request, 3, 4)}
	})
	once := historyOfMany(1, func(id string) (Request, []Attempt) { return interrupted(id, routeStream) })
	endedAfter := func(ms int) History {
		return historyOfMany(1, func(id string) (Request, []Attempt) {
			request, attempts := interrupted(id, routeStream)
			request.Deadline, request.Ended = longDeadline, afterMs(ms)
			return request, attempts
		})
	}
	paused := []Disruption{{Scope: Scope{Kind: ScopeHost}, Interval: Interval{afterMs(20), afterMs(40)}, Pause: true}}
	altered := func(change func(*Attempt)) History {
		attempt := attemptOf(request, 0, 10)
		change(&attempt)
		return historyOf([]Request{request}, attempt)
	}
	twicePadded := servedRequest("s", routeStream)
	twicePadded.Target += "?events=2&interval=1ms&padding=3"
	twicePadded.Response.Body = withoutPadding(formatEvent("s", 1, "...")+formatEvent("s", 1, "...")+formatEvent("s", 2, "..."), 3, true)
	with := func(history History, change func(*History)) History { change(&history); return history }
	cases := []struct {
		name    string
		history History
		want    string
	}{
		{"served", historyOf([]Request{request}, attemptOf(request, 0, 10)), ""},
		{"twice", historyOf([]Request{request}, attemptOf(request, 0, 10), attemptOf(request, 1, 20)), "twice"},
		{"refused and executed once", historyOf([]Request{request}, refusedAttempt(attemptOf(request, 0, 10)), attemptOf(request, 1, 20)), ""},
		{"executed though reported as not executed", historyOf(change(func(a *Request) { a.Response = standin.Response{Status: 503, ID: "a"} }), attemptOf(request, 0, 10)), "promise"},
		{"refused and reported as not executed", historyOf(change(func(a *Request) { a.Response = standin.Response{Status: 503, ID: "a"} }), refusedAttempt(attemptOf(request, 0, 10))), ""},
		{"unsealed", historyOf(change(func(a *Request) { a.Response.Sealed = false })), "answer"},
		{"response to another request", historyOf(change(func(a *Request) { a.Response.Body = expectedBody(standin.Path(routeUnsafe), "b") })), "answer"},
		{"response with another ID", historyOf(change(func(a *Request) { a.Response.ID = "b" })), "answer"},
		{"extra bytes", historyOf(change(func(a *Request) { a.Response.Err = standin.ErrExtraBytes })), "answer"},
		{"sealed failure", historyOf(change(func(a *Request) { a.Response.Status = 500 })), "answer"},
		{"event missing", historyOf([]Request{stream}), "answer"},
		{"truncated stream without an error", historyOf([]Request{short}), "answer"},
		{"truncated stream with an error", historyOf([]Request{broken}), ""},
		{"unknown request", historyOf(nil, attemptOf(request, 0, 10)), "unasked"},
		{"changed body", historyOf(change(func(a *Request) { a.Body = "c" }), attemptOf(request, 0, 10)), "unasked"},
		{"reaches an endpoint after cancellation", canceled(600), "gone"},
		{"reaches an endpoint upon cancellation", canceled(500), ""},
		{"response after the deadline", late(4600), "late"},
		{"response within the slack of the deadline", late(4400), ""},
		{"response of a disrupted host after the deadline", with(late(4600), func(s *History) { s.Disruptions = disrupted(ScopeHost, false, -1000, 100) }), ""},
		{"status of the host itself", historyOf(change(func(a *Request) { a.Response = standin.Response{Status: 404} })), "denied"},
		{"interrupted without a fault", interruptedHistory, "lost"},
		{"interrupted by a fault of the host", with(interruptedHistory, func(s *History) { s.Disruptions = disrupted(ScopeHost, false, 40, 45) }), ""},
		{"interrupted by a fault of the endpoint", with(interruptedHistory, func(s *History) { s.Disruptions = disrupted(ScopeEndpoint, false, 20, 45) }), ""},
		{"interrupted by a fault of the carrier", with(once, func(s *History) {
			s.Carriers = map[string]int{"a": 1}
			s.Disruptions = []Disruption{{Scope: Scope{ScopeHost, 1}, Interval: Interval{afterMs(40), afterMs(45)}}}
		}), ""},
		{"interrupted by an orderly stop of the carrier", with(once, func(s *History) {
			s.Carriers = map[string]int{"a": 1}
			s.Disruptions = []Disruption{{Scope: Scope{ScopeHost, 1}, Interval: Interval{afterMs(40), afterMs(45)}, Planned: true}}
		}), "lost"},
		{"interrupted while a host that is not the carrier had a fault", with(once, func(s *History) {
			s.Disruptions = []Disruption{{Scope: Scope{ScopeHost, 1}, Interval: Interval{afterMs(40), afterMs(45)}}}
		}), "lost"},
		{"interrupted by an orderly stop", with(interruptedHistory, func(s *History) { s.Disruptions = disrupted(ScopeHost, true, 40, 45) }), "lost at stop"},
		{"one request interrupted", once, "lost"},
		{"interrupted while the host did not run", with(once, func(s *History) { s.Disruptions = paused }), "lost"},
		{"interrupted by the store", with(once, func(s *History) { s.Disruptions = disrupted(ScopeStore, false, 40, 45) }), "lost"},
		{"interrupted early in a stop", with(endedAfter(5000), func(s *History) { s.Disruptions = disrupted(ScopeHost, true, -1000, 7000) }), "lost at stop"},
		{"interrupted in the last sixth of a stop", with(endedAfter(6000), func(s *History) { s.Disruptions = disrupted(ScopeHost, true, -1000, 7000) }), ""},
		{"sent late in a stop and interrupted", with(endedAfter(3500), func(s *History) { s.Disruptions = disrupted(ScopeHost, true, -3500, 4000) }), "lost at stop"},
		{"late response of a host that did not run", with(late(4600), func(s *History) { s.Disruptions = paused }), ""},
		{"changed query", altered(func(a *Attempt) { a.Path += "?n=1" }), "unasked"},
		{"changed prompt", altered(func(a *Attempt) { a.Prompt = "c:1" }), "unasked"},
		{"another team", altered(func(a *Attempt) { a.Team = "others" }), "unasked"},
		{"padded event twice", historyOf([]Request{twicePadded}), "answer"},
		{"too many attempts", repeated, "attempts"},
		{"crashes after the fifth is known", crashed(10, 2000), "budget"},
		{"crashes while the fifth becomes known", crashed(10, 300), ""},
		{"more than a limit allows", limited(24), "limit"},
		{"as many as a limit allows", limited(23), ""},
		{"process exited", History{ProcessFailures: []string{"host 1"}}, "end"},
		{"stop of a host that was halted as it began takes too long", haltedStop(-500, 1000), "stop"},
		{"stop of a host that was halted as it should end takes too long", haltedStop(6500, 8100), ""},
		{"stop takes too long", History{Stops: []StopResult{{Failure: "still runs"}}}, "stop"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			violations := Check(test.history)
			if test.want == "" {
				assert.Equal(t, len(violations), 0, "%v", violations)
				return
			}
			assert.Assert(t, len(violations) > 0)
			for _, v := range violations {
				assert.Equal(t, v.Rule, test.want, v.Detail)
			}
		})
	}
}

// haltedStop returns a history of a stop that took too long and a halt of the host.
func haltedStop(fromMs, toMs int) History {
	return History{
		Stops:       []StopResult{{RequestedAt: sentAt, EndedAt: afterMs(8000), Failure: "still runs"}},
		Disruptions: []Disruption{{Scope: Scope{Kind: ScopeHost}, Interval: Interval{afterMs(fromMs), afterMs(toMs)}, Pause: true}},
	}
}

// refusedAttempt returns the attempt as one that the endpoint refused.
func refusedAttempt(attempt Attempt) Attempt {
	attempt.Refused = true
	return attempt
}

// An attempt may arrive at an excluded endpoint, and a request may be sent on a
// removed route, until MaxDelay has passed. A disruption of the store suspends the
// rule.
func TestExclusionRule(t *testing.T) {
	request := servedRequest("a", routeToggled)
	excluded := func(exclusion Exclusion, from, to int) History {
		history := historyOf([]Request{request}, attemptOf(request, 0, 10))
		exclusion.From, exclusion.To, exclusion.MaxDelay = afterMs(from), afterMs(to), maxDrainDelay
		history.Exclusions = []Exclusion{exclusion}
		return history
	}
	cases := []struct {
		name       string
		history    History
		isViolated bool
	}{
		{"endpoint, arrived after the maximum delay", excluded(Exclusion{}, -3000, 100), true},
		{"endpoint, arrived before the maximum delay", excluded(Exclusion{}, -2980, 100), false},
		{"endpoint in use again", excluded(Exclusion{}, -5000, 5), false},
		{"other endpoint", excluded(Exclusion{Endpoint: 1}, -5000, 100), false},
		{"route, sent after the maximum delay", excluded(Exclusion{Route: routeToggled}, -3005, 100), true},
		{"route, sent before the maximum delay", excluded(Exclusion{Route: routeToggled}, -2995, 100), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, len(checkExclusions(test.history)) > 0, test.isViolated)
			test.history.Disruptions = []Disruption{{Scope: Scope{Kind: ScopeStore}, Interval: Interval{afterMs(-3500), afterMs(-3400)}}}
			assert.Equal(t, len(checkExclusions(test.history)), 0)
		})
	}
}

// A host may answer 404 for a removed route, and for a restored route until
// maxConfigDelay has passed.
func TestRejectionRule(t *testing.T) {
	for ms, isViolated := range map[int]bool{-3100: true, -2900: false, 100: false} {
		request := servedRequest("a", routeToggled)
		request.Response = standin.Response{Status: 404}
		history := historyOf([]Request{request})
		history.Exclusions = []Exclusion{{Route: routeToggled, MaxDelay: maxConfigDelay, Interval: Interval{From: afterMs(-9000), To: afterMs(ms)}}}
		assert.Equal(t, len(checkRejections(history)) > 0, isViolated, "restored at %d ms", ms)
	}
}

// Retries are counted over all requests in a window.
func TestRetryRule(t *testing.T) {
	for retries, isViolated := range map[int]bool{retrySlack: false, retrySlack + 2: true} {
		request := servedRequest("a", routeSafe)
		history := historyOf([]Request{request}, attemptOf(request, 0, 0))
		for n := range retries {
			history.Attempts["a"] = append(history.Attempts["a"], attemptOf(request, n%4, n))
		}
		assert.Equal(t, len(checkRetries(history)) > 0, isViolated, "%d retries", retries)
	}
}

// crashed returns a history of requests that each crash an endpoint, with an
// interval between them.
func crashed(n, intervalMs int) History {
	history := historyOfMany(n, func(id string) (Request, []Attempt) {
		request := servedRequest(id, routeSafe)
		attempt := attemptOf(request, 0, int(id[0]-'a')*intervalMs)
		attempt.Crashed = true
		return request, []Attempt{attempt}
	})
	return history
}

// limited returns a history of requests to an endpoint that has named a limit of 3 a
// second for long. They arrive within a second.
func limited(n int) History {
	history := historyOfMany(n, func(id string) (Request, []Attempt) {
		request := servedRequest(id, routeSafe)
		return request, []Attempt{attemptOf(request, 0, 10+int(id[0]-'a')*30)}
	})
	history.Limits = []Limit{{Endpoint: 0, PerSecond: 3, Interval: Interval{From: afterMs(-10_000)}}}
	return history
}

// A long body is reported with the place where it differs only.
func TestDifferenceOfBodies(t *testing.T) {
	expected := expectedBody(standin.Path(routeStream), "a")
	doubled := formatEvent("a", 1, "") + expected
	assert.Equal(t, difference(doubled, expected), `from byte 21: "id: 1\ndata: a 1\n\nid: 1\ndata: a 1\n\nid: 2\ndata: a 2\n\nid: 3\ndata: a 3\n\nid: 4\ndata: a" instead of "id: 1\ndata: a 1\n\nid: 2\ndata: a 2\n\nid: 3\ndata: a 3\n\nid: 4\ndata: a 4\n\nid: 5\ndata: a"`)
	assert.Equal(t, difference("x", ""), `from byte 0: "x" instead of ""`)
}
