package config

import (
	"context"
	"errors"
	"time"

	"mustarddoor/internal/connection/platform"
)

// Timing of the records that hosts append.
const (
	backfillInterval = 250 * time.Millisecond
	backfillTimeout  = 10 * time.Second
	backfillRetry    = time.Second
	// staggerSpan is the time over which hosts spread appends that any of them
	// can do.
	staggerSpan = 2 * time.Second
	// issuerHeadStart is how long the other hosts leave the append of a mark to
	// the host that issued its stamp. It covers the longest difference between
	// hosts in noticing that the log is available again, and the time that the
	// issuer needs to append.
	issuerHeadStart = maxReadBackoff*3/2 + 2*backfillInterval
	// A snapshot is due when the last one is older than snapshotAge, plus a
	// delay per host of up to snapshotSpread, both as fractions of the log's
	// retention.
	snapshotAge    = 0.4
	snapshotSpread = 0.2
)

// missingRecord is a record that is not in the log yet.
type missingRecord struct {
	record Record
	// issuer is the host that gets a head start on the append; empty if there is
	// none.
	issuer string
	due    time.Time
	// since is the lowest offset at which an earlier append may have put the
	// record; zero before the first append.
	since uint64
}

// backfill appends records that the log lacks until the context ends.
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

// backfillOnce appends the records that are due.
func (f *Follower) backfillOnce(ctx context.Context, items map[string]*missingRecord) {
	state, ready := f.backfillState()
	if !ready {
		// Due times are reset: records that became due during an outage would
		// otherwise be appended by all hosts at once when the log is available
		// again.
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

// backfillState returns the state and whether it is up to date with the log.
func (f *Follower) backfillState() (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health
	return f.state, h.reachedTail && !h.isLogDown() && h.gapTo == 0
}

// planAppends adds the records that the log lacks and removes those that it has.
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

// appendDelay returns how long this host leaves an append to other hosts. The
// host that issued a mark's stamp does not wait.
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

// appendMissing appends an item and reports whether to remove it from the list.
// A snapshot is removed after one attempt and planned again while it is due;
// marks and verdicts stay until they are read from the log.
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
