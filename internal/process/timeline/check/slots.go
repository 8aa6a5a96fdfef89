package check

import (
	"fmt"
	"time"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/timeline"
)

// coldPeriod is the time from an endpoint's cold start until it is warm.
type coldPeriod struct {
	since hlc.Stamp
	limit int64
}

// withLimit gives the spell with a new limit. A lower one, like the spell's start,
// reaches the hosts with a delay.
func (p coldPeriod) withLimit(event timeline.Event) coldPeriod {
	if event.Value < p.limit {
		p.since = event.Stamp
	}
	p.limit = event.Value
	return p
}

// endpointLoad is what endpoints run and which of them are cold, as far as the
// time line was read.
type endpointLoad struct {
	// coldPeriods holds the cold coldPeriods by endpoint.
	coldPeriods map[string]coldPeriod
	// running holds the requests in flight by endpoint, and endpoints the
	// endpoint of each request.
	running   map[string]map[string]bool
	endpoints map[string]string
}

// findColdLimitViolations finds dispatches to a cold endpoint that bear it more requests
// than its limit.
func findColdLimitViolations(events []timeline.Event, delays Delays) []Violation {
	load := endpointLoad{
		coldPeriods: map[string]coldPeriod{},
		running:     map[string]map[string]bool{},
		endpoints:   map[string]string{},
	}
	var found []Violation
	for _, event := range events {
		load.apply(event)
		if event.Kind == timeline.RequestDispatched {
			found = append(found, load.check(event, delays)...)
		}
	}
	return found
}

// apply takes in one event.
func (l endpointLoad) apply(event timeline.Event) {
	switch event.Kind {
	case timeline.EndpointCold:
		l.coldPeriods[event.Endpoint] = coldPeriod{since: event.Stamp, limit: event.Value}
	case timeline.EndpointLimit:
		if period, cold := l.coldPeriods[event.Endpoint]; cold {
			l.coldPeriods[event.Endpoint] = period.withLimit(event)
		}
	case timeline.EndpointWarm:
		delete(l.coldPeriods, event.Endpoint)
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
func (l endpointLoad) check(dispatch timeline.Event, delays Delays) []Violation {
	period, cold := l.coldPeriods[dispatch.Endpoint]
	count := len(l.running[dispatch.Endpoint])
	if !cold || int64(count) <= period.limit || !isAfterDelay(dispatch, period.since, delays.ColdDelay) {
		return nil
	}
	return []Violation{{
		Text:   fmt.Sprintf("%d requests at %s, whose cold limit is %d", count, dispatch.Endpoint, period.limit),
		Events: []timeline.Event{dispatch},
	}}
}

func isAfterDelay(event timeline.Event, since hlc.Stamp, delay time.Duration) bool {
	return event.Stamp.Time().Sub(since.Time()) > delay
}

// slotUse is the time that one request held a slot of its slotUse.
type slotUse struct {
	dispatch timeline.Event
	// end is when the slot was given back; zero if the time line ends before.
	end hlc.Stamp
}

// findShedOrderViolations finds requests that were shed although one of a lower tier held a
// slot of the same service at some time between the confirmation of the
// opposite and the shedding.
func findShedOrderViolations(events []timeline.Event, _ Delays) []Violation {
	uses := slotUsesByService(events)
	var found []Violation
	for _, shed := range events {
		if shed.Kind != timeline.RequestShed {
			continue
		}
		for _, lower := range uses[shed.Service] {
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

// slotUsesByService lists who was served when, by the name of the service.
func slotUsesByService(events []timeline.Event) map[string][]slotUse {
	ends := map[string]hlc.Stamp{}
	for _, event := range events {
		if event.Kind == timeline.RequestDone {
			ends[event.Request] = event.Stamp
		}
	}
	uses := map[string][]slotUse{}
	for _, event := range events {
		if event.Kind == timeline.RequestDispatched {
			use := slotUse{dispatch: event, end: ends[event.Request]}
			uses[event.Service] = append(uses[event.Service], use)
		}
	}
	return uses
}

// overlaps reports whether the service took place within the interval. An
// interval without a start is its end alone.
func (u slotUse) overlaps(from, to hlc.Stamp) bool {
	if from == 0 {
		from = to
	}
	return u.dispatch.Stamp < to && (u.end == 0 || u.end > from)
}
