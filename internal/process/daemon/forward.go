package daemon

import (
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/journal"
)

// makeForwarder makes what answers requests that another host owns.
func (h *host) makeForwarder() flow.Forwarder {
	return flow.NewResumer(flow.ResumerConfig{
		Self:       h.self.Incarnation,
		Caller:     h.caller,
		Hosts:      h,
		Endpoints:  h.endpoints,
		Log:        journal.NewReader(h.log),
		Index:      h.index.Load,
		OtherHosts: h.requests.otherAddresses,
		Events:     flow.Events{Recorder: h.ring},
		Metrics:    h.metrics,
	})
}
