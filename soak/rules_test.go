package soak

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// begin is when the requests of these tests are sent.
var begin = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// after is a time so many milliseconds later.
func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// served is a request that was answered whole.
func served(id, route string) Ask {
	reply := standin.Response{Status: 200, ID: id, Body: answerOf(route, id), Sealed: true}
	return Ask{ID: id, Route: route, Body: "b", Sent: begin, Ended: after(50), Reply: reply}
}

// ran is a run of a request.
func ran(ask Ask, endpoint, ms int) Run {
	return Run{ID: ask.ID, Route: ask.Route, Path: standin.Path(ask.Route), Body: ask.Body, Endpoint: endpoint, At: after(ms)}
}

// seenOf is a fleet in which some requests ran as told.
func seenOf(asks []Ask, runs ...Run) Seen {
	seen := Seen{Now: after(30_000), Asks: asks, Runs: map[string][]Run{}}
	for _, run := range runs {
		seen.Runs[run.ID] = append(seen.Runs[run.ID], run)
	}
	return seen
}

// many repeats a case, since some rules allow a few.
func many(n int, one func(id string) (Ask, []Run)) Seen {
	seen := seenOf(nil)
	for i := range n {
		ask, runs := one(string(rune('a' + i)))
		seen.Asks = append(seen.Asks, ask)
		if len(runs) > 0 {
			seen.Runs[ask.ID] = runs
		}
	}
	return seen
}

// cut is a request whose connection ended after it had run.
func cut(id, route string) (Ask, []Run) {
	ask := served(id, route)
	ask.Reply = standin.Response{Err: errors.New("reset"), Reused: true}
	return ask, []Run{ran(ask, 0, 10)}
}

// Each rule finds a break, and nothing where the case is allowed.
func TestRules(t *testing.T) {
	ask := served("a", routeUnsafe)
	change := func(change func(*Ask)) []Ask {
		changed := ask
		change(&changed)
		return []Ask{changed}
	}
	stream := served("s", routeStream)
	stream.Reply.Body = event("s", 1) + event("s", 3)
	short := served("s", routeStream)
	short.Reply.Body = event("s", 1)
	broken := short
	broken.Reply.Err = errors.New("broke off")
	faulty := func(kind ScopeKind, planned bool, from, to int) []Disturbance {
		return []Disturbance{{Scope{Kind: kind}, Span{after(from), after(to)}, planned}}
	}
	left := func(ms int) Seen {
		return many(4, func(id string) (Ask, []Run) {
			ask := served(id, routeSafe)
			ask.Left = true
			return ask, []Run{ran(ask, 0, ms)}
		})
	}
	late := func(ms int) Seen {
		return many(4, func(id string) (Ask, []Run) {
			ask := served(id, routeSafe)
			ask.Ended = after(ms)
			return ask, nil
		})
	}
	cutOff := many(4, func(id string) (Ask, []Run) { return cut(id, routeSafe) })
	repeated := many(4, func(id string) (Ask, []Run) {
		ask := served(id, routeSafe)
		return ask, []Run{ran(ask, 0, 1), ran(ask, 1, 2), ran(ask, 2, 3), ran(ask, 3, 4)}
	})
	with := func(seen Seen, change func(*Seen)) Seen { change(&seen); return seen }
	cases := []struct {
		name string
		seen Seen
		want string
	}{
		{"served", seenOf([]Ask{ask}, ran(ask, 0, 10)), ""},
		{"twice", seenOf([]Ask{ask}, ran(ask, 0, 10), ran(ask, 1, 20)), "twice"},
		{"refused and run once", seenOf([]Ask{ask}, refused(ran(ask, 0, 10)), ran(ask, 1, 20)), ""},
		{"broken promise", seenOf(change(func(a *Ask) { a.Reply = standin.Response{Status: 503, ID: "a"} }), ran(ask, 0, 10)), "promise"},
		{"kept promise", seenOf(change(func(a *Ask) { a.Reply = standin.Response{Status: 503, ID: "a"} }), refused(ran(ask, 0, 10))), ""},
		{"unsealed", seenOf(change(func(a *Ask) { a.Reply.Sealed = false })), "answer"},
		{"another's answer", seenOf(change(func(a *Ask) { a.Reply.Body = answerOf(routeUnsafe, "b") })), "answer"},
		{"answer of another id", seenOf(change(func(a *Ask) { a.Reply.ID = "b" })), "answer"},
		{"extra bytes", seenOf(change(func(a *Ask) { a.Reply.Err = standin.ErrExtraBytes })), "answer"},
		{"sealed failure", seenOf(change(func(a *Ask) { a.Reply.Status = 500 })), "answer"},
		{"event missing", seenOf([]Ask{stream}), "answer"},
		{"stream looks complete", seenOf([]Ask{short}), "answer"},
		{"stream breaks off", seenOf([]Ask{broken}), ""},
		{"unknown request", seenOf(nil, ran(ask, 0, 10)), "unasked"},
		{"changed body", seenOf(change(func(a *Ask) { a.Body = "c" }), ran(ask, 0, 10)), "unasked"},
		{"reaches an endpoint after the caller left", left(600), "gone"},
		{"reaches an endpoint as the caller leaves", left(500), ""},
		{"no answer at its deadline", late(4600), "late"},
		{"an answer at its deadline", late(4400), ""},
		{"no answer of a frozen host", with(late(4600), func(s *Seen) { s.Disturbances = faulty(ScopeHost, false, -1000, 100) }), ""},
		{"status of the host's own", seenOf(change(func(a *Ask) { a.Reply = standin.Response{Status: 404} })), "denied"},
		{"cut off", cutOff, "lost"},
		{"cut off by a host's fault", with(cutOff, func(s *Seen) { s.Disturbances = faulty(ScopeHost, false, 40, 45) }), ""},
		{"cut off by an endpoint's fault", with(cutOff, func(s *Seen) { s.Disturbances = faulty(ScopeEndpoint, false, 20, 45) }), ""},
		{"cut off by a stop", with(cutOff, func(s *Seen) { s.Disturbances = faulty(ScopeHost, true, 40, 45) }), "lost at stop"},
		{"too many attempts", repeated, "attempts"},
		{"process ended", Seen{Ends: []string{"host 1"}}, "end"},
		{"stop takes too long", Seen{Stops: []Stop{{Failure: "still runs"}}}, "stop"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			breaks := Check(test.seen)
			if test.want == "" {
				assert.Equal(t, len(breaks), 0, "%v", breaks)
				return
			}
			assert.Assert(t, len(breaks) > 0)
			for _, b := range breaks {
				assert.Equal(t, b.Rule, test.want, b.Detail)
			}
		})
	}
}

// refused is a run that the endpoint refused.
func refused(run Run) Run {
	run.Refused = true
	return run
}

// Requests reach an endpoint that leaves until its bound, and one on a route
// that is gone may have been sent until the bound.
func TestBarredRule(t *testing.T) {
	ask := served("a", routeToggled)
	bar := func(b Barred, from, to int) Seen {
		seen := seenOf([]Ask{ask}, ran(ask, 0, 10))
		b.From, b.To, b.Bound = after(from), after(to), drainBound
		seen.Barred = []Barred{b}
		return seen
	}
	cases := []struct {
		name   string
		seen   Seen
		broken bool
	}{
		{"endpoint after its bound", bar(Barred{}, -3000, 100), true},
		{"endpoint before its bound", bar(Barred{}, -2980, 100), false},
		{"endpoint that is back", bar(Barred{}, -5000, 5), false},
		{"other endpoint", bar(Barred{Endpoint: 1}, -5000, 100), false},
		{"route, sent after the bound", bar(Barred{Route: routeToggled}, -3005, 100), true},
		{"route, sent before the bound", bar(Barred{Route: routeToggled}, -2995, 100), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, len(checkBarred(test.seen)) > 0, test.broken)
			test.seen.Disturbances = []Disturbance{{Scope{Kind: ScopeStore}, Span{after(-3500), after(-3400)}, false}}
			assert.Equal(t, len(checkBarred(test.seen)), 0)
		})
	}
}

// A host answers 404 for a route that is gone, and for one that is back until
// it must know of it.
func TestDeniedRule(t *testing.T) {
	for ms, broken := range map[int]bool{-3100: true, -2900: false, 100: false} {
		ask := served("a", routeToggled)
		ask.Reply = standin.Response{Status: 404}
		seen := seenOf([]Ask{ask})
		seen.Barred = []Barred{{Route: routeToggled, Bound: configBound, Span: Span{From: after(-9000), To: after(ms)}}}
		assert.Equal(t, len(checkOwnErrors(seen)) > 0, broken, "back at %d", ms)
	}
}

// Repeats are counted over all requests, in windows.
func TestRepeatsRule(t *testing.T) {
	for repeats, broken := range map[int]bool{repeatSlack: false, repeatSlack + 2: true} {
		ask := served("a", routeSafe)
		seen := seenOf([]Ask{ask}, ran(ask, 0, 0))
		for n := range repeats {
			seen.Runs["a"] = append(seen.Runs["a"], ran(ask, n%4, n))
		}
		assert.Equal(t, len(checkRepeats(seen)) > 0, broken, "%d repeats", repeats)
	}
}
