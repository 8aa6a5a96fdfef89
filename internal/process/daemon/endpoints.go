package daemon

import (
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/version/bundle"
)

// recordEndpoints records on the timeline which endpoints a new bundle removes
// and adds. Before is nil for the first bundle.
func (h *host) recordEndpoints(before, after *bundle.Index, version uint64) {
	if before == nil {
		return
	}
	h.recordDifference(timeline.EndpointLeaving, before, after, version)
	h.recordDifference(timeline.EndpointJoined, after, before, version)
}

// recordDifference records an event for each endpoint of from that other does
// not have.
func (h *host) recordDifference(kind timeline.Kind, from, other *bundle.Index, version uint64) {
	for _, endpoint := range from.Bundle().Endpoints {
		if _, found := other.Endpoint(endpoint.Name); found {
			continue
		}
		h.ring.Record(timeline.Event{
			Kind:     kind,
			Endpoint: endpoint.Name,
			Service:  endpoint.Service,
			Domain:   endpoint.Domain,
			Version:  endpoint.Version,
			Value:    int64(version),
		})
	}
}
