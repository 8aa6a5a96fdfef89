package home

import "mustarddoor/internal/process/placement"

// homesSnapshot is the state that readers load without a lock. It is immutable
// and replaced as a whole.
type homesSnapshot struct {
	byEndpoint map[string]placement.Home
	excluded   []string
}

// Home returns the endpoint's home, or false if it has none. It implements
// placement.Homes and never blocks. If this host is the home, LeaseUntil may
// lie in the past; the host must not act as home then. While the log is
// unavailable to all hosts, LeaseUntil extends beyond the lease.
func (m *Manager) Home(endpoint string) (placement.Home, bool) {
	home, found := m.homes.Load().byEndpoint[endpoint]
	return home, found
}

// ExcludedEndpoints lists the endpoints that don't run what the bundle
// specifies yet, as reported by their homes. They should get no new requests.
func (m *Manager) ExcludedEndpoints() []string { return m.homes.Load().excluded }

// publish replaces the snapshot that readers load. The caller holds m.mu.
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

// homeOf converts a table entry to the home that readers see.
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
