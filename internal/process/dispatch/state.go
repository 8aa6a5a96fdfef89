package dispatch

import (
	"slices"
	"strings"
	"time"

	"mustarddoor/internal/process/fleet"
)

// EndpointState describes an endpoint as this host sees it, for the admin
// interface.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Version  string `json:"version"`
	Address  string `json:"address"`
	// Usable is set if the endpoint accepts requests at all, Blocked if it gets
	// none at present.
	Usable bool `json:"usable"`
	// OutOfReach is set if this host could not connect to the endpoint lately.
	OutOfReach bool `json:"out_of_reach"`
	Blocked    bool `json:"blocked"`
	Cold       bool `json:"cold"`
	// Busy counts the slots used by all hosts, OwnBusy those used by this host.
	Busy    int `json:"busy"`
	OwnBusy int `json:"own"`
	Slots   int `json:"slots"`
	// PendingTokens counts prompt tokens that await prefill, InterTokenMicros
	// is the inter-token latency in microseconds.
	PendingTokens    int   `json:"pending_tokens"`
	InterTokenMicros int64 `json:"step_us"`
	// RateLimit is the number of requests a second that the endpoint accepts from
	// all hosts together; absent if it names no limit.
	RateLimit           *float64 `json:"rate_limit,omitempty"`
	FailureRate         float64  `json:"failed_share"`
	ConsecutiveFailures int      `json:"failures_in_row"`
}

// EndpointStates returns the state of all endpoints, sorted by service and ID.
func (d *Dispatcher) EndpointStates() []EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	states := []EndpointState{}
	d.fleet.All(func(e *fleet.Endpoint) {
		c := e.Candidate(now, d.fleet.MedianFailureRate(e.Service), d.domain)
		state := EndpointState{
			Endpoint: e.ID, Service: e.Service, Domain: e.Domain, Version: e.Version, Address: e.Address,
			Usable: d.fleet.IsUsable(e), OutOfReach: d.isOutOfReach(e), Blocked: c.Blocked || d.isOutOfReach(e), Cold: e.IsCold(now),
			Busy: c.Busy, OwnBusy: e.OwnLoad().Running, Slots: c.Slots,
			PendingTokens: int(c.PendingTokens), InterTokenMicros: c.InterTokenLatency.Microseconds(),
		}
		if limit := e.RateLimit(); limit.IsNamed {
			state.RateLimit = &limit.PerSecond
		}
		state.FailureRate, state.ConsecutiveFailures = e.FailureStats()
		states = append(states, state)
	})
	slices.SortFunc(states, func(a, b EndpointState) int {
		return strings.Compare(a.Service+" "+a.Endpoint, b.Service+" "+b.Endpoint)
	})
	return states
}
