package home

import (
	"time"

	"mustarddoor/internal/process/identity"
)

// maxEntries bounds the endpoints in a table.
const maxEntries = 16384

// Entry is what the stream says of one endpoint's home.
type Entry struct {
	Holder identity.Host
	// Fence is the offset of the claim.
	Fence uint64
	// LastOffset is the offset of the last record that changed or renewed the entry.
	LastOffset uint64
	// LeaseTTL is how long the last claim or renewal holds.
	LeaseTTL time.Duration
	// ReadAt is when this host read that record, on the monotonic clock.
	ReadAt time.Time
	// First tells that the stream, read from its beginning, names no earlier
	// home.
	First bool
	// Free tells that the holder gave the endpoint back.
	Free bool
	// Excluded tells that the endpoint does not run what the bundle wants, as far
	// as its home knows.
	Excluded bool
}

// Expiry is when the lease has surely lapsed for its holder, whatever the
// speed of the holder's clock.
func (e Entry) Expiry() time.Time {
	if e.Free {
		return e.ReadAt
	}
	return e.ReadAt.Add(e.LeaseTTL + driftMargin(e.LeaseTTL))
}

// holderExpiry is until when the holder may act on a lease that it sent a claim or
// renewal for at a time.
func holderExpiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - driftMargin(ttl))
}

// driftMargin covers clocks that run at different speeds.
func driftMargin(ttl time.Duration) time.Duration { return ttl / driftDivisor }

// driftDivisor makes the margin a fraction of the lease.
const driftDivisor = 10

// Table holds the homes that follow from a part of the stream.
type Table struct {
	// Offset is that of the last record applied.
	Offset uint64
	// Incomplete tells that there may have been homes that the table lacks.
	Incomplete bool
	entries    map[string]Entry
}

// NewTable gives a table without homes.
func NewTable() *Table { return &Table{entries: map[string]Entry{}} }

// Entry finds an endpoint's home.
func (t *Table) Entry(endpoint string) (Entry, bool) {
	entry, found := t.entries[endpoint]
	return entry, found
}

// ApplyResult tells what a record has changed.
type ApplyResult struct {
	// Changed are the endpoints whose home is another one now.
	Changed []string
	// Renewed are the endpoints whose lease goes on.
	Renewed []string
	// ExclusionChanged are the endpoints that became fit or unfit.
	ExclusionChanged []string
	// LostClaims are claims that came too late.
	LostClaims []string
}

// Apply applies the record at an offset, which this host read at the time now.
func (t *Table) Apply(offset uint64, record Record, now time.Time) ApplyResult {
	applied := ApplyResult{}
	t.Offset = offset
	entry := Entry{
		Holder:     record.Host,
		LastOffset: offset,
		LeaseTTL:   time.Duration(record.LeaseMillis) * time.Millisecond,
		ReadAt:     now,
	}
	for _, held := range record.Release {
		if t.release(held, entry) {
			applied.Changed = append(applied.Changed, held.Endpoint)
		}
	}
	for _, held := range record.Renew {
		t.renew(held, entry, &applied)
	}
	for _, endpoint := range record.Claim {
		t.claim(endpoint, record.ReadTo, entry, &applied)
	}
	return applied
}

// claim takes an endpoint over unless it changed hands after the claimant
// looked.
func (t *Table) claim(endpoint string, readTo uint64, entry Entry, applied *ApplyResult) {
	known, found := t.entries[endpoint]
	if found && known.LastOffset > readTo || !found && len(t.entries) >= maxEntries {
		applied.LostClaims = append(applied.LostClaims, endpoint)
		return
	}
	entry.Fence = entry.LastOffset
	entry.Excluded = known.Excluded
	entry.First = !found && !t.Incomplete
	t.entries[endpoint] = entry
	applied.Changed = append(applied.Changed, endpoint)
}

// renew carries a lease on. A fencing number greater than the known one is of
// a claim that this host did not read, since the log had trimmed it.
func (t *Table) renew(held LeaseRef, entry Entry, applied *ApplyResult) {
	known, found := t.entries[held.Endpoint]
	if !found && len(t.entries) >= maxEntries {
		return
	}
	entry.Fence = held.Fence
	entry.Excluded = held.Excluded
	switch {
	case !found || held.Fence > known.Fence:
		t.entries[held.Endpoint] = entry
		applied.Changed = append(applied.Changed, held.Endpoint)
	case held.Fence == known.Fence && known.Holder.Incarnation == entry.Holder.Incarnation && !known.Free:
		entry.First = known.First
		t.entries[held.Endpoint] = entry
		applied.Renewed = append(applied.Renewed, held.Endpoint)
		if known.Excluded != entry.Excluded {
			applied.ExclusionChanged = append(applied.ExclusionChanged, held.Endpoint)
		}
	}
}

// release frees an endpoint and reports whether the host was its home.
func (t *Table) release(held LeaseRef, entry Entry) bool {
	known, found := t.entries[held.Endpoint]
	if !found || known.Fence != held.Fence || known.Holder.Incarnation != entry.Holder.Incarnation {
		return false
	}
	known.Free = true
	known.LastOffset = entry.LastOffset
	known.ReadAt = entry.ReadAt
	t.entries[held.Endpoint] = known
	return true
}

// RestartAfterGap makes all leases count from now. It is for a reader that missed a part
// of the stream.
func (t *Table) RestartAfterGap(now time.Time) {
	t.Incomplete = true
	t.RestartLeases(now)
}

// RestartLeases makes all leases count from now. It is for a reader that could not
// read for a while but has missed nothing.
func (t *Table) RestartLeases(now time.Time) {
	for endpoint, entry := range t.entries {
		entry.ReadAt = now
		t.entries[endpoint] = entry
	}
}

// Evict drops the entries that have lapsed before a time and are not wanted.
func (t *Table) Evict(before time.Time, wanted func(endpoint string) bool) {
	for endpoint, entry := range t.entries {
		if !wanted(endpoint) && entry.Expiry().Before(before) {
			delete(t.entries, endpoint)
			t.Incomplete = true
		}
	}
}
