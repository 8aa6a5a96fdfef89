package home

import (
	"time"

	"mustarddoor/internal/process/identity"
)

// maxEntries is the maximum number of endpoints in a table.
const maxEntries = 16384

// Entry is the state of one endpoint's home according to the stream.
type Entry struct {
	Holder identity.Host
	// Fence is the fencing token: the offset of the claim.
	Fence uint64
	// LastOffset is the offset of the last record that changed or renewed the
	// entry.
	LastOffset uint64
	// LeaseTTL is the TTL of the last claim or renewal.
	LeaseTTL time.Duration
	// ReadAt is when this host read that record, on the monotonic clock.
	ReadAt time.Time
	// First is set if the stream, read from its beginning, has no earlier home
	// of the endpoint.
	First bool
	// Free is set if the holder released the endpoint.
	Free bool
	// Excluded is set while the endpoint doesn't run what the bundle specifies,
	// as reported by its home.
	Excluded bool
}

// Expiry returns the time at which the lease has expired for its holder,
// whatever the speed of the holder's clock.
func (e Entry) Expiry() time.Time {
	if e.Free {
		return e.ReadAt
	}
	return e.ReadAt.Add(e.LeaseTTL + driftMargin(e.LeaseTTL))
}

// holderExpiry returns the time until which the holder may act on a lease whose
// claim or renewal it sent at the given time.
func holderExpiry(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - driftMargin(ttl))
}

// driftMargin returns the safety margin for clocks that run at different
// speeds.
func driftMargin(ttl time.Duration) time.Duration { return ttl / driftDivisor }

// driftDivisor makes the margin a tenth of the lease's TTL.
const driftDivisor = 10

// Table holds the homes that result from the records read so far.
type Table struct {
	// Offset is the offset of the last record applied.
	Offset uint64
	// Incomplete is set if the stream may have had homes that the table lacks.
	Incomplete bool
	entries    map[string]Entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]Entry{}} }

// Entry returns the entry of an endpoint.
func (t *Table) Entry(endpoint string) (Entry, bool) {
	entry, found := t.entries[endpoint]
	return entry, found
}

// ApplyResult lists the changes made by one record.
type ApplyResult struct {
	// Changed lists the endpoints whose home changed.
	Changed []string
	// Renewed lists the endpoints whose lease was extended.
	Renewed []string
	// ExclusionChanged lists the endpoints that became excluded or no longer
	// are.
	ExclusionChanged []string
	// LostClaims lists the endpoints whose claim failed because another record
	// came first.
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

// claim makes the record's host the home, unless the entry changed after the
// offset up to which the claimant had read.
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

// renew extends a lease. A fencing token greater than the known one belongs to
// a claim that this host did not read because the log had trimmed it.
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

// release frees an endpoint and reports whether the record's host was its home.
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

// RestartAfterGap restarts all leases at the given time. It is for a reader
// that missed a part of the stream.
func (t *Table) RestartAfterGap(now time.Time) {
	t.Incomplete = true
	t.RestartLeases(now)
}

// RestartLeases restarts all leases at the given time. It is for a reader that
// could not read for a while but missed no records.
func (t *Table) RestartLeases(now time.Time) {
	for endpoint, entry := range t.entries {
		entry.ReadAt = now
		t.entries[endpoint] = entry
	}
}

// Evict drops the entries that expired before the given time and are not
// wanted.
func (t *Table) Evict(before time.Time, wanted func(endpoint string) bool) {
	for endpoint, entry := range t.entries {
		if !wanted(endpoint) && entry.Expiry().Before(before) {
			delete(t.entries, endpoint)
			t.Incomplete = true
		}
	}
}
