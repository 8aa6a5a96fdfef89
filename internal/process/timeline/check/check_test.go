package check_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/process/timeline/check"
)

var start = time.Unix(1_700_000_000, 0)

// at places an event a number of milliseconds after the start.
func at(millis int, event timeline.Event) timeline.Event {
	event.Stamp = after(millis)
	if event.Host.IsZero() {
		event.Host = identity.Incarnation{Host: "a", Number: 1}
	}
	return event
}

func after(millis int) hlc.Stamp {
	return hlc.At(start.Add(time.Duration(millis) * time.Millisecond))
}

func dispatch(request, endpoint string) timeline.Event {
	return timeline.Event{
		Kind: timeline.RequestDispatched, Request: request, Endpoint: endpoint,
		Service: "llm", Domain: "north", Version: "v2", Rank: 3, Tier: "bulk",
	}
}

func done(request string) timeline.Event {
	return timeline.Event{Kind: timeline.RequestDone, Request: request, Outcome: timeline.OutcomeDone}
}

func refused(request, outcome string) timeline.Event {
	return timeline.Event{Kind: timeline.RequestRefused, Request: request, Outcome: outcome}
}

func endpoint(kind timeline.Kind, value int64) timeline.Event {
	return timeline.Event{Kind: kind, Endpoint: "e", Value: value}
}

func shed(rank int, confirmed int) timeline.Event {
	return timeline.Event{
		Kind: timeline.RequestShed, Request: "s", Service: "llm", Rank: rank, Tier: "urgent", Since: after(confirmed),
	}
}

func marked(kind timeline.Kind, millis int) timeline.Event {
	return timeline.Event{Kind: kind, Domain: "north", Since: after(millis)}
}

func config(number uint64, offset int64) timeline.Event {
	return timeline.Event{
		Kind: timeline.ConfigInForce, Value: offset, Host: identity.Incarnation{Host: "a", Number: number},
	}
}

func TestRules(t *testing.T) {
	domain := func(kind timeline.Kind) timeline.Event { return timeline.Event{Kind: kind, Domain: "north"} }
	bad := timeline.Event{Kind: timeline.MoveBad, Service: "llm", Version: "v2"}
	cases := []struct {
		name   string
		events []timeline.Event
		// broken is the rule that must be violated, once; empty for none.
		broken string
	}{
		{name: "empty"},
		{name: "one dispatch", events: []timeline.Event{at(0, dispatch("r", "e")), at(1, done("r"))}},
		{
			name:   "two dispatches",
			events: []timeline.Event{at(0, dispatch("r", "e")), at(1, dispatch("r", "f"))},
			broken: "dispatched at most once",
		},
		{
			name: "a dispatch that was taken back",
			events: []timeline.Event{
				at(0, dispatch("r", "e")), at(1, timeline.Event{Kind: timeline.RequestNotStarted, Request: "r"}),
				at(2, dispatch("r", "f")), at(3, done("r")),
			},
		},
		{
			name: "a dispatch that was taken back, then two",
			events: []timeline.Event{
				at(0, dispatch("r", "e")), at(1, timeline.Event{Kind: timeline.RequestNotStarted, Request: "r"}),
				at(2, dispatch("r", "f")), at(3, dispatch("r", "e")),
			},
			broken: "dispatched at most once",
		},
		{
			name:   "unknown, then done",
			events: []timeline.Event{at(0, refused("r", timeline.OutcomeUnknown)), at(1, done("r"))},
		},
		{
			name:   "done, then failed",
			events: []timeline.Event{at(0, done("r")), at(1, refused("r", timeline.OutcomeFailed))},
			broken: "one outcome per request",
		},
		{
			name:   "not run twice",
			events: []timeline.Event{at(0, refused("r", timeline.OutcomeNotRun)), at(1, refused("r", timeline.OutcomeNotRun))},
		},
		{
			name:   "not run, then dispatched",
			events: []timeline.Event{at(0, refused("r", timeline.OutcomeNotRun)), at(1, dispatch("r", "e"))},
			broken: "not run is true",
		},
		{
			name:   "dispatched, then not run",
			events: []timeline.Event{at(0, dispatch("r", "e")), at(1, refused("r", timeline.OutcomeNotRun))},
			broken: "not run is true",
		},
		{
			name:   "domain out, dispatch at once",
			events: []timeline.Event{at(0, domain(timeline.DomainOut)), at(2900, dispatch("r", "e"))},
		},
		{
			name:   "domain out, dispatch late",
			events: []timeline.Event{at(0, domain(timeline.DomainOut)), at(1000, domain(timeline.DomainOut)), at(3100, dispatch("r", "e"))},
			broken: "no dispatch to a domain out of service",
		},
		{
			name:   "domain out and in again",
			events: []timeline.Event{at(0, domain(timeline.DomainOut)), at(3000, domain(timeline.DomainIn)), at(3100, dispatch("r", "e"))},
		},
		{
			name: "a host hears of the out-mark after the in-mark",
			events: []timeline.Event{
				at(0, marked(timeline.DomainOut, 0)), at(900, marked(timeline.DomainIn, 900)),
				at(950, marked(timeline.DomainOut, 0)), at(4000, dispatch("r", "e")),
			},
		},
		{
			name:   "leaving endpoint",
			events: []timeline.Event{at(0, endpoint(timeline.EndpointLeaving, 0)), at(3100, dispatch("r", "e"))},
			broken: "no dispatch to a leaving endpoint",
		},
		{
			name:   "leaving endpoint that still has cold spells",
			events: []timeline.Event{at(0, endpoint(timeline.EndpointLeaving, 4)), at(9, endpoint(timeline.EndpointCold, 1)), at(3100, dispatch("r", "e"))},
			broken: "no dispatch to a leaving endpoint",
		},
		{
			name: "endpoint that has come back, which one host hears late",
			events: []timeline.Event{
				at(0, endpoint(timeline.EndpointLeaving, 4)), at(9, endpoint(timeline.EndpointJoined, 5)),
				at(10, endpoint(timeline.EndpointLeaving, 4)), at(3100, dispatch("r", "e")),
			},
		},
		{
			name: "cold endpoint within its limit",
			events: []timeline.Event{
				at(0, endpoint(timeline.EndpointCold, 1)), at(300, dispatch("r", "e")), at(400, done("r")), at(500, dispatch("q", "e")),
			},
		},
		{
			name:   "cold endpoint beyond its limit",
			events: []timeline.Event{at(0, endpoint(timeline.EndpointCold, 1)), at(300, dispatch("r", "e")), at(400, dispatch("q", "e"))},
			broken: "cold endpoint within its limit",
		},
		{
			name: "cold endpoint with a raised limit",
			events: []timeline.Event{
				at(0, endpoint(timeline.EndpointCold, 1)), at(300, dispatch("r", "e")),
				at(350, endpoint(timeline.EndpointLimit, 2)), at(400, dispatch("q", "e")),
			},
		},
		{
			name: "cold endpoint with a limit just lowered",
			events: []timeline.Event{
				at(0, endpoint(timeline.EndpointCold, 2)), at(300, dispatch("r", "e")),
				at(350, endpoint(timeline.EndpointLimit, 1)), at(400, dispatch("q", "e")),
			},
		},
		{
			name: "cold endpoint with a limit lowered before",
			events: []timeline.Event{
				at(0, endpoint(timeline.EndpointCold, 2)), at(300, dispatch("r", "e")),
				at(350, endpoint(timeline.EndpointLimit, 1)), at(700, dispatch("q", "e")),
			},
			broken: "cold endpoint within its limit",
		},
		{
			name: "warm endpoint",
			events: []timeline.Event{
				at(0, endpoint(timeline.EndpointCold, 1)), at(300, dispatch("r", "e")),
				at(350, endpoint(timeline.EndpointWarm, 0)), at(400, dispatch("q", "e")),
			},
		},
		{
			name:   "shed while a lower tier runs",
			events: []timeline.Event{at(0, dispatch("r", "e")), at(10, shed(1, 5))},
			broken: "no higher tier shed before a lower one",
		},
		{
			name:   "shed after a lower tier slipped in since the confirmation",
			events: []timeline.Event{at(6, dispatch("r", "e")), at(8, done("r")), at(10, shed(1, 5))},
			broken: "no higher tier shed before a lower one",
		},
		{
			name:   "shed after the lower tier ended",
			events: []timeline.Event{at(0, dispatch("r", "e")), at(4, done("r")), at(10, shed(1, 5)), at(20, dispatch("q", "e"))},
		},
		{
			name:   "lowest tier shed",
			events: []timeline.Event{at(0, dispatch("r", "e")), at(10, shed(3, 5))},
		},
		{
			name:   "configuration grows; a new incarnation begins anew",
			events: []timeline.Event{at(0, config(1, 5)), at(1, config(1, 7)), at(2, config(2, 6))},
		},
		{
			name:   "configuration goes back",
			events: []timeline.Event{at(0, config(1, 7)), at(1, config(1, 5))},
			broken: "configuration never goes back",
		},
		{
			name:   "bad version, dispatch at once",
			events: []timeline.Event{at(0, bad), at(2900, dispatch("r", "e"))},
		},
		{
			name:   "bad version, dispatch late",
			events: []timeline.Event{at(0, bad), at(3100, dispatch("r", "e"))},
			broken: "no dispatch to a bad version",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := check.Run(timeline.Merged{Events: c.events}, check.DefaultLimits())
			want := []string{}
			if c.broken != "" {
				want = append(want, c.broken)
			}
			got := []string{}
			for _, violation := range report.Violations {
				got = append(got, violation.Rule)
			}
			assert.DeepEqual(t, got, want)
		})
	}
}

func TestGapsLeaveRulesUndecided(t *testing.T) {
	merged := timeline.Merged{
		Events: []timeline.Event{at(0, dispatch("r", "e")), at(10, shed(1, 5)), at(11, dispatch("r", "e"))},
		Gaps:   []timeline.Gap{{Dropped: 1}},
	}
	report := check.Run(merged, check.DefaultLimits())
	assert.Assert(t, slices.Contains(report.Undecided, "no higher tier shed before a lower one"))
	assert.Equal(t, len(report.Violations), 1)
	assert.Equal(t, report.String(), "3 events, 2 dispatches, 1 gaps, 1 violations\n"+
		"undecided: cold endpoint within its limit\n"+
		"undecided: no higher tier shed before a lower one\n"+
		"violated: dispatched at most once: r dispatched to e and to e\n")
}
