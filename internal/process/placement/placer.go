package placement

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/pause"
)

const (
	// tickInterval is how often time alone is looked at.
	tickInterval = 100 * time.Millisecond
	// flushDelay is how long changes are collected before they are reported.
	flushDelay = time.Millisecond
	// callTimeout bounds a message to another host.
	callTimeout = 500 * time.Millisecond
	// maxCalls bounds the messages under way at once.
	maxCalls = 64
)

// Config is what a Placer is made of.
type Config struct {
	Self identity.Host
	// Homes may be nil; then this host is the home of every endpoint.
	Homes Homes
	// Caller sends messages to homes on other hosts; it may be nil if there
	// are none.
	Caller mesh.Caller
	// NotifyLimit is told of the limits that this host sets as the home of an
	// endpoint, before any slot is granted under them. It must not block and
	// may be nil.
	NotifyLimit func(LimitChange)
	// Metrics takes the counters; nil means none.
	Metrics metrics.Registry
	// Now is the clock; nil means time.Now. Its times must carry the monotonic
	// clock.
	Now func() time.Time
}

// Placer places requests. All methods are safe for concurrent use.
type Placer struct {
	config Config
	stats  *stats
	wake   chan struct{}
	calls  chan struct{}
	sends  sync.WaitGroup

	// mu guards what is not lock-free in core.
	mu   sync.Mutex
	core *core
}

// New returns a Placer that refuses everything until the first Update.
func New(config Config) *Placer {
	if config.Homes == nil {
		config.Homes = LocalHomes(config.Self)
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	st := newStats(config.Metrics)
	core := newCore(config.Self, config.Homes, nil, st, config.Now())
	core.notifyLimit = config.NotifyLimit
	return &Placer{
		config: config,
		stats:  st,
		wake:   make(chan struct{}, 1),
		calls:  make(chan struct{}, maxCalls),
		core:   core,
	}
}

// Run keeps grants fresh and sends messages to other hosts until the context
// ends. It returns when no message is under way any more.
func (p *Placer) Run(ctx context.Context) error {
	defer p.sends.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.step(ctx, p.core.tick)
		case <-p.wake:
			p.step(ctx, p.core.flush)
			pause.For(ctx, flushDelay)
		}
	}
}

// step runs one step of the core and sends what it says to other hosts.
func (p *Placer) step(ctx context.Context, run func(time.Time)) {
	p.mu.Lock()
	run(p.config.Now())
	sent := p.core.out.takeAll()
	if !p.core.recheck.IsZero() {
		time.AfterFunc(p.core.recheck.Sub(p.config.Now()), p.signal)
	}
	p.mu.Unlock()
	for _, e := range sent {
		p.send(ctx, e)
	}
}

// signal wakes Run.
func (p *Placer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Update takes a new configuration view. Endpoints that it leaves out or
// marks as out get no new request from then on; what is in flight goes on.
func (p *Placer) Update(view View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.core.update(now, view)
	p.core.flush(now)
	p.core.pumpAll(now)
	p.signal()
}

// Place waits for an endpoint and a slot. Exactly one result is not nil. The
// caller must end the placement with Done.
func (p *Placer) Place(ctx context.Context, request Request) (*Placement, *Refusal) {
	j, refusal := p.core.newJob(p.config.Now(), request)
	if refusal != nil {
		return nil, p.refused(refusal)
	}
	return p.place(ctx, j)
}

// place places a new job or one that no endpoint has started.
func (p *Placer) place(ctx context.Context, j *job) (*Placement, *Refusal) {
	t, refusal := p.core.quick(p.config.Now(), j)
	if refusal != nil {
		return nil, p.refused(refusal)
	}
	if t != nil {
		p.signal()
		return p.placed(t), nil
	}
	return p.wait(ctx, j)
}

// settled is the end of a wait.
type settled struct {
	ticket  *ticket
	refusal *Refusal
}

// wait takes the long way.
func (p *Placer) wait(ctx context.Context, j *job) (*Placement, *Refusal) {
	began := p.config.Now()
	p.stats.waited.Inc(1)
	result := make(chan settled, 1)
	j.settle = func(t *ticket, r *Refusal) { result <- settled{t, r} }
	p.mu.Lock()
	p.core.wait(began, j)
	p.core.flush(began)
	p.mu.Unlock()
	p.signal()
	select {
	case <-ctx.Done():
		return p.abandon(j, result)
	case s := <-result:
		p.stats.wait.Update(p.config.Now().Sub(began).Milliseconds())
		return p.ended(s)
	}
}

// abandon ends a wait whose caller has gone. A slot that came at the same time
// is used all the same; the caller gives it back.
func (p *Placer) abandon(j *job, result chan settled) (*Placement, *Refusal) {
	p.mu.Lock()
	canceled := p.core.cancel(j)
	p.mu.Unlock()
	if canceled {
		p.signal()
		return nil, p.refused(&Refusal{Reason: ReasonCanceled})
	}
	return p.ended(<-result)
}

func (p *Placer) ended(s settled) (*Placement, *Refusal) {
	if s.refusal != nil {
		return nil, p.refused(s.refusal)
	}
	p.signal()
	return p.placed(s.ticket), nil
}

func (p *Placer) refused(refusal *Refusal) *Refusal {
	p.stats.refused[refusal.Reason].Inc(1)
	return refusal
}

// ObserveLoad takes an engine's load report.
func (p *Placer) ObserveLoad(endpoint string, load engine.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.observeLoad(p.config.Now(), endpoint, load)
	p.signal()
}

// ObserveCache takes a part of an engine's cache events.
func (p *Placer) ObserveCache(endpoint string, events engine.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.observeCache(p.config.Now(), endpoint, events)
}

// Leave makes this host refuse new work and give back its idle slots. What
// waits is refused with ReasonLeaving.
func (p *Placer) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.leave()
	p.signal()
}
