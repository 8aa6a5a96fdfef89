package daemon

import (
	"slices"

	"mustarddoor/internal/process/home"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/version/bundle"
)

// makeHomes makes what claims endpoints and gives them orders.
func (h *host) makeHomes() error {
	h.homes = home.NewManager(home.Options{
		Self:    h.self,
		Log:     h.log,
		Sealer:  home.NewSealer(h.settings.FleetSecret),
		Members: h.homeMembers,
		Caller:  h.caller,
		Metrics: h.metrics,
		Logger:  h.logger,
		Observe: h.observeHome,
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

// homeMembers are the hosts that may be homes, with this one.
func (h *host) homeMembers() []home.Member {
	members := []home.Member{{Host: h.self, Leaving: h.stopping.Load()}}
	for _, peer := range h.Live() {
		members = append(members, home.Member{Host: peer})
	}
	return members
}

// observeHome puts the begin and end of this host's leases on the time line.
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

// observeOrder puts an order on the time line.
func (h *host) observeOrder(result home.OrderResult) {
	event := timeline.Event{
		Kind:     timeline.EndpointOrdered,
		Endpoint: result.Endpoint,
		Outcome:  timeline.OutcomeDone,
		Detail:   string(result.Order.Kind) + " " + result.Order.Value,
		Value:    int64(result.Order.Fence),
	}
	if result.Err != nil {
		event.Outcome = timeline.OutcomeUnknown
		event.Detail += ": " + result.Err.Error()
	}
	h.ring.Record(event)
}

// missingHome tells of a service none of whose endpoints has a home yet, so that
// its requests would wait. It is empty once all services have had a home.
func (h *host) missingHome() string {
	if h.served.Load() {
		return ""
	}
	served := map[string]bool{}
	bundle := h.index.Load().Bundle()
	for _, endpoint := range bundle.Endpoints {
		if _, found := h.homes.Home(endpoint.Name); found {
			served[endpoint.Service] = true
		}
	}
	for _, service := range bundle.Services {
		if !served[service.Name] {
			return "no endpoint of service " + service.Name + " has a home yet"
		}
	}
	h.served.Store(true)
	return ""
}

// HomeStatus tells which host is an endpoint's home.
type HomeStatus struct {
	Endpoint string `json:"endpoint"`
	Home     string `json:"home"`
	Fence    uint64 `json:"fence"`
	// Held tells that the answering host holds a lease that is valid now.
	Held bool `json:"held"`
	// Unfit tells that the endpoint does not run what the bundle wants yet.
	Unfit bool `json:"unfit"`
}

// homeStatuses tells the homes of the endpoints in force.
func (h *host) homeStatuses() []HomeStatus {
	statuses := []HomeStatus{}
	b := h.follower.Current().Bundle
	if b == nil {
		return statuses
	}
	unfit := h.homes.Unfit()
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
