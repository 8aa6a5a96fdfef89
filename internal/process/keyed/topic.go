package keyed

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/pause"
)

// Pace says how often a topic is read.
type Pace struct {
	// Wait is how long a read may wait for records.
	Wait time.Duration
	// Every is the least time from one read to the next.
	Every time.Duration
	// Answer is how long the store may take beyond Wait.
	Answer time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// Idle leaves a topic that is known alone, since another host reads it.
	Idle bool
}

// Topic is a followed topic. It is safe for concurrent use.
type Topic struct {
	part  Part
	store Store
	pace  func() Pace
	log   *logrus.Entry
	// changed is called after each change, without locks held.
	changed func(Change)

	mu     sync.Mutex
	known  bool
	next   uint64
	values map[string][]byte
	// lostAt is when the store ceased to answer; zero while it answers.
	lostAt time.Time
	// recent are the newest records, which begin at the offset recentFrom.
	recent     []Record
	recentFrom uint64
	// moved is closed when next changes.
	moved chan struct{}
}

// maxRecent bounds the records that are kept for other hosts: what endpoints
// write in some ten seconds.
const maxRecent = 1000

// Change is what one read or snapshot has changed.
type Change struct {
	// Records are the new values in their order; one without a value tells that
	// its key is gone.
	Records []Record
	// AfterOutage tells that the store had been away before this change.
	AfterOutage bool
	Offset      uint64
}

// NewTopic returns a topic of which nothing is known yet.
func NewTopic(part Part, store Store, pace func() Pace, log *logrus.Entry, changed func(Change)) *Topic {
	return &Topic{part: part, store: store, pace: pace, log: log.WithField("topic", part.Topic), changed: changed, values: map[string][]byte{}, moved: make(chan struct{})}
}

// Run follows the topic until the context ends.
func (t *Topic) Run(ctx context.Context) error {
	for {
		begin, pace := time.Now(), t.pace()
		wait := pace.Retry
		if err := t.step(ctx, pace); ctx.Err() != nil {
			return nil
		} else if err != nil {
			t.lost(err)
		} else {
			wait = pace.Every - time.Since(begin)
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

// step reads once.
func (t *Topic) step(ctx context.Context, pace Pace) error {
	t.mu.Lock()
	known, next := t.known, t.next
	t.mu.Unlock()
	if !known {
		return t.list(ctx, pace)
	}
	if pace.Idle {
		return nil
	}
	reading, cancel := context.WithTimeout(ctx, pace.Wait+pace.Answer)
	defer cancel()
	records, end, err := t.store.Read(reading, t.part, next, pace.Wait)
	if errors.Is(err, ErrTrimmed) {
		t.log.WithField("from", next).Info("records dropped, listing the topic anew")
		return t.list(ctx, pace)
	}
	if err != nil {
		return err
	}
	t.apply(next, end, records)
	return nil
}

// list takes the newest record of each key.
func (t *Topic) list(ctx context.Context, pace Pace) error {
	reading, cancel := context.WithTimeout(ctx, pace.Answer)
	defer cancel()
	records, end, err := t.store.Newest(reading, t.part)
	if err != nil {
		return err
	}
	values := make(map[string][]byte, len(records))
	for _, record := range records {
		values[record.Key] = record.Value
	}
	t.replace(Snapshot{Next: end, Values: values}, true, t.answered())
	return nil
}

// apply takes records in that begin at an offset, if nothing newer is known.
func (t *Topic) apply(from, end uint64, records []Record) {
	outage := t.answered()
	t.mu.Lock()
	if !t.known || t.next != from || len(records) == 0 {
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
	change := Change{Records: records, AfterOutage: outage, Offset: end}
	t.recent = append(t.recent, records...)
	if over := len(t.recent) - maxRecent; over > 0 {
		t.recent = append([]Record(nil), t.recent[over:]...)
		t.recentFrom += uint64(over)
	}
	t.moveTo(end)
	t.mu.Unlock()
	t.changed(change)
}

// Adopt takes a snapshot that another host has handed over, if it is newer.
func (t *Topic) Adopt(snapshot Snapshot) { t.replace(snapshot, false, false) }

// replace takes a whole snapshot in. One from the store counts even when it is
// as old as what is known, since the log may have dropped records.
func (t *Topic) replace(snapshot Snapshot, fromStore, outage bool) {
	t.mu.Lock()
	if t.known && (snapshot.Next < t.next || !fromStore && snapshot.Next == t.next) {
		t.mu.Unlock()
		return
	}
	change := Change{Offset: snapshot.Next, AfterOutage: outage}
	for key := range t.values {
		if _, found := snapshot.Values[key]; !found {
			change.Records = append(change.Records, Record{Key: key})
		}
	}
	for key, value := range snapshot.Values {
		change.Records = append(change.Records, Record{Key: key, Value: value})
	}
	t.known = true
	t.recent, t.recentFrom = nil, snapshot.Next
	t.moveTo(snapshot.Next)
	t.values = maps.Clone(snapshot.Values)
	if t.values == nil {
		t.values = map[string][]byte{}
	}
	t.mu.Unlock()
	t.changed(change)
}

// answered notes that the store has answered and reports whether it had been
// away.
func (t *Topic) answered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostAt.IsZero() {
		return false
	}
	t.log.WithField("away_ms", time.Since(t.lostAt).Milliseconds()).Info("store regained")
	t.lostAt = time.Time{}
	return true
}

// lost notes that the store has not answered.
func (t *Topic) lost(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostAt.IsZero() {
		t.lostAt = time.Now()
		t.log.WithError(err).WithField("next_offset", t.next).Warn("store lost")
	}
}

// moveTo notes a new end. The caller holds mu.
func (t *Topic) moveTo(next uint64) {
	t.next = next
	close(t.moved)
	t.moved = make(chan struct{})
}

// Since returns the records from an offset on and the offset after them. It
// waits for records until the context ends. It fails with ErrTrimmed if they
// are no longer kept, and with ErrRefused if nothing is known.
func (t *Topic) Since(ctx context.Context, from uint64) ([]Record, uint64, error) {
	for {
		t.mu.Lock()
		known, next, moved := t.known, t.next, t.moved
		var records []Record
		if from >= t.recentFrom && from < next {
			records = append(records, t.recent[from-t.recentFrom:]...)
		}
		isKept := from >= t.recentFrom
		t.mu.Unlock()
		switch {
		case !known:
			return nil, 0, ErrRefused
		case !isKept:
			return nil, 0, ErrTrimmed
		case len(records) > 0:
			return records, next, nil
		}
		select {
		case <-ctx.Done():
			return nil, from, nil
		case <-moved:
		}
	}
}

// Snapshot is all that is known, and false before the first listing.
func (t *Topic) Snapshot() (Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Snapshot{Next: t.next, Values: maps.Clone(t.values)}, t.known
}

// Next is the offset up to which the topic is known, and false before the
// first listing.
func (t *Topic) Next() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.known
}

// IsLost reports whether the store has ceased to answer.
func (t *Topic) IsLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lostAt.IsZero()
}
