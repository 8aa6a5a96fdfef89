package daemon

import (
	"slices"

	"mustarddoor/internal/process/home"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/version/bundle"
)

// initHomes creates the manager that claims endpoints and the component that
// sends orders to claimed endpoints.
func (h *host) initHomes() error {
	h.homes = home.NewManager(home.Options{
		Self:        h.self,
		Log:         h.log,
		RecordCodec: home.NewRecordCodec(h.settings.FleetSecret),
		Members:     h.homeMembers,
		Caller:      h.meshCaller,
		Metrics:     h.metrics,
		Logger:      h.logger,
		Observe:     h.observeHome,
	})
	h.homes.Register(h.meshServer)
	h.orders = home.NewOrders(home.OrdersOptions{
		Manager: h.homes,
		Engines: h.endpoints,
		Bundle:  func() *bundle.Bundle { return h.follower.Current().Bundle },
		Metrics: h.metrics,
		Observe: h.observeOrder,
	})
	return nil
}

// homeMembers returns the hosts that may become homes, including this one.
func (h *host) homeMembers() []home.Member {
	members := []home.Member{{Host: h.self, Leaving: h.stopping.Load()}}
	for _, peer := range h.Live() {
		members = append(members, home.Member{Host: peer})
	}
	return members
}

// observeHome records the start and the end of this host's leases on the
// timeline and triggers a new placement view.
func (h *host) observeHome(change home.Change) {
	isSelf := change.Holder == h.self.Incarnation
	switch {
	case isSelf && change.Free:
		h.recordHome(timeline.HomeExpired, change)
	case isSelf:
		h.recordHome(timeline.HomeClaimed, change)
	}
	select {
	case h.reapply <- struct{}{}:
	default:
	}
}

func (h *host) recordHome(kind timeline.Kind, change home.Change) {
	h.ring.Record(timeline.Event{Kind: kind, Endpoint: change.Endpoint, Value: int64(change.Fence)})
}

// observeOrder records the result of an order on the timeline.
func (h *host) observeOrder(result home.OrderResult) {
	event := timeline.Event{
		Kind:     timeline.EndpointOrdered,
		Endpoint: result.Endpoint,
		Outcome:  timeline.OutcomeDone,
		Detail:   string(result.Order.Kind) + " " + result.Order.Value,
		Value:    int64(result.Order.FencingToken),
	}
	if result.Err != nil {
		event.Outcome = timeline.OutcomeUnknown
		event.Detail += ": " + result.Err.Error()
	}
	h.ring.Record(event)
}

// noHomeReason names a service none of whose endpoints has a home yet, so that
// its requests would wait. Once every service has had a home, it always returns
// an empty string.
func (h *host) noHomeReason() string {
	if h.allServicesHadHome.Load() {
		return ""
	}
	hasHome := map[string]bool{}
	bundle := h.index.Load().Bundle()
	for _, endpoint := range bundle.Endpoints {
		if _, found := h.homes.Home(endpoint.Name); found {
			hasHome[endpoint.Service] = true
		}
	}
	for _, service := range bundle.Services {
		if !hasHome[service.Name] {
			return "no endpoint of service " + service.Name + " has a home yet"
		}
	}
	h.allServicesHadHome.Store(true)
	return ""
}

// HomeStatus describes the home of one endpoint.
type HomeStatus struct {
	Endpoint string `json:"endpoint"`
	Home     string `json:"home"`
	Fence    uint64 `json:"fence"`
	// Held reports whether the responding host holds a valid lease.
	Held bool `json:"held"`
	// Unfit reports whether the endpoint does not run yet what the bundle
	// requires.
	Unfit bool `json:"unfit"`
}

// homeStatuses returns the homes of all endpoints of the bundle in force.
func (h *host) homeStatuses() []HomeStatus {
	statuses := []HomeStatus{}
	b := h.follower.Current().Bundle
	if b == nil {
		return statuses
	}
	unfit := h.homes.ExcludedEndpoints()
	for _, endpoint := range b.Endpoints {
		status := HomeStatus{Endpoint: endpoint.Name, Home: "-", Unfit: slices.Contains(unfit, endpoint.Name)}
		if found, ok := h.homes.Home(endpoint.Name); ok {
			status.Home = found.Host.String()
			status.Fence = found.Fence
		}
		_, status.Held = h.homes.Lease(endpoint.Name)
		statuses = append(statuses, status)
	}
	return statuses
}
