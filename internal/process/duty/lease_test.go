package duty

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
)

func position(era, offset uint64) keyed.Position { return keyed.Position{Era: era, Offset: offset} }

// fakeStore is a modelStore for leases.
type fakeStore struct {
	mu    sync.Mutex
	store modelStore
	calls int
	// lateBy delays the next append of a value, which gets no answer.
	lateBy time.Duration
}

func (f *fakeStore) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeStore) Newest(context.Context, keyed.Partition) (keyed.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.store.snapshot(), nil
}

func (f *fakeStore) Read(ctx context.Context, _ keyed.Partition, from keyed.Position, wait time.Duration) (keyed.Batch, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	for deadline := time.Now().Add(wait); ; pause.For(ctx, 10*time.Millisecond) {
		f.mu.Lock()
		batch, err := f.store.read(from)
		f.mu.Unlock()
		if err != nil || len(batch.Records) > 0 || ctx.Err() != nil || !time.Now().Before(deadline) {
			return batch, err
		}
	}
}

func (f *fakeStore) Append(_ context.Context, _ keyed.Partition, record keyed.Record, expectedEnd *uint64) (keyed.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if record.Key == claimKey || f.lateBy == 0 {
		return f.store.append(record, *expectedEnd)
	}
	at := *expectedEnd
	time.AfterFunc(f.lateBy, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = f.store.append(record, at)
	})
	f.lateBy = 0
	return keyed.Position{}, keyed.ErrUnanswered
}

// runLease runs a lease of a host until the test ends.
func runLease(t *testing.T, name string, store keyed.Store, isCandidate bool) *Lease {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l := NewLease(Config{Holder: name, Incarnation: 1, LeaseDuration: 3 * time.Second, IsFenced: true}, Ports{
		Store: store, Now: time.Now, TimeOfDay: time.Now, IsCandidate: func() bool { return isCandidate },
		Log: logrus.NewEntry(logger), Metrics: metrics.NewRegistry(),
	})
	go l.Run(t.Context()) //nolint:errcheck // Run never returns an error
	return l
}

// A value whose append was not answered is saved when it is saved again, also if the
// first append is added in between.
func TestSaveUnanswered(t *testing.T) {
	for _, lateBy := range []time.Duration{50 * time.Millisecond, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{store: modelStore{era: 1}}
			l := runLease(t, "a", store, true)
			assert.Assert(t, errors.Is(l.Save(t.Context(), "k", []byte("x")), keyed.ErrConflict))
			time.Sleep(5 * time.Second)
			grant, isHeld := l.Grant()
			assert.Assert(t, isHeld && grant.Holder == "a" && grant.Token > 1<<offsetBits)
			store.mu.Lock()
			store.lateBy = lateBy
			store.mu.Unlock()
			assert.Assert(t, errors.Is(l.Save(t.Context(), "k", []byte("first")), keyed.ErrUnanswered))
			_, found := l.Load("k")
			assert.Assert(t, !found)
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, l.Save(t.Context(), "k", []byte("second")))
			time.Sleep(20 * time.Second)
			value, _ := l.Load("k")
			assert.Equal(t, string(value), "second")
			snapshot, _ := store.Newest(t.Context(), keyed.Partition{})
			stored, _ := decodeSaved(snapshot.Values["k"])
			assert.Equal(t, string(stored.Value), "second")
			kept, isHeld := l.Grant()
			assert.Assert(t, isHeld && kept == grant)
		})
	}
}

// A stopping host sends nothing at once and releases the duties a moment later; its
// successor finds what it has saved.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{store: modelStore{era: 1}}
		first := runLease(t, "a", store, true)
		time.Sleep(5 * time.Second)
		assert.NilError(t, first.Save(t.Context(), "k", []byte("x")))
		next := runLease(t, "b", store, true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, next.Status().Holder, "a")
		first.Stop()
		_, isHeld := first.Grant()
		assert.Assert(t, !isHeld)
		assert.Assert(t, errors.Is(first.Save(t.Context(), "k", []byte("y")), keyed.ErrRefused))
		time.Sleep(releaseDelay + 1500*time.Millisecond)
		_, isHeld = next.Grant()
		assert.Assert(t, isHeld)
		value, _ := next.Load("k")
		assert.Equal(t, string(value), "x")
		assert.Assert(t, errors.Is(first.Save(t.Context(), "k", []byte("y")), keyed.ErrConflict))
	})
}

// A holder makes about one call a second, a candidate too, and the others none.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{store: modelStore{era: 1}}
		for _, name := range []string{"b", "c", "d"} {
			runLease(t, name, store, false)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, store.count(), 0)
		for i, name := range []string{"a", "e"} {
			runLease(t, name, store, true)
			time.Sleep(10 * time.Second)
			before := store.count()
			time.Sleep(time.Minute)
			calls := store.count() - before
			assert.Assert(t, calls >= 50*(i+1) && calls <= 62*(i+1), calls)
		}
	})
}
