package daemon

import (
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/journal"
)

// newForwarder makes what answers requests that another host owns.
func (h *host) newForwarder() flow.Forwarder {
	return flow.NewResumer(flow.ForwardConfig{
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
