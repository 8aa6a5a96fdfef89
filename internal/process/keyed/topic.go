package keyed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/pause"
)

// PollPolicy controls how a topic is read from its store.
type PollPolicy struct {
	// MaxWait is how long a read may wait for new records.
	MaxWait time.Duration
	// MinInterval is the minimum time between the starts of two reads.
	MinInterval time.Duration
	// ResponseTimeout is how long the store may take to begin its response, in addition to
	// MaxWait, and to continue it.
	ResponseTimeout time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
	// Paused stops polling once the topic is loaded, because another host reads
	// it.
	Paused bool
}

// Topic is a local copy of a keyed topic that follows the store. It is safe for
// concurrent use.
type Topic struct {
	partition Partition
	store     Store
	policy    func() PollPolicy
	restore   RestorePolicy
	log       *logrus.Entry
	// onChange is called after each change, without mu held.
	onChange func(Change)

	// changing is held from a change until onChange has returned, so that changes are
	// reported in order. It is locked before mu.
	changing sync.Mutex

	mu     sync.Mutex
	loaded bool
	content
	// unavailableSince is when the store stopped answering; zero while it
	// answers.
	unavailableSince time.Time
	// confirmedAt is when the store is known to have held nothing that the topic lacks;
	// zero before that.
	confirmedAt time.Time
	recent      recentChanges
	// advanced is closed when next changes.
	advanced chan struct{}
	// reported is the position up to which onChange has been called, reportedMore is closed
	// when that changes.
	reported     Position
	reportedMore chan struct{}
}

// Change is the effect of one read or snapshot on a topic.
type Change struct {
	// Records are the changed records in order, without those that a later one replaces
	// unless the topic keeps them. One without a value means that its key was deleted.
	Records []Record
	// AfterOutage is true if the store was unavailable before this change.
	AfterOutage bool
	Position    Position
	// ConfirmedAt is when the store was known, before this change, to hold nothing that
	// the topic lacked; zero if it never was.
	ConfirmedAt time.Time
	// Source is where the records came from; empty if they were kept from before the
	// store was restored.
	Source Source
}

// NewTopic returns a topic that is not loaded yet.
func NewTopic(partition Partition, store Store, policy func() PollPolicy, restore RestorePolicy, log *logrus.Entry, onChange func(Change)) *Topic {
	t := &Topic{partition: partition, store: store, policy: policy, restore: restore, log: log.WithField("topic", partition.Topic), onChange: onChange, content: newContent(restore.DeletedBytes), advanced: make(chan struct{}), reportedMore: make(chan struct{})}
	t.recent.restart(0)
	return t
}

// KeepReplaced makes the topic report all records in order, and keep them for other hosts up to
// a size in bytes. A topic needs that whose records have an order of their own, by which a
// later record may be older than an earlier one. It is called before Run.
func (t *Topic) KeepReplaced(maxBytes int) { t.recent.maxBytes = maxBytes }

// Run follows the topic until ctx is done.
func (t *Topic) Run(ctx context.Context) error {
	for {
		t.expireKept()
		start, policy := time.Now(), t.pollPolicy()
		wait := time.Duration(0)
		err := t.poll(ctx, policy)
		if errors.Is(err, errLate) {
			err = t.poll(ctx, policy)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			t.markUnavailable(err)
			// Another host may be found to read from.
			wait = t.pollPolicy().RetryDelay
		} else {
			wait = policy.MinInterval - time.Since(start)
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

// errLate means that a call failed late, as defined by IsLate.
var errLate = eris.New("this process did not run")

// maxLateness is how long after its deadline a call of a process that runs may fail.
const maxLateness = 300 * time.Millisecond

// IsLate reports whether the deadline of a call has passed for so long that this process
// did not run: the store may have answered in time.
func IsLate(call context.Context) bool {
	deadline, hasDeadline := call.Deadline()
	return hasDeadline && time.Since(deadline) > maxLateness
}

// checkLate returns the error of a call, with errLate if it was late.
func checkLate(call context.Context, err error) error {
	if IsLate(call) {
		return errors.Join(errLate, err)
	}
	return err
}

// pollPolicy returns the policy of the next poll. A read does not wait beyond the
// expiry of a kept record, nor after an outage, when the era may have risen.
func (t *Topic) pollPolicy() PollPolicy {
	policy := t.policy()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unavailableSince.IsZero() {
		policy.MaxWait = 0
	}
	if expiry, found := t.firstExpiry(); found {
		policy.MaxWait = min(policy.MaxWait, max(time.Until(expiry), minKeptWait))
		policy.MinInterval = min(policy.MinInterval, max(time.Until(expiry), minKeptWait))
	}
	return policy
}

// minKeptWait bounds how often the expiry of kept records is checked.
const minKeptWait = 100 * time.Millisecond

// expireKept puts the store's state in force where an earlier one was kept for long
// enough.
func (t *Topic) expireKept() {
	t.changing.Lock()
	defer t.changing.Unlock()
	t.mu.Lock()
	records := t.expire(time.Now())
	change := Change{Records: records, Position: t.next}
	t.mu.Unlock()
	if len(records) == 0 {
		return
	}
	t.log.WithFields(logrus.Fields{"records": keysOf(records), "era": change.Position.Era}).Warn("records from before the store was restored were not written again")
	t.report(change)
}

// keysOf returns the keys of records.
func keysOf(records []Record) []string {
	keys := make([]string, len(records))
	for i, record := range records {
		keys[i] = record.Key
	}
	return keys
}

// poll performs one read.
func (t *Topic) poll(ctx context.Context, policy PollPolicy) error {
	t.mu.Lock()
	loaded, next := t.loaded, t.next
	t.mu.Unlock()
	if !loaded {
		return t.reload(ctx, policy)
	}
	if policy.Paused {
		return nil
	}
	reading, cancel := transfer.WithTimeout(ctx, policy.MaxWait, policy.ResponseTimeout)
	defer cancel()
	batch, err := t.store.Read(reading, t.partition, next, policy.MaxWait)
	if errors.Is(err, ErrTrimmed) {
		t.log.WithFields(logrus.Fields{"from": next.Offset, "era": next.Era}).Info("the log does not have the records, reloading the topic")
		return t.reload(ctx, policy)
	}
	if err != nil {
		return checkLate(reading, err)
	}
	switch end := batch.Next; {
	case end.Era > next.Era:
		t.log.WithFields(logrus.Fields{"from": next.Offset, "era": next.Era, "store_era": end.Era}).Warn("store restored from an older copy, reloading the topic")
		return t.reload(ctx, policy)
	case end.Era < next.Era:
		return eris.Wrapf(ErrOutdated, "read in era %d", end.Era)
	}
	t.apply(next, batch)
	if t.isListShorter(batch) {
		// The records in between would be replaced at once. The next poll reads on if the
		// list fails.
		return t.reload(ctx, policy)
	}
	return nil
}

// listOverhead is how much larger a list of all keys is than their values, at least.
const listOverhead = 1.5

// isListShorter reports whether the list of the newest record of each key is likely to be
// shorter than the records that remain after a batch.
func (t *Topic) isListShorter(batch Batch) bool {
	if batch.Remaining == 0 || len(batch.Records) == 0 || t.recent.keepsReplaced() {
		return false
	}
	read := 0
	for _, record := range batch.Records {
		read += len(record.Key) + len(record.Value)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := 0
	for key, value := range t.values {
		listed += len(key) + len(value)
	}
	return float64(batch.Remaining)*float64(read)/float64(len(batch.Records)) > listOverhead*float64(listed)
}

// reload replaces the topic's content with the newest record of each key.
func (t *Topic) reload(ctx context.Context, policy PollPolicy) error {
	reading, cancel := transfer.WithTimeout(ctx, 0, policy.ResponseTimeout)
	defer cancel()
	snapshot, err := t.store.Newest(reading, t.partition)
	if err != nil {
		return checkLate(reading, err)
	}
	if next, _ := t.Next(); snapshot.Compare(next) < 0 {
		return eris.Wrapf(ErrOutdated, "list up to offset %d in era %d", snapshot.Offset, snapshot.Era)
	}
	t.replace(snapshot, true, t.markAvailable())
	return nil
}

// apply applies records that start at an offset, unless the topic has moved
// past it.
func (t *Topic) apply(from Position, batch Batch) {
	t.changing.Lock()
	defer t.changing.Unlock()
	outage := t.markAvailable()
	t.mu.Lock()
	if !t.loaded || t.next != from || len(batch.Records) == 0 {
		t.confirm(batch.Next, batch.ConfirmedAt)
		t.mu.Unlock()
		return
	}
	t.content.apply(batch.Records, batch.Next, time.Now())
	records := batch.Records
	if !t.recent.keepsReplaced() {
		records = newestRecords(records)
	}
	change := Change{Records: records, AfterOutage: outage, Position: batch.Next, ConfirmedAt: t.confirmedAt, Source: batch.Source}
	for i, record := range batch.Records {
		t.recent.add(record, batch.offset(from, i))
	}
	t.confirm(batch.Next, batch.ConfirmedAt)
	t.wakeReaders()
	t.mu.Unlock()
	t.report(change)
}

// report calls onChange. The caller holds changing.
func (t *Topic) report(change Change) {
	t.onChange(change)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = change.Position
	close(t.reportedMore)
	t.reportedMore = make(chan struct{})
}

// confirm records that the store held nothing from a position on at a time. The caller
// holds mu.
func (t *Topic) confirm(next Position, at time.Time) {
	if t.next.Era == next.Era && t.next.Offset >= next.Offset && at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// ConfirmedAt returns when the store is known to have held nothing that the topic lacks,
// or the zero time.
func (t *Topic) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// Adopt applies what is newer in a snapshot received from another host.
func (t *Topic) Adopt(snapshot Snapshot) { t.replace(snapshot, false, false) }

// replace merges a snapshot into the topic's content. A snapshot from the store is
// applied even at the current position, because the log may have dropped records.
func (t *Topic) replace(snapshot Snapshot, fromStore, outage bool) {
	t.changing.Lock()
	defer t.changing.Unlock()
	t.mu.Lock()
	isNewer := snapshot.Compare(t.next) > 0
	isInformed := snapshot.Era == t.next.Era && snapshot.Earlier.Compare(t.earlier) > 0
	if t.loaded && !isNewer && !isInformed && !fromStore {
		t.confirm(snapshot.Position, snapshot.ConfirmedAt)
		t.mu.Unlock()
		return
	}
	now := time.Now()
	old, merged := t.content, snapshot.content(t.restore.DeletedBytes, now)
	if t.loaded {
		merged = t.merge(merged, t.restore, now)
	}
	change := Change{Records: difference(old.values, merged.values), Position: merged.next, AfterOutage: outage, ConfirmedAt: t.confirmedAt, Source: snapshot.Source}
	t.loaded, t.content = true, merged
	t.confirm(snapshot.Position, snapshot.ConfirmedAt)
	t.recent.restart(merged.next.Offset)
	t.wakeReaders()
	t.mu.Unlock()
	if merged.next.Era > old.next.Era && len(merged.kept) > 0 {
		t.log.WithFields(logrus.Fields{"era": merged.next.Era, "next_offset": merged.next.Offset, "earlier_offset": merged.earlier.Offset, "kept": slices.Sorted(maps.Keys(merged.kept))}).
			Warn("records kept until they are written again")
	}
	t.report(change)
}

// content returns the content that a snapshot describes.
func (s *Snapshot) content(maxDeletedBytes int, now time.Time) content {
	c := newContent(maxDeletedBytes)
	c.next, c.earlier = s.Position, s.Earlier
	maps.Copy(c.values, s.Values)
	for key, kept := range s.Kept {
		c.kept[key] = keptRecord{stored: kept.Stored, until: now.Add(time.Duration(kept.ForMillis) * time.Millisecond)}
	}
	return c
}

// markAvailable records that the store has answered and reports whether it was
// unavailable before.
func (t *Topic) markAvailable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailableSince.IsZero() {
		return false
	}
	t.log.WithField("away_ms", time.Since(t.unavailableSince).Milliseconds()).Info("store available again")
	t.unavailableSince = time.Time{}
	return true
}

// markUnavailable records that the store failed to answer.
func (t *Topic) markUnavailable(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailableSince.IsZero() {
		t.unavailableSince = time.Now()
		t.log.WithError(err).WithField("next_offset", t.next.Offset).Warn("store lost")
	}
}
