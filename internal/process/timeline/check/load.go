package check

import (
	"fmt"
	"time"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/timeline"
)

// coldSpell is the time from an endpoint's cold start until it is warm.
type coldSpell struct {
	since hlc.Stamp
	limit int64
}

// changed gives the spell with a new limit. A lower one, like the spell's start,
// reaches the hosts with a delay.
func (s coldSpell) changed(event timeline.Event) coldSpell {
	if event.Value < s.limit {
		s.since = event.Stamp
	}
	s.limit = event.Value
	return s
}

// endpointLoad is what endpoints run and which of them are cold, as far as the
// time line was read.
type endpointLoad struct {
	// spells holds the cold spells by endpoint.
	spells map[string]coldSpell
	// running holds the requests in flight by endpoint, and endpoints the
	// endpoint of each request.
	running   map[string]map[string]bool
	endpoints map[string]string
}

// coldLimit finds dispatches to a cold endpoint that bear it more requests
// than its limit.
func coldLimit(events []timeline.Event, limits Limits) []Violation {
	load := endpointLoad{
		spells:    map[string]coldSpell{},
		running:   map[string]map[string]bool{},
		endpoints: map[string]string{},
	}
	var found []Violation
	for _, event := range events {
		load.apply(event)
		if event.Kind == timeline.RequestDispatched {
			found = append(found, load.check(event, limits)...)
		}
	}
	return found
}

// apply takes in one event.
func (l endpointLoad) apply(event timeline.Event) {
	switch event.Kind {
	case timeline.EndpointCold:
		l.spells[event.Endpoint] = coldSpell{since: event.Stamp, limit: event.Value}
	case timeline.EndpointLimit:
		if spell, cold := l.spells[event.Endpoint]; cold {
			l.spells[event.Endpoint] = spell.changed(event)
		}
	case timeline.EndpointWarm:
		delete(l.spells, event.Endpoint)
	case timeline.RequestDispatched:
		l.endpoints[event.Request] = event.Endpoint
		if l.running[event.Endpoint] == nil {
			l.running[event.Endpoint] = map[string]bool{}
		}
		l.running[event.Endpoint][event.Request] = true
	case timeline.RequestDone:
		delete(l.running[l.endpoints[event.Request]], event.Request)
	}
}

// check gives the violation of a dispatch that was just applied, if it is one.
func (l endpointLoad) check(dispatch timeline.Event, limits Limits) []Violation {
	spell, cold := l.spells[dispatch.Endpoint]
	count := len(l.running[dispatch.Endpoint])
	if !cold || int64(count) <= spell.limit || !isPast(dispatch, spell.since, limits.ColdDelay) {
		return nil
	}
	return []Violation{{
		Text:   fmt.Sprintf("%d requests at %s, whose cold limit is %d", count, dispatch.Endpoint, spell.limit),
		Events: []timeline.Event{dispatch},
	}}
}

func isPast(event timeline.Event, since hlc.Stamp, delay time.Duration) bool {
	return event.Stamp.Time().Sub(since.Time()) > delay
}

// service is the time that one request held a slot of its service.
type service struct {
	dispatch timeline.Event
	// end is when the slot was given back; zero if the time line ends before.
	end hlc.Stamp
}

// shedOrder finds requests that were shed although one of a lower tier held a
// slot of the same service at some time between the confirmation of the
// opposite and the shedding.
func shedOrder(events []timeline.Event, _ Limits) []Violation {
	served := services(events)
	var found []Violation
	for _, shed := range events {
		if shed.Kind != timeline.RequestShed {
			continue
		}
		for _, lower := range served[shed.Service] {
			if lower.dispatch.Rank > shed.Rank && lower.overlaps(shed.Since, shed.Stamp) {
				found = append(found, Violation{
					Text:   fmt.Sprintf("%s of tier %s shed while %s of tier %s was served", shed.Request, shed.Tier, lower.dispatch.Request, lower.dispatch.Tier),
					Events: []timeline.Event{lower.dispatch, shed},
				})
				break
			}
		}
	}
	return found
}

// services lists who was served when, by the name of the service.
func services(events []timeline.Event) map[string][]service {
	ends := map[string]hlc.Stamp{}
	for _, event := range events {
		if event.Kind == timeline.RequestDone {
			ends[event.Request] = event.Stamp
		}
	}
	served := map[string][]service{}
	for _, event := range events {
		if event.Kind == timeline.RequestDispatched {
			one := service{dispatch: event, end: ends[event.Request]}
			served[event.Service] = append(served[event.Service], one)
		}
	}
	return served
}

// overlaps reports whether the service took place within the interval. An
// interval without a start is its end alone.
func (s service) overlaps(from, to hlc.Stamp) bool {
	if from == 0 {
		from = to
	}
	return s.dispatch.Stamp < to && (s.end == 0 || s.end > from)
}
