package config

import (
	"context"
	"errors"
	"time"

	"mustarddoor/internal/connection/platform"
)

// Times of what hosts append themselves.
const (
	backfillInterval = 250 * time.Millisecond
	backfillTimeout  = 10 * time.Second
	backfillRetry    = time.Second
	// staggerSpan is the time over which hosts spread appends that any of them
	// may do.
	staggerSpan = 2 * time.Second
	// issuerHeadStart is how long the other hosts leave a mark's append to the host
	// that issued its stamp: as long as hosts differ in noticing that the log
	// is back, and for the time in which the issuer appends.
	issuerHeadStart = maxReadBackoff*3/2 + 2*backfillInterval
	// Snapshots are due at a fraction of the log's retention, at a time that
	// differs by host within the next fraction.
	snapshotAge    = 0.4
	snapshotSpread = 0.2
)

// missingRecord is a record that the log does not have yet.
type missingRecord struct {
	record Record
	// issuer is the host that the other hosts leave the append to; empty if
	// there is none.
	issuer string
	due    time.Time
	// since is where the record may stand in the log after an append; zero
	// before the first.
	since uint64
}

// backfill appends what the log lacks until the context ends.
func (f *Follower) backfill(ctx context.Context) error {
	items := map[string]*missingRecord{}
	for {
		timer := time.NewTimer(backfillInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-f.backfillSignal:
			timer.Stop()
		case <-timer.C:
		}
		f.backfillOnce(ctx, items)
	}
}

// backfillOnce appends what is due.
func (f *Follower) backfillOnce(ctx context.Context, items map[string]*missingRecord) {
	state, ready := f.backfillState()
	if !ready {
		// All that is due by now would be appended by all hosts at once when
		// the log is back.
		for _, item := range items {
			item.due = time.Time{}
		}
		return
	}
	f.planAppends(state, items)
	for key, item := range items {
		if item.due.IsZero() {
			item.due = now().Add(f.appendDelay(key, item.issuer))
		}
	}
	for key, item := range items {
		if now().Before(item.due) {
			continue
		}
		if f.appendMissing(ctx, item) {
			delete(items, key)
		}
	}
}

// backfillState gives the state, and whether it is up to date with the log.
func (f *Follower) backfillState() (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health
	return f.state, h.reachedTail && !h.isLogDown() && h.gapTo == 0
}

// planAppends adds the records that the log lacks and drops those that it has.
func (f *Follower) planAppends(state State, items map[string]*missingRecord) {
	wanted := map[string]bool{}
	for _, mark := range state.unloggedMarks() {
		key := "mark " + mark.ID
		wanted[key] = true
		if items[key] == nil {
			record := Record{Header: Header{ID: mark.ID}, Raw: mark.Raw}
			items[key] = &missingRecord{record: record, issuer: mark.Stamp.Host}
		}
	}
	for _, move := range state.unloggedVerdicts() {
		key := move.verdictKey()
		wanted[key] = true
		if items[key] == nil {
			record := f.options.Keys.hostSigner(f.options.Host).sign(KindVerdict, f.nextSequence(),
				VerdictBody{Move: move.ID, State: move.State})
			items[key] = &missingRecord{record: record}
		}
	}
	for key := range items {
		if !wanted[key] {
			delete(items, key)
		}
	}
	f.planSnapshot(state, items)
}

// planSnapshot adds a snapshot if it is due.
func (f *Follower) planSnapshot(state State, items map[string]*missingRecord) {
	if state.Log.Head == nil && len(state.Marks) == 0 {
		return
	}
	if now().Before(f.snapshotDue(state.Log)) {
		return
	}
	record := state.encodeSnapshot(f.options.Keys.hostSigner(f.options.Host), f.nextSequence())
	items["snapshot"] = &missingRecord{record: record, due: now()}
}

// appendDelay is how long this host leaves an append to others. The host that
// issued a mark's stamp does not wait.
func (f *Follower) appendDelay(key, issuer string) time.Duration {
	delay := staggerDelay(f.options.Host, digest64(key), staggerSpan)
	switch issuer {
	case f.options.Host:
		return 0
	case "":
		return delay
	default:
		return issuerHeadStart + delay
	}
}

// appendMissing appends an item and reports whether it is off the list.
func (f *Follower) appendMissing(ctx context.Context, item *missingRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, backfillTimeout)
	defer cancel()
	offset, err := f.options.Log.Append(ctx, platform.Batch{
		Stream:  platform.StreamConfig,
		Records: []platform.AppendRecord{{ID: item.record.ID, Data: item.record.Raw}},
		Since:   item.since,
	})
	item.due = now().Add(backfillRetry)
	if err == nil {
		f.metrics.appended.Inc(1)
		item.since = offset
		return item.record.Kind == KindSnapshot
	}
	f.metrics.appendErrors.Inc(1)
	var uncertain *platform.UncertainError
	if errors.As(err, &uncertain) {
		item.since = uncertain.Since
	}
	return item.record.Kind == KindSnapshot
}
