package home

import (
	"context"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/pause"
)

// Times of reading the stream.
const (
	longPollTimeout = 3 * time.Second
	emptyPageDelay  = 50 * time.Millisecond
	readBackoff     = 500 * time.Millisecond
)

// readStream reads the stream until the context ends.
func (m *Manager) readStream(ctx context.Context) error {
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
			m.markReadFailed()
			wait = 0
			pause.For(ctx, readBackoff)
		case page.Trimmed:
			m.skipTrimmed(page.FirstOffset)
			wait = 0
		default:
			wait = m.applyPage(ctx, page)
		}
	}
	return nil
}

func (m *Manager) offset() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Offset
}

// markReadFailed records that this host may not know the newest records.
func (m *Manager) markReadFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reader.atTail = false
}

// skipTrimmed continues after trimmed records. They may have claimed or renewed
// leases, so all leases are assumed to start now.
func (m *Manager) skipTrimmed(first uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.metrics.gaps.Inc(1)
	m.reader = readerState{gapAt: time.Now()}
	m.table.RestartAfterGap(time.Now())
	m.table.Offset = first - 1
}

// applyPage applies a page and returns how long the next read may wait for
// records.
func (m *Manager) applyPage(ctx context.Context, page platform.Page) time.Duration {
	for _, entry := range page.Records {
		m.applyRecord(entry)
	}
	isTail := m.offset()+1 >= page.NextOffset
	m.mu.Lock()
	hasRecovered := isTail && (!m.reader.atTail || m.reader.appendFailed)
	m.reader.atTail = isTail
	m.mu.Unlock()
	if !isTail {
		return 0
	}
	if hasRecovered {
		m.recoverFromOutage()
	}
	if len(page.Records) == 0 {
		pause.For(ctx, emptyPageDelay)
	}
	return longPollTimeout
}

// recoverFromOutage resumes after an outage of the log. It restarts all leases,
// so that holders that retained homes during the outage can renew them before
// another host may claim them.
func (m *Manager) recoverFromOutage() {
	m.mu.Lock()
	m.table.RestartLeases(time.Now())
	m.reader.appendFailed = false
	m.renewedAt = time.Time{}
	m.outage.retainedUntil = time.Time{}
	m.mu.Unlock()
	m.requestPlan()
}

// applyRecord applies one record of the stream.
func (m *Manager) applyRecord(entry platform.Record) {
	record, err := m.options.RecordCodec.Decode(entry.Data)
	if err != nil {
		m.metrics.recordsRefused.Inc(1)
		m.mu.Lock()
		m.table.Offset = entry.Offset
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	applied := m.table.Apply(entry.Offset, record, time.Now())
	isOwn := record.Host.Incarnation == m.options.Self.Incarnation
	if isOwn {
		m.confirmLeases(entry.ID, record, applied)
	}
	m.dropLostLeases(applied.Changed)
	if record.Load != nil {
		m.reserveLoad(entry, *record.Load)
	}
	if isOwn || len(applied.Changed) > 0 || len(applied.ExclusionChanged) > 0 {
		m.publish()
	}
	changes := m.changesOf(append(applied.Changed, applied.ExclusionChanged...))
	m.metrics.held.Update(int64(len(m.leases)))
	m.mu.Unlock()
	for _, change := range changes {
		m.options.Observe(change)
	}
	if len(applied.Changed) > 0 {
		m.requestPlan()
	}
}

// confirmLeases extends this host's leases after it has read back one of its
// own records. Leases count from the time before the record was sent.
func (m *Manager) confirmLeases(id string, record Record, applied ApplyResult) {
	m.metrics.claimsLost.Inc(int64(len(applied.LostClaims)))
	sent, found := m.sendTimes[id]
	if !found || m.leaving {
		return
	}
	delete(m.sendTimes, id)
	until := holderExpiry(sent, time.Duration(record.LeaseMillis)*time.Millisecond)
	for _, endpoint := range append(applied.Changed, applied.Renewed...) {
		entry, _ := m.table.Entry(endpoint)
		if entry.Free || m.released[endpoint] == entry.Fence {
			continue
		}
		lease := m.leases[endpoint]
		if lease.Fence != entry.Fence {
			lease = Lease{Fence: entry.Fence, Since: time.Now()}
			m.inheritExclusion(endpoint, entry)
		}
		lease.Until = until
		m.leases[endpoint] = lease
	}
}

// inheritExclusion keeps an endpoint excluded if its previous home had excluded
// it.
func (m *Manager) inheritExclusion(endpoint string, entry Entry) {
	if entry.Excluded {
		m.excluded[endpoint] = true
	}
}

// dropLostLeases drops this host's leases on endpoints that now have another
// home.
func (m *Manager) dropLostLeases(changed []string) {
	for _, endpoint := range changed {
		entry, _ := m.table.Entry(endpoint)
		if entry.Free || entry.Holder.Incarnation != m.options.Self.Incarnation {
			delete(m.leases, endpoint)
			delete(m.excluded, endpoint)
			delete(m.released, endpoint)
		}
	}
}

// reserveLoad schedules a load from the weight store and notifies the waiter if
// the reservation is this host's own.
func (m *Manager) reserveLoad(entry platform.Record, reservation LoadReservation) {
	delay := m.loadLimiter.Reserve(entry.AppendedMillis, reservation)
	if waiter, found := m.loadWaiters[entry.ID]; found {
		waiter <- delay
		delete(m.loadWaiters, entry.ID)
	}
}

// changesOf returns a Change with the current home of each endpoint.
func (m *Manager) changesOf(endpoints []string) []Change {
	changes := []Change{}
	for _, endpoint := range endpoints {
		entry, _ := m.table.Entry(endpoint)
		changes = append(changes, Change{
			Endpoint: endpoint,
			Holder:   entry.Holder.Incarnation,
			Fence:    entry.Fence,
			Free:     entry.Free,
			Excluded: entry.Excluded,
		})
	}
	return changes
}
