package check

import (
	"fmt"
	"time"

	"mustarddoor/internal/process/timeline"
)

// dispatchBan is a rule that forbids dispatches to a subject from a delay after
// a start event until an end event.
type dispatchBan struct {
	startKind, endKind timeline.Kind
	delay              time.Duration
	// subject returns what a start, end or dispatch event relates to.
	subject func(timeline.Event) string
}

// banState is the latest start or end event of a subject.
type banState struct {
	event  timeline.Event
	banned bool
}

// find returns the dispatches that violate the ban. Hosts record the same
// change at different times, so an event with a lower Since or Value than the
// latest one is stale and ignored.
func (b dispatchBan) find(events []timeline.Event) []Violation {
	latest := map[string]banState{}
	var found []Violation
	for _, event := range events {
		subject := b.subject(event)
		last := latest[subject]
		switch event.Kind {
		case b.startKind, b.endKind:
			if next := (banState{event: event, banned: event.Kind == b.startKind}); next.supersedes(last) {
				latest[subject] = next
			}
		case timeline.RequestDispatched:
			elapsed := event.Stamp.Time().Sub(last.event.Stamp.Time())
			if last.banned && elapsed > b.delay {
				found = append(found, b.violation(last.event, event))
			}
		}
	}
	return found
}

// supersedes reports whether the event is not stale and starts or ends the ban.
func (s banState) supersedes(last banState) bool {
	isStale := s.event.Since < last.event.Since || s.event.Value < last.event.Value
	return s.banned != last.banned && !isStale
}

func (b dispatchBan) violation(start, dispatch timeline.Event) Violation {
	elapsed := dispatch.Stamp.Time().Sub(start.Stamp.Time())
	return Violation{
		Text:   fmt.Sprintf("%s dispatched to %s by %s %v after %s", dispatch.Request, b.subject(dispatch), dispatch.Host, elapsed, start.Kind),
		Events: []timeline.Event{start, dispatch},
	}
}

// findDispatchesToExcludedDomains finds dispatches to an excluded failure
// domain.
func findDispatchesToExcludedDomains(events []timeline.Event, delays Delays) []Violation {
	return dispatchBan{
		startKind: timeline.DomainExcluded,
		endKind:   timeline.DomainIncluded,
		delay:     delays.ExclusionDelay,
		subject:   func(e timeline.Event) string { return e.Domain },
	}.find(events)
}

// findDispatchesToLeavingEndpoints finds dispatches to a leaving endpoint.
func findDispatchesToLeavingEndpoints(events []timeline.Event, delays Delays) []Violation {
	return dispatchBan{
		startKind: timeline.EndpointLeaving,
		endKind:   timeline.EndpointJoined,
		delay:     delays.LeavingDelay,
		subject:   func(e timeline.Event) string { return e.Endpoint },
	}.find(events)
}

// findDispatchesToBadVersions finds dispatches to a version after the verdict
// against it.
func findDispatchesToBadVersions(events []timeline.Event, delays Delays) []Violation {
	return dispatchBan{
		startKind: timeline.MoveBad,
		delay:     delays.BadVersionDelay,
		subject:   func(e timeline.Event) string { return e.Service + " " + e.Version },
	}.find(events)
}

// findConfigRegressions finds hosts that applied an older configuration after a
// newer one.
func findConfigRegressions(events []timeline.Event, _ Delays) []Violation {
	type process struct {
		host   string
		number uint64
	}
	newest := map[process]timeline.Event{}
	var found []Violation
	for _, event := range events {
		if event.Kind != timeline.ConfigInForce {
			continue
		}
		key := process{host: event.Host.Host, number: event.Host.Number}
		earlier, seen := newest[key]
		if seen && event.Value < earlier.Value {
			found = append(found, Violation{
				Text:   fmt.Sprintf("%s went from configuration %d back to %d", event.Host, earlier.Value, event.Value),
				Events: []timeline.Event{earlier, event},
			})
			continue
		}
		newest[key] = event
	}
	return found
}
