package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// delayedStore is a store without new records whose replies take a time, and of which
// reads get no reply while silent is set and they wait.
type delayedStore struct {
	keyed.Store
	latency  time.Duration
	isSilent bool
	// changeInterval is the time between changes, which end the wait of a read; 0 if there
	// are none.
	changeInterval time.Duration
	calls          atomic.Int64
}

func (s *delayedStore) Read(ctx context.Context, _ keyed.Partition, from keyed.Position, wait time.Duration) (keyed.Batch, error) {
	s.calls.Add(1)
	sentAt := time.Now()
	duration := wait + s.latency
	if s.isSilent && wait > 0 {
		duration = time.Hour
	}
	hasChanged := s.changeInterval > 0 && duration > s.changeInterval
	if hasChanged {
		duration, wait = s.changeInterval, 0
	}
	select {
	case <-ctx.Done():
		return keyed.Batch{}, keyed.ErrUnanswered
	case <-time.After(duration):
		return keyed.Batch{Next: from, ConfirmedAt: sentAt.Add(wait)}, nil
	}
}

// follow reads the operator's topic for a time as a host does that reads for others. It
// returns the longest time for which the topic was not confirmed.
func follow(t *testing.T, reads *logReads, store *delayedStore, duration time.Duration) time.Duration {
	t.Helper()
	startedAt := time.Now()
	confirmedAt, longest := startedAt, time.Duration(0)
	for time.Since(startedAt) < duration {
		wait := reads.operatorWait(time.Since(confirmedAt))
		ctx, cancel := context.WithTimeout(t.Context(), wait+operatorPollPolicy.ResponseTimeout)
		batch, err := reads.read(ctx, store, keyed.Partition{Topic: "op"}, at(7), wait)
		cancel()
		assert.NilError(t, err)
		longest = max(longest, time.Since(confirmedAt))
		confirmedAt = batch.ConfirmedAt
	}
	return longest
}

// An idle topic costs about one call a wait, and is confirmed before it counts as
// unconfirmed, at a slow store and over a connection that has gone silent too.
func TestConfirmationOfAnIdleTopic(t *testing.T) {
	const duration = 30 * time.Second
	for name, test := range map[string]struct {
		store    *delayedStore
		maxCalls int64
		maxAge   time.Duration
	}{
		"fast store":        {store: &delayedStore{latency: 10 * time.Millisecond}, maxCalls: 34, maxAge: maxUnconfirmed},
		"slow store":        {store: &delayedStore{latency: 250 * time.Millisecond}, maxCalls: 45, maxAge: maxUnconfirmed},
		"silent connection": {store: &delayedStore{latency: 10 * time.Millisecond, isSilent: true}, maxCalls: 60, maxAge: maxUnconfirmed + 100*time.Millisecond},
		"changes":           {store: &delayedStore{latency: 10 * time.Millisecond, changeInterval: 700 * time.Millisecond}, maxCalls: 70, maxAge: maxUnconfirmed},
		"both":              {store: &delayedStore{latency: 250 * time.Millisecond, isSilent: true}, maxCalls: 90, maxAge: maxUnconfirmed + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := &logReads{}
				follow(t, reads, test.store, 5*time.Second) // until the latency is known
				test.store.calls.Store(0)
				age := follow(t, reads, test.store, duration)
				assert.Assert(t, age < test.maxAge, "unconfirmed for %v", age)
				calls := test.store.calls.Load()
				assert.Assert(t, calls <= test.maxCalls, "%d calls", calls)
			})
		})
	}
}

// A host whose reader falls silent reads the log itself soon after what it knows counts as
// unconfirmed.
func TestSilentReaderIsNoticed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	defer server.Close()
	for _, age := range []time.Duration{0, 400 * time.Millisecond, maxUnconfirmed - 100*time.Millisecond, 2 * maxUnconfirmed} {
		confirmedAt := time.Now().Add(-age)
		follower := newTopicStore(keyed.Snapshot{Position: at(7), ConfirmedAt: confirmedAt})
		_, err := follower.readFromHost(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), keyed.Partition{Topic: "op"}, at(7))
		assert.Assert(t, err != nil)
		limit := max(maxUnconfirmed, age+relayMinWait) + relayReplyTimeout + 200*time.Millisecond
		assert.Assert(t, time.Since(confirmedAt) < limit, "noticed %v after %v", time.Since(confirmedAt), age)
	}
}

// A reader waits as long as the other host asks for, and relayMaxWait if it is
// of a version that sends no wait.
func TestRelayWait(t *testing.T) {
	for query, want := range map[string]time.Duration{"": relayMaxWait, "?wait=120": 120 * time.Millisecond, "?wait=0": 0, "?wait=9000": relayMaxWait, "?wait=x": relayMaxWait, "?wait=-1": relayMaxWait} {
		assert.Equal(t, relayWait(httptest.NewRequest(http.MethodGet, recordsPath+query, nil).URL.Query()), want, query)
	}
}
