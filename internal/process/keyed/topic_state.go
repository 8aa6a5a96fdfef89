package keyed

import (
	"context"
	"maps"
	"time"
)

// wakeReaders wakes the readers that wait for records. The caller holds mu.
func (t *Topic) wakeReaders() {
	close(t.advanced)
	t.advanced = make(chan struct{})
}

// Since returns the records from a position on, without those that a later one replaces unless
// the topic keeps them. If there are none, it waits for new ones until ctx is done. It fails
// with ErrTrimmed if the changes are no longer known, and with ErrRefused if the topic is not
// loaded.
func (t *Topic) Since(ctx context.Context, from Position) (Batch, error) {
	for {
		t.mu.Lock()
		loaded, next, advanced := t.loaded, t.next, t.advanced
		batch := Batch{Next: from, ConfirmedAt: t.confirmedAt}
		isKept := from.Compare(Position{Era: next.Era, Offset: t.recent.from}) >= 0
		if isKept && from.Compare(next) < 0 {
			batch.Next = next
			for _, change := range t.recent.since(from.Offset, t.values) {
				batch.Records = append(batch.Records, change.Record)
				batch.Offsets = append(batch.Offsets, change.offset)
			}
		}
		t.mu.Unlock()
		switch {
		case !loaded:
			return Batch{}, ErrRefused
		case !isKept:
			return Batch{}, ErrTrimmed
		case len(batch.Records) > 0 || ctx.Err() != nil:
			return batch, nil
		}
		select {
		case <-ctx.Done():
		case <-advanced:
		}
	}
}

// Await waits until the changes up to a position have been reported, and reports whether they
// were before ctx was done.
func (t *Topic) Await(ctx context.Context, position Position) bool {
	for {
		t.mu.Lock()
		reported, more := t.reported, t.reportedMore
		t.mu.Unlock()
		if reported.Compare(position) >= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-more:
		}
	}
}

// Snapshot returns a copy of the topic's content, and false until the topic is
// loaded.
func (t *Topic) Snapshot() (Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := Snapshot{Position: t.next, Values: maps.Clone(t.values), Earlier: t.earlier, ConfirmedAt: t.confirmedAt}
	for key, kept := range t.kept {
		if snapshot.Kept == nil {
			snapshot.Kept = map[string]KeptRecord{}
		}
		snapshot.Kept[key] = KeptRecord{Stored: kept.stored, ForMillis: time.Until(kept.until).Milliseconds()}
	}
	return snapshot, t.loaded
}

// Kept returns the position that had been read before the store was restored, and
// how many records are kept from then.
func (t *Topic) Kept() (earlier Position, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.earlier, len(t.kept)
}

// Next returns the position up to which the topic has been read, and false until
// the topic is loaded.
func (t *Topic) Next() (Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.loaded
}

// IsUnavailable reports whether the store has stopped answering.
func (t *Topic) IsUnavailable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unavailableSince.IsZero()
}
