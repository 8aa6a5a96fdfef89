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
	// Last is the offset of the last record that changed or renewed the entry.
	Last uint64
	// Lease is how long the last claim or renewal holds.
	Lease time.Duration
	// Seen is when this host read that record, on the monotonic clock.
	Seen time.Time
	// First tells that the stream, read from its beginning, names no earlier
	// home.
	First bool
	// Free tells that the holder gave the endpoint back.
	Free bool
	// Unfit tells that the endpoint does not run what the bundle wants, as far
	// as its home knows.
	Unfit bool
}

// Lapsed is when the lease has surely lapsed for its holder, whatever the
// speed of the holder's clock.
func (e Entry) Lapsed() time.Time {
	if e.Free {
		return e.Seen
	}
	return e.Seen.Add(e.Lease + driftMargin(e.Lease))
}

// heldUntil is until when the holder may act on a lease that it sent a claim or
// renewal for at a time.
func heldUntil(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - driftMargin(lease))
}

// driftMargin covers clocks that run at different speeds.
func driftMargin(lease time.Duration) time.Duration { return lease / driftDivisor }

// driftDivisor makes the margin a fraction of the lease.
const driftDivisor = 10

// Table holds the homes that follow from a part of the stream.
type Table struct {
	// Offset is that of the last record applied.
	Offset uint64
	// Partial tells that there may have been homes that the table lacks.
	Partial bool
	entries map[string]Entry
}

// NewTable gives a table without homes.
func NewTable() *Table { return &Table{entries: map[string]Entry{}} }

// Entry finds an endpoint's home.
func (t *Table) Entry(endpoint string) (Entry, bool) {
	entry, found := t.entries[endpoint]
	return entry, found
}

// Applied tells what a record has changed.
type Applied struct {
	// Changed are the endpoints whose home is another one now.
	Changed []string
	// Renewed are the endpoints whose lease goes on.
	Renewed []string
	// Fitness are the endpoints that became fit or unfit.
	Fitness []string
	// Lost are claims that came too late.
	Lost []string
}

// Apply applies the record at an offset, which this host read at the time now.
func (t *Table) Apply(offset uint64, record Record, now time.Time) Applied {
	applied := Applied{}
	t.Offset = offset
	entry := Entry{
		Holder: record.Host,
		Last:   offset,
		Lease:  time.Duration(record.LeaseMillis) * time.Millisecond,
		Seen:   now,
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
func (t *Table) claim(endpoint string, readTo uint64, entry Entry, applied *Applied) {
	known, found := t.entries[endpoint]
	if found && known.Last > readTo || !found && len(t.entries) >= maxEntries {
		applied.Lost = append(applied.Lost, endpoint)
		return
	}
	entry.Fence = entry.Last
	entry.Unfit = known.Unfit
	entry.First = !found && !t.Partial
	t.entries[endpoint] = entry
	applied.Changed = append(applied.Changed, endpoint)
}

// renew carries a lease on. A fencing number greater than the known one is of
// a claim that this host did not read, since the log had trimmed it.
func (t *Table) renew(held Held, entry Entry, applied *Applied) {
	known, found := t.entries[held.Endpoint]
	if !found && len(t.entries) >= maxEntries {
		return
	}
	entry.Fence = held.Fence
	entry.Unfit = held.Unfit
	switch {
	case !found || held.Fence > known.Fence:
		t.entries[held.Endpoint] = entry
		applied.Changed = append(applied.Changed, held.Endpoint)
	case held.Fence == known.Fence && known.Holder.Incarnation == entry.Holder.Incarnation && !known.Free:
		entry.First = known.First
		t.entries[held.Endpoint] = entry
		applied.Renewed = append(applied.Renewed, held.Endpoint)
		if known.Unfit != entry.Unfit {
			applied.Fitness = append(applied.Fitness, held.Endpoint)
		}
	}
}

// release frees an endpoint and reports whether the host was its home.
func (t *Table) release(held Held, entry Entry) bool {
	known, found := t.entries[held.Endpoint]
	if !found || known.Fence != held.Fence || known.Holder.Incarnation != entry.Holder.Incarnation {
		return false
	}
	known.Free = true
	known.Last = entry.Last
	known.Seen = entry.Seen
	t.entries[held.Endpoint] = known
	return true
}

// Touch makes all leases count from now. It is for a reader that missed a part
// of the stream.
func (t *Table) Touch(now time.Time) {
	t.Partial = true
	t.Refresh(now)
}

// Refresh makes all leases count from now. It is for a reader that could not
// read for a while but has missed nothing.
func (t *Table) Refresh(now time.Time) {
	for endpoint, entry := range t.entries {
		entry.Seen = now
		t.entries[endpoint] = entry
	}
}

// Forget drops the entries that have lapsed before a time and are not wanted.
func (t *Table) Forget(before time.Time, wanted func(endpoint string) bool) {
	for endpoint, entry := range t.entries {
		if !wanted(endpoint) && entry.Lapsed().Before(before) {
			delete(t.entries, endpoint)
			t.Partial = true
		}
	}
}
