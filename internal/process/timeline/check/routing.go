package check

import (
	"fmt"
	"time"

	"mustarddoor/internal/process/timeline"
)

// ban is a rule of the form: after some news about a subject, no dispatch to
// the subject, until other news lifts it.
type ban struct {
	begins, lifts timeline.Kind
	delay         time.Duration
	// subject names what an event of news or a dispatch is about.
	subject func(timeline.Event) string
}

// news is the latest that is known of a subject.
type news struct {
	event  timeline.Event
	banned bool
}

// find lists the dispatches that break the ban. Hosts learn of the same news
// at different times; what arrives late, by Since or Value, is ignored.
func (b ban) find(events []timeline.Event) []Violation {
	latest := map[string]news{}
	var found []Violation
	for _, event := range events {
		subject := b.subject(event)
		last := latest[subject]
		switch event.Kind {
		case b.begins, b.lifts:
			if next := (news{event: event, banned: event.Kind == b.begins}); next.replaces(last) {
				latest[subject] = next
			}
		case timeline.RequestDispatched:
			late := event.Stamp.Time().Sub(last.event.Stamp.Time())
			if last.banned && late > b.delay {
				found = append(found, b.violation(last.event, event))
			}
		}
	}
	return found
}

// replaces reports whether the news changes what was known before.
func (n news) replaces(last news) bool {
	isLate := n.event.Since < last.event.Since || n.event.Value < last.event.Value
	return n.banned != last.banned && !isLate
}

func (b ban) violation(begin, dispatch timeline.Event) Violation {
	late := dispatch.Stamp.Time().Sub(begin.Stamp.Time())
	return Violation{
		Text:   fmt.Sprintf("%s dispatched to %s by %s %v after %s", dispatch.Request, b.subject(dispatch), dispatch.Host, late, begin.Kind),
		Events: []timeline.Event{begin, dispatch},
	}
}

// domainOut finds dispatches to a failure domain out of service.
func domainOut(events []timeline.Event, limits Limits) []Violation {
	return ban{
		begins:  timeline.DomainOut,
		lifts:   timeline.DomainIn,
		delay:   limits.OutDelay,
		subject: func(e timeline.Event) string { return e.Domain },
	}.find(events)
}

// endpointLeaving finds dispatches to an endpoint that leaves.
func endpointLeaving(events []timeline.Event, limits Limits) []Violation {
	return ban{
		begins:  timeline.EndpointLeaving,
		lifts:   timeline.EndpointJoined,
		delay:   limits.LeavingDelay,
		subject: func(e timeline.Event) string { return e.Endpoint },
	}.find(events)
}

// badVersion finds dispatches to a version after the verdict against it.
func badVersion(events []timeline.Event, limits Limits) []Violation {
	return ban{
		begins:  timeline.MoveBad,
		delay:   limits.BadDelay,
		subject: func(e timeline.Event) string { return e.Service + " " + e.Version },
	}.find(events)
}

// configForward finds hosts on which an older configuration followed a newer.
func configForward(events []timeline.Event, _ Limits) []Violation {
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
		on := process{host: event.Host.Host, number: event.Host.Number}
		earlier, seen := newest[on]
		if seen && event.Value < earlier.Value {
			found = append(found, Violation{
				Text:   fmt.Sprintf("%s went from configuration %d back to %d", event.Host, earlier.Value, event.Value),
				Events: []timeline.Event{earlier, event},
			})
			continue
		}
		newest[on] = event
	}
	return found
}
