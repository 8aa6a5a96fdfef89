package home

import "mustarddoor/internal/process/placement"

// homesSnapshot is what readers see: never changed, replaced as a whole.
type homesSnapshot struct {
	byEndpoint map[string]placement.Home
	excluded   []string
}

// Home gives the endpoint's home, or false if it has none. It implements
// placement.Homes and never blocks. For an endpoint whose home this host is,
// LeaseUntil may lie in the past: the host may not act as home then. It goes on
// beyond the lease while the log is out for all hosts.
func (m *Manager) Home(endpoint string) (placement.Home, bool) {
	home, found := m.homes.Load().byEndpoint[endpoint]
	return home, found
}

// ExcludedEndpoints lists the endpoints that do not run what the bundle wants yet, as their
// homes see them. They should get no new requests.
func (m *Manager) ExcludedEndpoints() []string { return m.homes.Load().excluded }

// publish makes what readers see. The lock is held.
func (m *Manager) publish() {
	next := &homesSnapshot{byEndpoint: make(map[string]placement.Home, len(m.table.entries))}
	for endpoint, entry := range m.table.entries {
		if entry.Excluded {
			next.excluded = append(next.excluded, endpoint)
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
	home.LeaseUntil = entry.ReadAt
	lease, found := m.leases[endpoint]
	if !found {
		return home
	}
	home.LeaseUntil = lease.Until
	if m.outage.retainedUntil.After(lease.Until) {
		home.LeaseUntil = m.outage.retainedUntil
	}
	return home
}
