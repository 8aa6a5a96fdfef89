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
	// tickInterval is the interval of time-driven work.
	tickInterval = 100 * time.Millisecond
	// flushDelay is how long changes are batched before they are reported.
	flushDelay = time.Millisecond
	// callTimeout is the timeout of a call to another host.
	callTimeout = 500 * time.Millisecond
	// maxConcurrentCalls limits the number of calls in flight to other hosts.
	maxConcurrentCalls = 64
)

// Config configures a Placer.
type Config struct {
	Self identity.Host
	// Homes may be nil; then this host is the home of every endpoint.
	Homes Homes
	// Caller sends messages to homes on other hosts. It may be nil if there are
	// none.
	Caller mesh.Caller
	// OnLimitChange is called with each limit that this host sets as the home
	// of an endpoint, before any slot is granted under it. It must not block
	// and may be nil.
	OnLimitChange func(LimitChange)
	// Metrics is the registry for the counters; nil means that they are not
	// exported.
	Metrics metrics.Registry
	// Now is the clock; nil means time.Now. It must return times with a
	// monotonic clock reading.
	Now func() time.Time
}

// Placer places requests. All methods are safe for concurrent use.
type Placer struct {
	config        Config
	stats         *stats
	wake          chan struct{}
	callSemaphore chan struct{}
	sends         sync.WaitGroup

	// mu guards the parts of core that are not lock-free.
	mu   sync.Mutex
	core *core
}

// New returns a Placer that refuses all requests until the first Update.
func New(config Config) *Placer {
	if config.Homes == nil {
		config.Homes = LocalHomes(config.Self)
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	st := newStats(config.Metrics)
	core := newCore(config.Self, config.Homes, nil, st, config.Now())
	core.onLimitChange = config.OnLimitChange
	return &Placer{
		config:        config,
		stats:         st,
		wake:          make(chan struct{}, 1),
		callSemaphore: make(chan struct{}, maxConcurrentCalls),
		core:          core,
	}
}

// Run renews grants and sends messages to other hosts until the context ends.
// It returns when no call is in flight.
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

// step runs one step of the core and sends the resulting messages.
func (p *Placer) step(ctx context.Context, run func(time.Time)) {
	p.mu.Lock()
	run(p.config.Now())
	sent := p.core.outbox.drain()
	if !p.core.recheckAt.IsZero() {
		time.AfterFunc(p.core.recheckAt.Sub(p.config.Now()), p.signal)
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

// Update applies a new configuration view. Endpoints that are missing from it
// or excluded get no new requests; requests in flight continue.
func (p *Placer) Update(view View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.core.update(now, view)
	p.core.flush(now)
	p.core.dispatchAllWaiting(now)
	p.signal()
}

// Place waits for a slot at an endpoint. Exactly one result is non-nil. The
// caller must end the placement with Done.
func (p *Placer) Place(ctx context.Context, request Request) (*Placement, *Refusal) {
	j, refusal := p.core.newJob(p.config.Now(), request)
	if refusal != nil {
		return nil, p.countRefusal(refusal)
	}
	return p.place(ctx, j)
}

// place places a job that has not been started at any endpoint.
func (p *Placer) place(ctx context.Context, j *job) (*Placement, *Refusal) {
	a, refusal := p.core.tryPlace(p.config.Now(), j)
	if refusal != nil {
		return nil, p.countRefusal(refusal)
	}
	if a != nil {
		p.signal()
		return p.newPlacement(a), nil
	}
	return p.enqueueAndWait(ctx, j)
}

// waitResult is the result of waiting in the queue.
type waitResult struct {
	attempt *attempt
	refusal *Refusal
}

// enqueueAndWait queues the job and waits for its result.
func (p *Placer) enqueueAndWait(ctx context.Context, j *job) (*Placement, *Refusal) {
	start := p.config.Now()
	p.stats.waited.Inc(1)
	result := make(chan waitResult, 1)
	j.onResult = func(a *attempt, r *Refusal) { result <- waitResult{a, r} }
	p.mu.Lock()
	p.core.enqueue(start, j)
	p.core.flush(start)
	p.mu.Unlock()
	p.signal()
	select {
	case <-ctx.Done():
		return p.cancelWait(j, result)
	case s := <-result:
		p.stats.waitMillis.Update(p.config.Now().Sub(start).Milliseconds())
		return p.finishWait(s)
	}
}

// cancelWait ends the wait for a request whose context was canceled. If a slot
// was assigned in the meantime, the placement is returned as usual and must be
// ended with Done.
func (p *Placer) cancelWait(j *job, result chan waitResult) (*Placement, *Refusal) {
	p.mu.Lock()
	canceled := p.core.cancel(j)
	p.mu.Unlock()
	if canceled {
		p.signal()
		return nil, p.countRefusal(&Refusal{Reason: ReasonCanceled})
	}
	return p.finishWait(<-result)
}

func (p *Placer) finishWait(result waitResult) (*Placement, *Refusal) {
	if result.refusal != nil {
		return nil, p.countRefusal(result.refusal)
	}
	p.signal()
	return p.newPlacement(result.attempt), nil
}

func (p *Placer) countRefusal(refusal *Refusal) *Refusal {
	p.stats.refused[refusal.Reason].Inc(1)
	return refusal
}

// ObserveLoad processes a load report of an engine.
func (p *Placer) ObserveLoad(endpoint string, load engine.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.observeLoad(p.config.Now(), endpoint, load)
	p.signal()
}

// ObserveCache processes a batch of cache events of an engine.
func (p *Placer) ObserveCache(endpoint string, events engine.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.observeCache(p.config.Now(), endpoint, events)
}

// Leave stops accepting requests and returns the unused slots of this host.
// Waiting requests are refused with ReasonLeaving.
func (p *Placer) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.leave()
	p.signal()
}
