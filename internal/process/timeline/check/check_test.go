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

// eventAt sets the stamp of an event to a number of milliseconds after start.
func eventAt(millis int, event timeline.Event) timeline.Event {
	event.Stamp = stampAt(millis)
	if event.Host.IsZero() {
		event.Host = identity.Incarnation{Host: "a", Number: 1}
	}
	return event
}

func stampAt(millis int) hlc.Stamp {
	return hlc.At(start.Add(time.Duration(millis) * time.Millisecond))
}

func dispatchEvent(request, endpoint string) timeline.Event {
	return timeline.Event{
		Kind: timeline.RequestDispatched, Request: request, Endpoint: endpoint,
		Service: "llm", Domain: "north", Version: "v2", Rank: 3, Tier: "bulk",
	}
}

func doneEvent(request string) timeline.Event {
	return timeline.Event{Kind: timeline.RequestDone, Request: request, Outcome: timeline.OutcomeDone}
}

func refusedEvent(request, outcome string) timeline.Event {
	return timeline.Event{Kind: timeline.RequestRefused, Request: request, Outcome: outcome}
}

func endpointEvent(kind timeline.Kind, value int64) timeline.Event {
	return timeline.Event{Kind: kind, Endpoint: "e", Value: value}
}

func shedEvent(rank int, confirmed int) timeline.Event {
	return timeline.Event{
		Kind: timeline.RequestShed, Request: "s", Service: "llm", Rank: rank, Tier: "urgent", Since: stampAt(confirmed),
	}
}

func domainMarkEvent(kind timeline.Kind, millis int) timeline.Event {
	return timeline.Event{Kind: kind, Domain: "north", Since: stampAt(millis)}
}

func configEvent(number uint64, offset int64) timeline.Event {
	return timeline.Event{
		Kind: timeline.ConfigInForce, Value: offset, Host: identity.Incarnation{Host: "a", Number: number},
	}
}

func TestRules(t *testing.T) {
	domainEvent := func(kind timeline.Kind) timeline.Event { return timeline.Event{Kind: kind, Domain: "north"} }
	badVersionEvent := timeline.Event{Kind: timeline.MoveBad, Service: "llm", Version: "v2"}
	cases := []struct {
		name   string
		events []timeline.Event
		// violated names the only rule that is violated, or is empty for none.
		violated string
	}{
		{name: "empty"},
		{name: "one dispatch", events: []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(1, doneEvent("r"))}},
		{
			name:     "two dispatches",
			events:   []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(1, dispatchEvent("r", "f"))},
			violated: "dispatched at most once",
		},
		{
			name: "dispatch that was not started",
			events: []timeline.Event{
				eventAt(0, dispatchEvent("r", "e")), eventAt(1, timeline.Event{Kind: timeline.RequestNotStarted, Request: "r"}),
				eventAt(2, dispatchEvent("r", "f")), eventAt(3, doneEvent("r")),
			},
		},
		{
			name: "dispatch that was not started, then two dispatches",
			events: []timeline.Event{
				eventAt(0, dispatchEvent("r", "e")), eventAt(1, timeline.Event{Kind: timeline.RequestNotStarted, Request: "r"}),
				eventAt(2, dispatchEvent("r", "f")), eventAt(3, dispatchEvent("r", "e")),
			},
			violated: "dispatched at most once",
		},
		{
			name:   "unknown, then done",
			events: []timeline.Event{eventAt(0, refusedEvent("r", timeline.OutcomeUnknown)), eventAt(1, doneEvent("r"))},
		},
		{
			name:     "done, then failed",
			events:   []timeline.Event{eventAt(0, doneEvent("r")), eventAt(1, refusedEvent("r", timeline.OutcomeFailed))},
			violated: "one outcome per request",
		},
		{
			name:   "not run twice",
			events: []timeline.Event{eventAt(0, refusedEvent("r", timeline.OutcomeNotRun)), eventAt(1, refusedEvent("r", timeline.OutcomeNotRun))},
		},
		{
			name:     "not run, then dispatched",
			events:   []timeline.Event{eventAt(0, refusedEvent("r", timeline.OutcomeNotRun)), eventAt(1, dispatchEvent("r", "e"))},
			violated: "not run is true",
		},
		{
			name:     "dispatched, then not run",
			events:   []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(1, refusedEvent("r", timeline.OutcomeNotRun))},
			violated: "not run is true",
		},
		{
			name:   "domain excluded, dispatch within the delay",
			events: []timeline.Event{eventAt(0, domainEvent(timeline.DomainExcluded)), eventAt(2900, dispatchEvent("r", "e"))},
		},
		{
			name:     "domain excluded, dispatch after the delay",
			events:   []timeline.Event{eventAt(0, domainEvent(timeline.DomainExcluded)), eventAt(1000, domainEvent(timeline.DomainExcluded)), eventAt(3100, dispatchEvent("r", "e"))},
			violated: "no dispatch to a domain out of service",
		},
		{
			name:   "domain excluded and included again",
			events: []timeline.Event{eventAt(0, domainEvent(timeline.DomainExcluded)), eventAt(3000, domainEvent(timeline.DomainIncluded)), eventAt(3100, dispatchEvent("r", "e"))},
		},
		{
			name: "host observes the exclusion after the inclusion",
			events: []timeline.Event{
				eventAt(0, domainMarkEvent(timeline.DomainExcluded, 0)), eventAt(900, domainMarkEvent(timeline.DomainIncluded, 900)),
				eventAt(950, domainMarkEvent(timeline.DomainExcluded, 0)), eventAt(4000, dispatchEvent("r", "e")),
			},
		},
		{
			name:     "leaving endpoint",
			events:   []timeline.Event{eventAt(0, endpointEvent(timeline.EndpointLeaving, 0)), eventAt(3100, dispatchEvent("r", "e"))},
			violated: "no dispatch to a leaving endpoint",
		},
		{
			name:     "leaving endpoint with a cold period",
			events:   []timeline.Event{eventAt(0, endpointEvent(timeline.EndpointLeaving, 4)), eventAt(9, endpointEvent(timeline.EndpointCold, 1)), eventAt(3100, dispatchEvent("r", "e"))},
			violated: "no dispatch to a leaving endpoint",
		},
		{
			name: "endpoint joined again, one host observes its leaving late",
			events: []timeline.Event{
				eventAt(0, endpointEvent(timeline.EndpointLeaving, 4)), eventAt(9, endpointEvent(timeline.EndpointJoined, 5)),
				eventAt(10, endpointEvent(timeline.EndpointLeaving, 4)), eventAt(3100, dispatchEvent("r", "e")),
			},
		},
		{
			name: "cold endpoint within its limit",
			events: []timeline.Event{
				eventAt(0, endpointEvent(timeline.EndpointCold, 1)), eventAt(300, dispatchEvent("r", "e")), eventAt(400, doneEvent("r")), eventAt(500, dispatchEvent("q", "e")),
			},
		},
		{
			name:     "cold endpoint above its limit",
			events:   []timeline.Event{eventAt(0, endpointEvent(timeline.EndpointCold, 1)), eventAt(300, dispatchEvent("r", "e")), eventAt(400, dispatchEvent("q", "e"))},
			violated: "cold endpoint within its limit",
		},
		{
			name: "cold endpoint with a raised limit",
			events: []timeline.Event{
				eventAt(0, endpointEvent(timeline.EndpointCold, 1)), eventAt(300, dispatchEvent("r", "e")),
				eventAt(350, endpointEvent(timeline.EndpointLimit, 2)), eventAt(400, dispatchEvent("q", "e")),
			},
		},
		{
			name: "cold endpoint with a limit just lowered",
			events: []timeline.Event{
				eventAt(0, endpointEvent(timeline.EndpointCold, 2)), eventAt(300, dispatchEvent("r", "e")),
				eventAt(350, endpointEvent(timeline.EndpointLimit, 1)), eventAt(400, dispatchEvent("q", "e")),
			},
		},
		{
			name: "cold endpoint with a limit lowered earlier",
			events: []timeline.Event{
				eventAt(0, endpointEvent(timeline.EndpointCold, 2)), eventAt(300, dispatchEvent("r", "e")),
				eventAt(350, endpointEvent(timeline.EndpointLimit, 1)), eventAt(700, dispatchEvent("q", "e")),
			},
			violated: "cold endpoint within its limit",
		},
		{
			name: "warm endpoint",
			events: []timeline.Event{
				eventAt(0, endpointEvent(timeline.EndpointCold, 1)), eventAt(300, dispatchEvent("r", "e")),
				eventAt(350, endpointEvent(timeline.EndpointWarm, 0)), eventAt(400, dispatchEvent("q", "e")),
			},
		},
		{
			name:     "shed while a lower tier runs",
			events:   []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(10, shedEvent(1, 5))},
			violated: "no higher tier shed before a lower one",
		},
		{
			name:     "shed after a lower tier was served since the confirmation",
			events:   []timeline.Event{eventAt(6, dispatchEvent("r", "e")), eventAt(8, doneEvent("r")), eventAt(10, shedEvent(1, 5))},
			violated: "no higher tier shed before a lower one",
		},
		{
			name:   "shed after the lower tier ended",
			events: []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(4, doneEvent("r")), eventAt(10, shedEvent(1, 5)), eventAt(20, dispatchEvent("q", "e"))},
		},
		{
			name:   "lowest tier shed",
			events: []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(10, shedEvent(3, 5))},
		},
		{
			name:   "configuration advances; a new incarnation starts lower",
			events: []timeline.Event{eventAt(0, configEvent(1, 5)), eventAt(1, configEvent(1, 7)), eventAt(2, configEvent(2, 6))},
		},
		{
			name:     "configuration goes back",
			events:   []timeline.Event{eventAt(0, configEvent(1, 7)), eventAt(1, configEvent(1, 5))},
			violated: "configuration never goes back",
		},
		{
			name:   "bad version, dispatch within the delay",
			events: []timeline.Event{eventAt(0, badVersionEvent), eventAt(2900, dispatchEvent("r", "e"))},
		},
		{
			name:     "bad version, dispatch after the delay",
			events:   []timeline.Event{eventAt(0, badVersionEvent), eventAt(3100, dispatchEvent("r", "e"))},
			violated: "no dispatch to a bad version",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := check.Run(timeline.Merged{Events: c.events}, check.DefaultDelays())
			want := []string{}
			if c.violated != "" {
				want = append(want, c.violated)
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
		Events: []timeline.Event{eventAt(0, dispatchEvent("r", "e")), eventAt(10, shedEvent(1, 5)), eventAt(11, dispatchEvent("r", "e"))},
		Gaps:   []timeline.Gap{{Dropped: 1}},
	}
	report := check.Run(merged, check.DefaultDelays())
	assert.Assert(t, slices.Contains(report.Undecided, "no higher tier shed before a lower one"))
	assert.Equal(t, len(report.Violations), 1)
	assert.Equal(t, report.String(), "3 events, 2 dispatches, 1 gaps, 1 violations\n"+
		"undecided: cold endpoint within its limit\n"+
		"undecided: no higher tier shed before a lower one\n"+
		"violated: dispatched at most once: r dispatched to e and to e\n")
}
