package home

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/pause"
)

// Times and bounds of keeping homes.
const (
	planInterval = 250 * time.Millisecond
	maxSent      = 64
	maxTurns     = 64
)

// ErrNoTurn is returned when a turn at the weight store could not be had.
var ErrNoTurn = eris.New("no turn at the weight store")

// keep claims, renews and gives back until the context ends.
func (m *Manager) keep(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.work:
		case <-ticker.C:
		}
		if record, found := m.next(); found {
			// A record that was not appended is made anew by the next plan.
			_ = m.send(ctx, newRecordID(), record)
		}
	}
}

// next gives the record that this host should write now, if any. While the log
// cannot be read to its tail, nothing is written: homes do not change then.
func (m *Manager) next() (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reading.atTail || m.table.Offset < m.written {
		return Record{}, false
	}
	snapshot := m.snapshot()
	m.forget(snapshot)
	actions := Plan(snapshot)
	if !m.isRenewalDue(snapshot) {
		actions.Renew = nil
	}
	if m.reading.appendFailed {
		actions.Claim = nil
	}
	if actions.IsEmpty() {
		return Record{}, false
	}
	if len(actions.Renew) > 0 {
		m.renewedAt = snapshot.Now
	}
	m.stopUse(actions.Release)
	return Record{
		Host:        m.signature(),
		LeaseMillis: snapshot.Lease.Milliseconds(),
		ReadTo:      m.table.Offset,
		Claim:       actions.Claim,
		Renew:       m.withFitness(actions.Renew),
		Release:     actions.Release,
	}, true
}

// signature is what records say of this host; it stands in every one of them.
func (m *Manager) signature() identity.Host {
	return identity.Host{Incarnation: m.options.Self.Incarnation, MeshAddress: m.options.Self.MeshAddress}
}

// snapshot gives what a plan depends on. The lock is held.
func (m *Manager) snapshot() Snapshot {
	now := time.Now()
	m.members.update(withSelf(m.options.Members(), m.options.Self, m.leaving), now)
	return Snapshot{
		Self:         m.options.Self,
		Leaving:      m.leaving,
		Members:      m.members.members,
		MembersSince: m.members.since,
		Endpoints:    m.endpoints,
		Table:        m.table,
		UnseenSince:  m.reading.unseenSince,
		Lease:        LeaseFor(len(m.members.members)),
		Released:     m.released,
		Now:          now,
	}
}

// withSelf adds this host to the members if it is not among them.
func withSelf(members []Member, self identity.Host, leaving bool) []Member {
	for _, member := range members {
		if member.Host.Host == self.Host {
			return members
		}
	}
	return append(slices.Clone(members), Member{Host: self, Leaving: leaving})
}

// update takes in the live hosts.
func (s *membersState) update(members []Member, now time.Time) {
	names := []string{}
	for _, member := range members {
		name := member.Host.String()
		if member.Leaving {
			name += " leaving"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	s.members = members
	if joined := strings.Join(names, ","); joined != s.names {
		s.names = joined
		s.since = now
	}
}

// forget drops what the table holds of endpoints that are long gone.
func (m *Manager) forget(s Snapshot) {
	if len(m.table.entries) <= len(s.Endpoints) {
		return
	}
	wanted := map[string]bool{}
	for _, endpoint := range s.Endpoints {
		wanted[endpoint] = true
	}
	m.table.Forget(s.Now.Add(-maxLease), func(endpoint string) bool { return wanted[endpoint] })
}

// isRenewalDue reports whether the leases should be renewed now.
func (m *Manager) isRenewalDue(s Snapshot) bool {
	return s.Now.Sub(m.renewedAt) >= s.Lease/renewalsPerLease
}

// stopUse ends this host's leases before it gives them back. Its orders end
// within the order timeout, for which a new home of an endpoint that ignores
// fencing numbers waits.
func (m *Manager) stopUse(released []Held) {
	for _, held := range released {
		delete(m.leases, held.Endpoint)
		m.released[held.Endpoint] = held.Fence
	}
	if len(released) > 0 {
		m.publish()
	}
}

// withFitness adds to renewals what this host knows of the endpoints.
func (m *Manager) withFitness(renewals []Held) []Held {
	for i := range renewals {
		renewals[i].Unfit = m.unfit[renewals[i].Endpoint]
	}
	return renewals
}

// send appends a record. Its effect shows when it is read back.
func (m *Manager) send(ctx context.Context, id string, record Record) error {
	m.noteSent(id)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(record.LeaseMillis)*time.Millisecond)
	defer cancel()
	offset, err := m.options.Log.Append(ctx, platform.Batch{
		Stream:  platform.StreamHomes,
		Records: []platform.AppendRecord{{ID: id, Data: m.options.Sealer.Encode(record)}},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.metrics.appendFail.Inc(1)
		m.reading.appendFailed = true
		m.renewedAt = time.Time{}
		return err
	}
	m.metrics.appended.Inc(1)
	m.written = max(m.written, offset)
	return nil
}

// noteSent notes the time before a record is sent.
func (m *Manager) noteSent(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.sent[id] = now
	if len(m.sent) <= maxSent {
		return
	}
	for other, sent := range m.sent {
		if now.Sub(sent) > maxLease {
			delete(m.sent, other)
		}
	}
}

// Turn waits for a turn at the weight store, at the fleet's pace. It fails with
// ErrNoTurn if the log or the context ends it.
func (m *Manager) Turn(ctx context.Context, perMinute float64) error {
	id := newRecordID()
	given, err := m.askTurn(id)
	if err != nil {
		return err
	}
	defer m.endTurn(id)
	record := Record{
		Host:        m.signature(),
		LeaseMillis: minLease.Milliseconds(),
		Load:        &LoadTurn{PerMinute: perMinute},
	}
	if err := m.send(ctx, id, record); err != nil {
		return eris.Wrap(ErrNoTurn, err.Error())
	}
	select {
	case <-ctx.Done():
		return eris.Wrap(ErrNoTurn, ctx.Err().Error())
	case wait := <-given:
		if !pause.For(ctx, wait) {
			return eris.Wrap(ErrNoTurn, ctx.Err().Error())
		}
	}
	return nil
}

func (m *Manager) askTurn(id string) (<-chan time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.turns) >= maxTurns {
		return nil, eris.Wrapf(ErrNoTurn, "%d turns wait", maxTurns)
	}
	given := make(chan time.Duration, 1)
	m.turns[id] = given
	return given, nil
}

func (m *Manager) endTurn(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.turns, id)
}
