package loadpoll

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

// fakeEngine simulates an engine. A change of its incarnation simulates a
// restart.
type fakeEngine struct {
	incarnation string
	down        bool
	offsets     []uint64
}

func (f *fakeEngine) Load(context.Context, string) (engine.Load, error) {
	if f.down {
		return engine.Load{}, errors.New("down")
	}
	return engine.Load{Incarnation: f.incarnation}, nil
}

func (f *fakeEngine) CacheEvents(_ context.Context, _ string, from uint64) (engine.CacheEvents, error) {
	f.offsets = append(f.offsets, from)
	return engine.CacheEvents{Incarnation: f.incarnation, NextSequence: from + 5}, nil
}

type fakeSink struct{ loads, caches []string }

func (f *fakeSink) ObserveLoad(endpoint string, load engine.Load) {
	f.loads = append(f.loads, endpoint+load.Incarnation)
}
func (f *fakeSink) ObserveCache(endpoint string, _ engine.CacheEvents) {
	f.caches = append(f.caches, endpoint)
}

// TestCacheEventCursorRestartsWithTheEngine checks that polls continue where
// the last one ended, start over when the engine restarts, and skip plain
// services.
func TestCacheEventCursorRestartsWithTheEngine(t *testing.T) {
	fake, sink := &fakeEngine{incarnation: "A"}, &fakeSink{}
	p := New(fake, sink)
	p.Update(&bundle.Bundle{
		Services:  []bundle.Service{{Name: "m", Kind: bundle.KindEngine}, {Name: "s", Kind: bundle.KindPlain}},
		Endpoints: []bundle.Endpoint{{Name: "e", Service: "m"}, {Name: "p", Service: "s"}},
	})
	p.pollAll(t.Context())
	p.pollAll(t.Context())
	fake.incarnation = "B"
	p.pollAll(t.Context())
	fake.down = true
	p.pollAll(t.Context())
	assert.DeepEqual(t, fake.offsets, []uint64{0, 5, 0})
	assert.DeepEqual(t, sink.loads, []string{"eA", "eA", "eB"})
	assert.Equal(t, len(sink.caches), 3)
}
