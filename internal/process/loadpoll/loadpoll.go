// Package loadpoll polls the load reports and cache events of engines.
//
// Create a Poller with New, call Update with every new bundle, and call Run in
// the daemon's run group. The Poller passes reports to a Sink, in practice the
// placer.
package loadpoll

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

const (
	// pollInterval is the time between two polls of an engine.
	pollInterval = time.Second
	// pollTimeout is the timeout of one poll.
	pollTimeout = 800 * time.Millisecond
	// maxConcurrentPolls is the maximum number of concurrent polls.
	maxConcurrentPolls = 32
)

// EngineClient reads reports from engines by their address, IP:port.
type EngineClient interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	CacheEvents(ctx context.Context, address string, from uint64) (engine.CacheEvents, error)
}

// Sink receives what engines report.
type Sink interface {
	ObserveLoad(endpoint string, load engine.Load)
	ObserveCache(endpoint string, events engine.CacheEvents)
}

// Poller polls every engine of the bundle once per interval.
type Poller struct {
	client  EngineClient
	sink    Sink
	targets atomic.Pointer[[]target]

	mu      sync.Mutex
	cursors map[string]cursor
}

// target is an engine to poll.
type target struct{ name, address string }

// cursor is the position up to which an engine's cache events have been read.
type cursor struct {
	incarnation string
	next        uint64
}

// New returns a poller without targets.
func New(client EngineClient, sink Sink) *Poller {
	p := &Poller{client: client, sink: sink, cursors: map[string]cursor{}}
	p.targets.Store(&[]target{})
	return p
}

// Update sets the targets to the engines of a bundle. Plain services report no
// load and are not polled.
func (p *Poller) Update(b *bundle.Bundle) {
	isEngine := map[string]bool{}
	for _, s := range b.Services {
		isEngine[s.Name] = s.Kind == bundle.KindEngine
	}
	targets := []target{}
	for _, e := range b.Endpoints {
		if isEngine[e.Service] {
			targets = append(targets, target{e.Name, e.Address})
		}
	}
	p.targets.Store(&targets)
	p.dropStaleCursors(targets)
}

// dropStaleCursors drops the cursors of engines that are no longer targets.
func (p *Poller) dropStaleCursors(targets []target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := map[string]cursor{}
	for _, t := range targets {
		kept[t.name] = p.cursors[t.name]
	}
	p.cursors = kept
}

// Run polls until the context is done.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.pollAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollAll polls every engine once.
func (p *Poller) pollAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, t := range *p.targets.Load() {
		group.Go(func() error {
			p.poll(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

// poll reads the load and the cache events of one engine. Errors are ignored,
// because the next round polls the engine again.
func (p *Poller) poll(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.client.Load(ctx, t.address)
	if err != nil {
		return
	}
	p.sink.ObserveLoad(t.name, load)
	from := p.cursorFor(t.name, load.Incarnation)
	events, err := p.client.CacheEvents(ctx, t.address, from.next)
	if err != nil {
		return
	}
	p.sink.ObserveCache(t.name, events)
	p.advance(t.name, cursor{events.Incarnation, events.NextSequence})
}

// cursorFor returns the cursor from which to continue. A new incarnation is
// read from its start.
func (p *Poller) cursorFor(name, incarnation string) cursor {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.cursors[name]; known.incarnation == incarnation {
		return known
	}
	return cursor{incarnation: incarnation}
}

func (p *Poller) advance(name string, to cursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, tracked := p.cursors[name]; tracked {
		p.cursors[name] = to
	}
}
