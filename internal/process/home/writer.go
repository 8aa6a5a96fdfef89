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

// Times and bounds of writing the stream.
const (
	planInterval   = 250 * time.Millisecond
	maxSendTimes   = 64
	maxLoadWaiters = 64
)

// ErrNoLoadReservation is returned if a load from the weight store could not be
// scheduled.
var ErrNoLoadReservation = eris.New("no load from the weight store could be reserved")

// writeStream claims, renews and releases homes until the context ends.
func (m *Manager) writeStream(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.planSignal:
		case <-ticker.C:
		}
		if record, found := m.nextRecord(); found {
			// The next plan replaces a record whose append failed.
			_ = m.appendRecord(ctx, newRecordID(), record)
		}
	}
}

// nextRecord returns the record that this host should write now, if any.
// Nothing is written unless the log has been read to its tail, so homes don't
// change during an outage.
func (m *Manager) nextRecord() (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reader.atTail || m.table.Offset < m.writtenOffset {
		return Record{}, false
	}
	input := m.planInput()
	m.evictRemoved(input)
	actions := Plan(input)
	if !m.isRenewalDue(input) {
		actions.Renew = nil
	}
	if m.reader.appendFailed {
		actions.Claim = nil
	}
	if actions.IsEmpty() {
		return Record{}, false
	}
	if len(actions.Renew) > 0 {
		m.renewedAt = input.Now
	}
	m.dropReleasedLeases(actions.Release)
	return Record{
		Host:        m.recordHost(),
		LeaseMillis: input.LeaseTTL.Milliseconds(),
		ReadTo:      m.table.Offset,
		Claim:       actions.Claim,
		Renew:       m.withExclusions(actions.Renew),
		Release:     actions.Release,
	}, true
}

// recordHost returns this host as it appears in its records. It has only the
// fields that readers need, since every record carries it.
func (m *Manager) recordHost() identity.Host {
	return identity.Host{Incarnation: m.options.Self.Incarnation, MeshAddress: m.options.Self.MeshAddress}
}

// planInput returns the input of the next plan. The caller holds m.mu.
func (m *Manager) planInput() PlanInput {
	now := time.Now()
	m.members.update(withSelf(m.options.Members(), m.options.Self, m.leaving), now)
	return PlanInput{
		Self:             m.options.Self,
		Leaving:          m.leaving,
		Members:          m.members.members,
		MembersChangedAt: m.members.changedAt,
		Endpoints:        m.endpoints,
		Table:            m.table,
		GapAt:            m.reader.gapAt,
		LeaseTTL:         LeaseTTL(len(m.members.members)),
		Released:         m.released,
		Now:              now,
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

// update sets the members and records when the set changed.
func (s *memberSet) update(members []Member, now time.Time) {
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
		s.changedAt = now
	}
}

// evictRemoved drops the table's entries of endpoints that were removed from
// the bundle and whose leases expired long ago.
func (m *Manager) evictRemoved(input PlanInput) {
	if len(m.table.entries) <= len(input.Endpoints) {
		return
	}
	wanted := map[string]bool{}
	for _, endpoint := range input.Endpoints {
		wanted[endpoint] = true
	}
	m.table.Evict(input.Now.Add(-maxLeaseTTL), func(endpoint string) bool { return wanted[endpoint] })
}

// isRenewalDue reports whether the leases should be renewed now.
func (m *Manager) isRenewalDue(input PlanInput) bool {
	return input.Now.Sub(m.renewedAt) >= input.LeaseTTL/renewalsPerTTL
}

// dropReleasedLeases drops this host's leases before their release is written.
// Orders in flight end within orderTimeout; the next home of an endpoint that
// ignores fencing tokens waits for that time.
func (m *Manager) dropReleasedLeases(released []LeaseRef) {
	for _, held := range released {
		delete(m.leases, held.Endpoint)
		m.released[held.Endpoint] = held.Fence
	}
	if len(released) > 0 {
		m.publish()
	}
}

// withExclusions sets in each renewal whether the endpoint is excluded.
func (m *Manager) withExclusions(renewals []LeaseRef) []LeaseRef {
	for i := range renewals {
		renewals[i].Excluded = m.excluded[renewals[i].Endpoint]
	}
	return renewals
}

// appendRecord appends a record. It takes effect once it is read back.
func (m *Manager) appendRecord(ctx context.Context, id string, record Record) error {
	m.recordSendTime(id)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(record.LeaseMillis)*time.Millisecond)
	defer cancel()
	offset, err := m.options.Log.Append(ctx, platform.Batch{
		Stream:  platform.StreamHomes,
		Records: []platform.AppendRecord{{ID: id, Data: m.options.RecordCodec.Encode(record)}},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.metrics.appendErrors.Inc(1)
		m.reader.appendFailed = true
		m.renewedAt = time.Time{}
		return err
	}
	m.metrics.appended.Inc(1)
	m.writtenOffset = max(m.writtenOffset, offset)
	return nil
}

// recordSendTime records the time before a record is sent.
func (m *Manager) recordSendTime(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.sendTimes[id] = now
	if len(m.sendTimes) <= maxSendTimes {
		return
	}
	for other, sent := range m.sendTimes {
		if now.Sub(sent) > maxLeaseTTL {
			delete(m.sendTimes, other)
		}
	}
}

// WaitForLoad waits until this host may load from the weight store at the
// fleet-wide rate. It fails with ErrNoLoadReservation if the append fails or
// the context ends.
func (m *Manager) WaitForLoad(ctx context.Context, loadsPerMinute float64) error {
	id := newRecordID()
	reserved, err := m.addLoadWaiter(id)
	if err != nil {
		return err
	}
	defer m.removeLoadWaiter(id)
	record := Record{
		Host:        m.recordHost(),
		LeaseMillis: minLeaseTTL.Milliseconds(),
		Load:        &LoadReservation{PerMinute: loadsPerMinute},
	}
	if err := m.appendRecord(ctx, id, record); err != nil {
		return eris.Wrap(ErrNoLoadReservation, err.Error())
	}
	select {
	case <-ctx.Done():
		return eris.Wrap(ErrNoLoadReservation, ctx.Err().Error())
	case wait := <-reserved:
		if !pause.For(ctx, wait) {
			return eris.Wrap(ErrNoLoadReservation, ctx.Err().Error())
		}
	}
	return nil
}

func (m *Manager) addLoadWaiter(id string) (<-chan time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.loadWaiters) >= maxLoadWaiters {
		return nil, eris.Wrapf(ErrNoLoadReservation, "%d loads are waiting already", maxLoadWaiters)
	}
	reserved := make(chan time.Duration, 1)
	m.loadWaiters[id] = reserved
	return reserved, nil
}

func (m *Manager) removeLoadWaiter(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.loadWaiters, id)
}
