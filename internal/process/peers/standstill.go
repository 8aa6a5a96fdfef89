package peers

import "time"

// MarkAllOutdated records that this process did not run for some time, so that the other
// hosts may have used more than they have reported.
func (m *Membership) MarkAllOutdated() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.isOutdated = true
	}
}

// MarkAllUnreachable marks all hosts as unreachable, after this process was
// suspended for long. They still share the limits.
func (m *Membership) MarkAllUnreachable(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if before := now.Add(-idleTimeout); p.receivedAt.After(before) {
			p.receivedAt = before
		}
	}
}
