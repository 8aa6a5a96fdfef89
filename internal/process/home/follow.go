package home

import (
	"context"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/pause"
)

// Times of reading the stream.
const (
	longPoll    = 3 * time.Second
	emptyPause  = 50 * time.Millisecond
	readBackoff = 500 * time.Millisecond
)

// follow reads the stream until the context ends.
func (m *Manager) follow(ctx context.Context) error {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := m.options.Log.Read(ctx, platform.Range{
			Stream:     platform.StreamHomes,
			From:       m.offset() + 1,
			MaxRecords: platform.MaxPageRecords,
			Wait:       wait,
		})
		switch {
		case err != nil:
			m.readFailed()
			wait = 0
			pause.For(ctx, readBackoff)
		case page.Trimmed:
			m.skip(page.FirstOffset)
			wait = 0
		default:
			wait = m.take(ctx, page)
		}
	}
	return nil
}

func (m *Manager) offset() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Offset
}

// readFailed notes that this host may not know the newest records.
func (m *Manager) readFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.atTail = false
}

// skip goes on after records that are gone. Whoever claimed or renewed in them
// may hold a lease from now on at the latest.
func (m *Manager) skip(first uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.metrics.gaps.Inc(1)
	m.reading = readingState{unseenSince: time.Now()}
	m.table.Touch(time.Now())
	m.table.Offset = first - 1
}

// take applies a page and returns how long the next read may wait.
func (m *Manager) take(ctx context.Context, page platform.Page) time.Duration {
	for _, entry := range page.Records {
		m.apply(entry)
	}
	isTail := m.offset()+1 >= page.NextOffset
	m.mu.Lock()
	isBack := isTail && (!m.reading.atTail || m.reading.appendFailed)
	m.reading.atTail = isTail
	m.mu.Unlock()
	if !isTail {
		return 0
	}
	if isBack {
		m.regain()
	}
	if len(page.Records) == 0 {
		pause.For(ctx, emptyPause)
	}
	return longPoll
}

// regain goes on after an outage. All leases count anew, so that those who held
// homes through the outage renew them before anyone may claim them.
func (m *Manager) regain() {
	m.mu.Lock()
	m.table.Refresh(time.Now())
	m.reading.appendFailed = false
	m.renewedAt = time.Time{}
	m.holding.until = time.Time{}
	m.mu.Unlock()
	m.wake()
}

// apply applies one record of the stream.
func (m *Manager) apply(entry platform.Record) {
	record, err := m.options.Sealer.Decode(entry.Data)
	if err != nil {
		m.metrics.refused.Inc(1)
		m.mu.Lock()
		m.table.Offset = entry.Offset
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	applied := m.table.Apply(entry.Offset, record, time.Now())
	isOwn := record.Host.Incarnation == m.options.Self.Incarnation
	if isOwn {
		m.confirm(entry.ID, record, applied)
	}
	m.dropLost(applied.Changed)
	if record.Load != nil {
		m.giveTurn(entry, *record.Load)
	}
	if isOwn || len(applied.Changed) > 0 || len(applied.Fitness) > 0 {
		m.publish()
	}
	changes := m.changesOf(append(applied.Changed, applied.Fitness...))
	m.metrics.held.Update(int64(len(m.leases)))
	m.mu.Unlock()
	for _, change := range changes {
		m.options.Observe(change)
	}
	if len(applied.Changed) > 0 {
		m.wake()
	}
}

// confirm extends this host's leases by a record of its own that stands. They
// count from before the record was sent.
func (m *Manager) confirm(id string, record Record, applied Applied) {
	m.metrics.lost.Inc(int64(len(applied.Lost)))
	sent, found := m.sent[id]
	if !found || m.leaving {
		return
	}
	delete(m.sent, id)
	until := heldUntil(sent, time.Duration(record.LeaseMillis)*time.Millisecond)
	for _, endpoint := range append(applied.Changed, applied.Renewed...) {
		entry, _ := m.table.Entry(endpoint)
		if entry.Free || m.released[endpoint] == entry.Fence {
			continue
		}
		lease := m.leases[endpoint]
		if lease.Fence != entry.Fence {
			lease = Lease{Fence: entry.Fence, Since: time.Now()}
			m.inheritFitness(endpoint, entry)
		}
		lease.Until = until
		m.leases[endpoint] = lease
	}
}

// inheritFitness keeps an endpoint out of service that its last home had taken
// out.
func (m *Manager) inheritFitness(endpoint string, entry Entry) {
	if entry.Unfit {
		m.unfit[endpoint] = true
	}
}

// dropLost drops this host's leases on endpoints that have another home now.
func (m *Manager) dropLost(changed []string) {
	for _, endpoint := range changed {
		entry, _ := m.table.Entry(endpoint)
		if entry.Free || entry.Holder.Incarnation != m.options.Self.Incarnation {
			delete(m.leases, endpoint)
			delete(m.unfit, endpoint)
			delete(m.released, endpoint)
		}
	}
}

// giveTurn counts a turn at the weight store and tells this host's own one to
// who waits for it.
func (m *Manager) giveTurn(entry platform.Record, turn LoadTurn) {
	wait := m.pace.Turn(entry.AppendedMillis, turn)
	if waiter, found := m.turns[entry.ID]; found {
		waiter <- wait
		delete(m.turns, entry.ID)
	}
}

// changesOf describes the homes of endpoints.
func (m *Manager) changesOf(endpoints []string) []Change {
	changes := []Change{}
	for _, endpoint := range endpoints {
		entry, _ := m.table.Entry(endpoint)
		changes = append(changes, Change{
			Endpoint: endpoint,
			Holder:   entry.Holder.Incarnation,
			Fence:    entry.Fence,
			Free:     entry.Free,
			Unfit:    entry.Unfit,
		})
	}
	return changes
}
