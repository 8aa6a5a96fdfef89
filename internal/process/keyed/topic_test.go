package keyed_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// memoryStore is an in-memory store.
type memoryStore struct {
	mu      sync.Mutex
	records []keyed.Record
	first   uint64
	era     uint64
	fail    error
	reads   int
	// standstill is how long the process does not run during the next read, whose
	// deadline passes meanwhile.
	standstill time.Duration
	// isConfirming is set if replies include the time at which they were current.
	isConfirming bool
}

func (s *memoryStore) confirmedAt() time.Time {
	if !s.isConfirming {
		return time.Time{}
	}
	return time.Now()
}

func (s *memoryStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := keyed.Record{Key: key}
	if value != "" {
		record.Value = []byte(value)
	}
	s.records = append(s.records, record)
}

// restore drops the records from an offset on, as a store does that is restored
// from an older copy.
func (s *memoryStore) restore(end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:end:end]
	s.era++
}

func (s *memoryStore) set(fail error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fail
}

func (s *memoryStore) Newest(context.Context, keyed.Partition) (keyed.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string][]byte{}
	for _, record := range s.records {
		newest[record.Key] = record.Value
		if record.Value == nil {
			delete(newest, record.Key)
		}
	}
	return keyed.Snapshot{Position: s.end(), Values: newest, ConfirmedAt: s.confirmedAt()}, s.fail
}

// end returns the end of the log. The caller holds mu.
func (s *memoryStore) end() keyed.Position {
	return keyed.Position{Era: s.era, Offset: uint64(len(s.records))}
}

func (s *memoryStore) Read(_ context.Context, _ keyed.Partition, from keyed.Position, _ time.Duration) (keyed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if standstill := s.standstill; standstill > 0 {
		s.standstill = 0
		s.mu.Unlock()
		time.Sleep(standstill)
		s.mu.Lock()
		return keyed.Batch{}, keyed.ErrUnanswered
	}
	if s.fail != nil {
		return keyed.Batch{}, s.fail
	}
	if from.Offset < s.first || from.Offset > uint64(len(s.records)) {
		return keyed.Batch{}, keyed.ErrTrimmed
	}
	return keyed.Batch{Records: s.records[from.Offset:], Next: s.end(), Source: keyed.SourceLog, ConfirmedAt: s.confirmedAt()}, nil
}

func (s *memoryStore) Append(context.Context, keyed.Partition, keyed.Record, *uint64) (keyed.Position, error) {
	return keyed.Position{}, keyed.ErrRefused
}

// at returns a position of a store that was never restored.
func at(offset uint64) keyed.Position { return keyed.Position{Offset: offset} }

var restorePolicy = keyed.RestorePolicy{
	Supersedes:  func(_ string, known, stored []byte) bool { return len(stored) > len(known) },
	KeepMissing: 2 * time.Second, KeepChanged: 3 * time.Second,
}

var policy = func() keyed.PollPolicy {
	return keyed.PollPolicy{MinInterval: 100 * time.Millisecond, ResponseTimeout: time.Second, RetryDelay: 50 * time.Millisecond}
}

// follow runs a test with a topic that follows a store.
func follow(t *testing.T, store *memoryStore, test func(topic *keyed.Topic, changes func() []keyed.Change)) {
	t.Helper()
	followAt(t, policy, store, test)
}

// followAt is follow with a poll policy.
func followAt(t *testing.T, policy func() keyed.PollPolicy, store *memoryStore, test func(topic *keyed.Topic, changes func() []keyed.Change)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		var mu sync.Mutex
		var seen []keyed.Change
		topic := keyed.NewTopic(keyed.Partition{Topic: "t"}, store, policy, restorePolicy, logrus.NewEntry(logger), func(change keyed.Change) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, change)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- topic.Run(ctx) }()
		test(topic, func() []keyed.Change {
			mu.Lock()
			defer mu.Unlock()
			changes := seen
			seen = nil
			return changes
		})
		cancel()
		assert.NilError(t, <-done)
	})
}

// settle lets the topic poll several times in virtual time.
func settle() {
	time.Sleep(time.Second)
	synctest.Wait()
}

func TestTopicFollows(t *testing.T) {
	store := &memoryStore{}
	store.put("a", "1")
	follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		settle()
		assert.DeepEqual(t, changes()[0].Records, []keyed.Record{{Key: "a", Value: []byte("1")}})
		store.put("b", "2")
		store.put("b", "3")
		store.put("a", "")
		settle()
		got := changes()
		assert.Equal(t, len(got), 1)
		assert.DeepEqual(t, got[0].Records, []keyed.Record{{Key: "b", Value: []byte("3")}, {Key: "a"}})
		snapshot, known := topic.Snapshot()
		assert.Assert(t, known)
		assert.DeepEqual(t, snapshot, keyed.Snapshot{Position: at(4), Values: map[string][]byte{"b": []byte("3")}})
	})
}

// A paused topic, which another host reads, is listed once and then makes no
// calls until it is resumed.
func TestPausedTopicMakesNoCalls(t *testing.T) {
	store := &memoryStore{}
	store.put("a", "1")
	var reads atomic.Bool
	idle := func() keyed.PollPolicy {
		policy := policy()
		policy.Paused = !reads.Load()
		return policy
	}
	followAt(t, idle, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		settle()
		assert.Equal(t, len(changes()), 1)
		store.put("b", "2")
		settle()
		assert.Equal(t, len(changes()), 0)
		assert.Equal(t, store.reads, 0)
		reads.Store(true)
		settle()
		assert.Equal(t, len(changes()), 1)
	})
}

func TestTopicReloadsWhenTrimmed(t *testing.T) {
	store := &memoryStore{}
	store.put("a", "1")
	follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		settle()
		changes()
		store.mu.Lock()
		store.records = append(store.records, keyed.Record{Key: "a"}, keyed.Record{Key: "c", Value: []byte("4")})
		store.first = 3
		store.mu.Unlock()
		settle()
		got := changes()
		assert.Equal(t, len(got), 1)
		assert.Assert(t, !got[0].AfterOutage)
		snapshot, _ := topic.Snapshot()
		assert.Equal(t, len(snapshot.Values), 1)
	})
}

func TestTopicDetectsOutages(t *testing.T) {
	store := &memoryStore{}
	follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		settle()
		assert.Assert(t, !topic.IsUnavailable())
		store.set(keyed.ErrUnanswered)
		settle()
		assert.Assert(t, topic.IsUnavailable())
		store.set(nil)
		store.put("a", "1")
		settle()
		assert.Assert(t, !topic.IsUnavailable())
		got := changes()
		assert.Assert(t, got[len(got)-1].AfterOutage)
	})
}

// A host that had stood still took the store for lost, and endpoints whose entries were
// deleted meanwhile for ones that may come back.
func TestStandstillIsNoOutage(t *testing.T) {
	store := &memoryStore{}
	store.put("a", "1")
	follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		settle()
		changes()
		store.mu.Lock()
		store.standstill = 3 * time.Second
		store.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		store.put("a", "")
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !topic.IsUnavailable())
		}
		got := changes()
		assert.Equal(t, len(got), 1)
		assert.Assert(t, !got[0].AfterOutage)
	})
}

// A snapshot from another host is applied only if it is newer.
func TestTopicAdopts(t *testing.T) {
	store := &memoryStore{fail: keyed.ErrUnanswered}
	follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		_, known := topic.Next()
		assert.Assert(t, !known)
		topic.Adopt(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"a": []byte("1")}})
		topic.Adopt(keyed.Snapshot{Position: at(7), Values: map[string][]byte{"a": []byte("2")}})
		topic.Adopt(keyed.Snapshot{Position: at(6)})
		next, known := topic.Next()
		assert.Assert(t, known)
		assert.Equal(t, next, at(7))
		assert.Equal(t, len(changes()), 1)
	})
}

// Other hosts can read the records the topic has read, and wait for new ones.
func TestTopicSince(t *testing.T) {
	store := &memoryStore{}
	store.put("a", "1")
	follow(t, store, func(topic *keyed.Topic, _ func() []keyed.Change) {
		_, err := topic.Since(context.Background(), at(0))
		assert.ErrorIs(t, err, keyed.ErrRefused)
		settle()
		_, err = topic.Since(context.Background(), at(0))
		assert.ErrorIs(t, err, keyed.ErrTrimmed)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		batch, err := topic.Since(ctx, at(1))
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 0)
		assert.Equal(t, batch.Next, at(1))
		store.put("b", "2")
		batch, err = topic.Since(context.Background(), at(1))
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, batch.Next, at(2))
	})
}

// After a failed read the topic waited for as long as it does without another host to read
// from, though one had been found.
func TestRetryDelayAfterFailure(t *testing.T) {
	store := &memoryStore{}
	store.put("a", "1")
	var topic atomic.Pointer[keyed.Topic]
	policy := func() keyed.PollPolicy {
		policy := policy()
		policy.RetryDelay = 10 * time.Second
		if followed := topic.Load(); followed != nil && followed.IsUnavailable() {
			policy.RetryDelay = 50 * time.Millisecond
		}
		return policy
	}
	followAt(t, policy, store, func(followed *keyed.Topic, changes func() []keyed.Change) {
		topic.Store(followed)
		settle()
		store.set(keyed.ErrUnanswered)
		settle()
		store.set(nil)
		store.put("a", "2")
		settle()
		assert.Assert(t, !followed.IsUnavailable())
	})
}

// Only the store confirms a topic. The state of another host does not.
func TestTopicIsConfirmedByTheStore(t *testing.T) {
	store := &memoryStore{isConfirming: true}
	store.put("a", "1")
	follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
		settle()
		assert.Assert(t, time.Since(topic.ConfirmedAt()) <= 100*time.Millisecond)
		store.set(keyed.ErrUnanswered)
		settle()
		lostAt := topic.ConfirmedAt()
		topic.Adopt(keyed.Snapshot{Position: at(2), Values: map[string][]byte{"a": []byte("2")}})
		settle()
		assert.Equal(t, topic.ConfirmedAt(), lostAt)
		batch, err := topic.Since(canceled(), at(2))
		assert.NilError(t, err)
		assert.Equal(t, batch.ConfirmedAt, lostAt)
		changes()
		store.set(nil)
		store.put("a", "2")
		store.put("a", "3")
		settle()
		assert.Equal(t, changes()[0].ConfirmedAt, lostAt)
		assert.Assert(t, time.Since(topic.ConfirmedAt()) <= 100*time.Millisecond)
	})
}

// canceled returns a context that is done.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
