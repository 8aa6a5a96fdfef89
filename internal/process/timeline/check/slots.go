package check

import (
	"fmt"
	"time"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/timeline"
)

// coldPeriod is the period from the cold start of an endpoint until it is warm.
type coldPeriod struct {
	since hlc.Stamp
	limit int64
}

// withLimit returns the cold period with a new limit. A lower limit restarts
// the delay, because hosts apply it with a delay just as they do the start of
// the period.
func (p coldPeriod) withLimit(event timeline.Event) coldPeriod {
	if event.Value < p.limit {
		p.since = event.Stamp
	}
	p.limit = event.Value
	return p
}

// endpointLoad tracks the requests in flight and the cold periods of endpoints
// up to an event of the timeline.
type endpointLoad struct {
	// coldPeriods holds the current cold periods by endpoint.
	coldPeriods map[string]coldPeriod
	// running holds the keys of requests in flight by endpoint, and endpoints the
	// latest endpoint of each request.
	running   map[string]map[string]bool
	endpoints map[string]string
}

// findColdLimitViolations finds dispatches that raise the requests in flight at
// a cold endpoint above its limit.
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

// apply updates the load with an event.
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

// check returns a violation if a dispatch, which has just been applied, exceeds
// the limit of its endpoint.
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

// slotUse is the time during which a request held a slot of its service.
type slotUse struct {
	dispatch timeline.Event
	// end is when the slot was released, or zero if the timeline ends before.
	end hlc.Stamp
}

// findShedOrderViolations finds requests that were shed although a request of a
// lower tier held a slot of the same service at some time after it was
// confirmed that none did.
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

// slotUsesByService returns the slot uses by name of the service.
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

// overlaps reports whether the slot was held during the interval. An interval
// without a start consists of its end alone.
func (u slotUse) overlaps(from, to hlc.Stamp) bool {
	if from == 0 {
		from = to
	}
	return u.dispatch.Stamp < to && (u.end == 0 || u.end > from)
}
