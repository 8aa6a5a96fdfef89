package daemon

import (
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/journal"
)

// newForwarder returns the forwarder that resolves requests owned by other
// hosts.
func (h *host) newForwarder() flow.Forwarder {
	return flow.NewResumer(flow.ResumerConfig{
		Self:       h.self.Incarnation,
		Caller:     h.meshCaller,
		Hosts:      h,
		Endpoints:  h.endpoints,
		Log:        journal.NewReader(h.log),
		Index:      h.index.Load,
		OtherHosts: h.requests.otherAddresses,
		Events:     flow.Events{Recorder: h.ring},
		Metrics:    h.metrics,
	})
}
