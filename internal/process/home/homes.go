package home

import "mustarddoor/internal/process/placement"

// homes is what readers see: never changed, replaced as a whole.
type homes struct {
	byEndpoint map[string]placement.Home
	unfit      []string
}

// Home gives the endpoint's home, or false if it has none. It implements
// placement.Homes and never blocks. For an endpoint whose home this host is,
// LeaseUntil may lie in the past: the host may not act as home then. It goes on
// beyond the lease while the log is out for all hosts.
func (m *Manager) Home(endpoint string) (placement.Home, bool) {
	home, found := m.homes.Load().byEndpoint[endpoint]
	return home, found
}

// Unfit lists the endpoints that do not run what the bundle wants yet, as their
// homes see them. They should get no new requests.
func (m *Manager) Unfit() []string { return m.homes.Load().unfit }

// publish makes what readers see. The lock is held.
func (m *Manager) publish() {
	next := &homes{byEndpoint: make(map[string]placement.Home, len(m.table.entries))}
	for endpoint, entry := range m.table.entries {
		if entry.Unfit {
			next.unfit = append(next.unfit, endpoint)
		}
		if !entry.Free {
			next.byEndpoint[endpoint] = m.homeOf(endpoint, entry)
		}
	}
	m.homes.Store(next)
}

// homeOf describes an endpoint's home.
func (m *Manager) homeOf(endpoint string, entry Entry) placement.Home {
	home := placement.Home{
		Host:        entry.Holder.Incarnation,
		MeshAddress: entry.Holder.MeshAddress,
		Fence:       entry.Fence,
		First:       entry.First,
	}
	if entry.Holder.Incarnation != m.options.Self.Incarnation {
		return home
	}
	home.LeaseUntil = entry.Seen
	lease, found := m.leases[endpoint]
	if !found {
		return home
	}
	home.LeaseUntil = lease.Until
	if m.holding.until.After(lease.Until) {
		home.LeaseUntil = m.holding.until
	}
	return home
}
