package daemon

import (
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/timeline"
)

// observeLimit records on the timeline the endpoint limits that this host sets
// as a home.
func (h *host) observeLimit(change placement.LimitChange) {
	h.ring.Record(timeline.Event{
		Kind:     limitKind(change),
		Endpoint: change.Endpoint,
		Value:    int64(change.Limit),
	})
}

func limitKind(change placement.LimitChange) timeline.Kind {
	switch {
	case change.Limit >= change.Max:
		return timeline.EndpointWarm
	case change.IsTransitionToCold():
		return timeline.EndpointCold
	default:
		return timeline.EndpointLimit
	}
}
