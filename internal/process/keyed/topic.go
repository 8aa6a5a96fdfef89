package keyed

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/pause"
)

// PollPolicy controls how a topic is read from its store.
type PollPolicy struct {
	// MaxWait is how long a read may wait for new records.
	MaxWait time.Duration
	// MinInterval is the minimum time between the starts of two reads.
	MinInterval time.Duration
	// ResponseTimeout is how long the store may take to respond, in addition to
	// MaxWait.
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
	log       *logrus.Entry
	// onChange is called after each change, without mu held.
	onChange func(Change)

	mu     sync.Mutex
	loaded bool
	next   Position
	values map[string][]byte
	// unavailableSince is when the store stopped answering; zero while it
	// answers.
	unavailableSince time.Time
	// recent holds the newest records; the first has the offset recentFrom.
	recent     []Record
	recentFrom uint64
	// advanced is closed when next changes.
	advanced chan struct{}
}

// maxRecentRecords bounds the records kept for other hosts to read, about ten
// seconds of endpoint entries.
const maxRecentRecords = 1000

// Change is the effect of one read or snapshot on a topic.
type Change struct {
	// Records are the changed records in order; one without a value means that
	// its key was deleted.
	Records []Record
	// AfterOutage is true if the store was unavailable before this change.
	AfterOutage bool
	Position    Position
}

// NewTopic returns a topic that is not loaded yet.
func NewTopic(partition Partition, store Store, policy func() PollPolicy, log *logrus.Entry, onChange func(Change)) *Topic {
	return &Topic{partition: partition, store: store, policy: policy, log: log.WithField("topic", partition.Topic), onChange: onChange, values: map[string][]byte{}, advanced: make(chan struct{})}
}

// Run follows the topic until ctx is done.
func (t *Topic) Run(ctx context.Context) error {
	for {
		start, policy := time.Now(), t.policy()
		wait := policy.RetryDelay
		if err := t.poll(ctx, policy); ctx.Err() != nil {
			return nil
		} else if err != nil {
			t.markUnavailable(err)
		} else {
			wait = policy.MinInterval - time.Since(start)
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
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
	reading, cancel := context.WithTimeout(ctx, policy.MaxWait+policy.ResponseTimeout)
	defer cancel()
	records, end, err := t.store.Read(reading, t.partition, next, policy.MaxWait)
	if errors.Is(err, ErrTrimmed) {
		t.log.WithFields(logrus.Fields{"from": next.Offset, "era": next.Era}).Info("the log does not have the records, reloading the topic")
		return t.reload(ctx, policy)
	}
	if err != nil {
		return err
	}
	switch {
	case end.Era > next.Era:
		t.log.WithFields(logrus.Fields{"from": next.Offset, "era": next.Era, "store_era": end.Era}).Warn("store restored from an older copy, reloading the topic")
		return t.reload(ctx, policy)
	case end.Era < next.Era:
		return eris.Wrapf(ErrOutdated, "read in era %d", end.Era)
	}
	t.apply(next, end, records)
	return nil
}

// reload replaces the topic's content with the newest record of each key.
func (t *Topic) reload(ctx context.Context, policy PollPolicy) error {
	reading, cancel := context.WithTimeout(ctx, policy.ResponseTimeout)
	defer cancel()
	snapshot, err := t.store.Newest(reading, t.partition)
	if err != nil {
		return err
	}
	if next, _ := t.Next(); snapshot.Next.Compare(next) < 0 {
		return eris.Wrapf(ErrOutdated, "list up to offset %d in era %d", snapshot.Next.Offset, snapshot.Next.Era)
	}
	t.replace(snapshot, true, t.markAvailable())
	return nil
}

// apply applies records that start at an offset, unless the topic has moved
// past it.
func (t *Topic) apply(from, end Position, records []Record) {
	outage := t.markAvailable()
	t.mu.Lock()
	if !t.loaded || t.next != from || len(records) == 0 {
		t.mu.Unlock()
		return
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(t.values, record.Key)
		} else {
			t.values[record.Key] = record.Value
		}
	}
	change := Change{Records: records, AfterOutage: outage, Position: end}
	t.recent = append(t.recent, records...)
	if over := len(t.recent) - maxRecentRecords; over > 0 {
		t.recent = append([]Record(nil), t.recent[over:]...)
		t.recentFrom += uint64(over)
	}
	t.advanceTo(end)
	t.mu.Unlock()
	t.onChange(change)
}

// Adopt applies a snapshot received from another host if it is newer.
func (t *Topic) Adopt(snapshot Snapshot) { t.replace(snapshot, false, false) }

// replace replaces the topic's content with a snapshot. A snapshot from the
// store is applied even at the current offset, because the log may have dropped
// records.
func (t *Topic) replace(snapshot Snapshot, fromStore, outage bool) {
	t.mu.Lock()
	order := snapshot.Next.Compare(t.next)
	if t.loaded && (order < 0 || !fromStore && order == 0) {
		t.mu.Unlock()
		return
	}
	change := Change{Position: snapshot.Next, AfterOutage: outage}
	for key := range t.values {
		if _, found := snapshot.Values[key]; !found {
			change.Records = append(change.Records, Record{Key: key})
		}
	}
	for key, value := range snapshot.Values {
		change.Records = append(change.Records, Record{Key: key, Value: value})
	}
	t.loaded = true
	t.recent, t.recentFrom = nil, snapshot.Next.Offset
	t.advanceTo(snapshot.Next)
	t.values = maps.Clone(snapshot.Values)
	if t.values == nil {
		t.values = map[string][]byte{}
	}
	t.mu.Unlock()
	t.onChange(change)
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

// advanceTo sets the next position and wakes waiting readers. The caller holds
// mu.
func (t *Topic) advanceTo(next Position) {
	t.next = next
	close(t.advanced)
	t.advanced = make(chan struct{})
}

// Since returns the records starting at a position, and the position that
// follows them. If there are none, it waits for new ones until ctx is done. It
// fails with ErrTrimmed if the records are no longer kept, and with ErrRefused
// if the topic is not loaded.
func (t *Topic) Since(ctx context.Context, from Position) ([]Record, Position, error) {
	for {
		t.mu.Lock()
		loaded, next, advanced := t.loaded, t.next, t.advanced
		isKept := from.Compare(Position{Era: next.Era, Offset: t.recentFrom}) >= 0
		var records []Record
		if isKept && from.Compare(next) < 0 {
			records = append(records, t.recent[from.Offset-t.recentFrom:]...)
		}
		t.mu.Unlock()
		switch {
		case !loaded:
			return nil, Position{}, ErrRefused
		case !isKept:
			return nil, Position{}, ErrTrimmed
		case len(records) > 0:
			return records, next, nil
		}
		select {
		case <-ctx.Done():
			return nil, from, nil
		case <-advanced:
		}
	}
}

// Snapshot returns a copy of the topic's content, and false until the topic is
// loaded.
func (t *Topic) Snapshot() (Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Snapshot{Next: t.next, Values: maps.Clone(t.values)}, t.loaded
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
