package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/identity"
)

const (
	// minMeshDelay and maxMeshDelay bound the delay of a message between hosts.
	minMeshDelay, maxMeshDelay = 300 * time.Microsecond, 1500 * time.Microsecond
	loadPollInterval           = time.Second
	reportLag                  = 500 * time.Millisecond
	cachePollInterval          = 2 * time.Second
	cacheEventLoss             = 0.1
)

// simulatedHost drives a core in virtual time.
type simulatedHost struct {
	sim            *simulatedHosts
	core           *core
	flushScheduled bool
	cacheCursors   []uint64
}

// simulatedHosts is the policy under test: several hosts that exchange
// messages, each with its own stale view of the fleet.
type simulatedHosts struct {
	fleet       *fakeFleet
	hosts       []*simulatedHost
	messageLoss float64
	// onRefused is called when a queued request is refused; it may be nil.
	onRefused func(*fakeRequest, *Refusal)
}

// staticHomes is a fixed assignment of endpoints to home hosts.
type staticHomes struct {
	byEndpoint map[string]Home
}

func (s *staticHomes) Home(endpoint string) (Home, bool) {
	h, found := s.byEndpoint[endpoint]
	return h, found
}

func newSimulatedHosts(f *fakeFleet, count int) *simulatedHosts {
	h := &simulatedHosts{fleet: f}
	homes := &staticHomes{byEndpoint: map[string]Home{}}
	var ids []identity.Host
	for i := range count {
		ids = append(ids, testHost(string(rune('a'+i))))
	}
	for i, e := range f.engines {
		self := ids[i%count]
		homes.byEndpoint[e.spec.Name] = Home{Host: self.Incarnation, MeshAddress: self.MeshAddress, Fence: 1}
	}
	random := rand.New(rand.NewPCG(f.policyRandom.Uint64(), 2))
	for _, id := range ids {
		host := &simulatedHost{sim: h, cacheCursors: make([]uint64, len(f.engines))}
		host.core = newCore(id, homes, random.Uint64, newStats(nil), f.clock.now)
		host.core.update(f.clock.now, View{Bundle: f.bundle()})
		h.hosts = append(h.hosts, host)
	}
	for _, host := range h.hosts {
		host.tick()
		host.pollLoad()
		host.pollCache()
	}
	return h
}

func (h *simulatedHost) clock() *clock { return h.sim.fleet.clock }

func (h *simulatedHost) tick() {
	h.core.tick(h.clock().now)
	h.sendAll()
	h.clock().after(tickInterval, h.tick)
}

// scheduleFlush sends pending messages and schedules a flush, as Placer does.
func (h *simulatedHost) scheduleFlush() {
	h.sendAll()
	if h.flushScheduled {
		return
	}
	h.flushScheduled = true
	h.clock().after(flushDelay, func() {
		h.flushScheduled = false
		h.core.flush(h.clock().now)
		if !h.core.recheckAt.IsZero() {
			h.clock().after(max(h.core.recheckAt.Sub(h.clock().now), 0), h.scheduleFlush)
		}
		h.sendAll()
	})
}

func (h *simulatedHost) sendAll() {
	for _, e := range h.core.outbox.drain() {
		if h.sim.fleet.policyRandom.Float64() < h.sim.messageLoss {
			continue
		}
		delay := minMeshDelay + time.Duration(h.sim.fleet.policyRandom.Int64N(int64(maxMeshDelay-minMeshDelay)))
		from := peer{h.core.self, h.core.meshAddress}
		h.clock().after(delay, func() { h.sim.deliver(from, e) })
	}
}

func (h *simulatedHosts) deliver(from peer, e envelope) {
	for _, host := range h.hosts {
		if host.core.self == e.to.host {
			host.core.receive(h.fleet.clock.now, from, e.message)
			host.scheduleFlush()
		}
	}
}

// pollLoad delivers load reports with a delay.
func (h *simulatedHost) pollLoad() {
	f := h.sim.fleet
	for _, e := range f.engines {
		if e.isDown() {
			continue
		}
		load := e.load()
		load.AgeMillis = reportLag.Milliseconds()
		f.clock.after(reportLag, func() {
			h.core.observeLoad(f.clock.now, e.spec.Name, load)
			h.scheduleFlush()
		})
	}
	f.clock.after(loadPollInterval, h.pollLoad)
}

func (e *fakeEngine) load() engine.Load {
	return engine.Load{Incarnation: string(rune('A' + e.incarnation)), Running: e.inFlight() - len(e.queue), Waiting: len(e.queue), CachedTokens: int64(e.cachedTokens)}
}

// pollCache delivers cache events with a delay and random gaps.
func (h *simulatedHost) pollCache() {
	f := h.sim.fleet
	for i, e := range f.engines {
		h.cacheCursors[i] = min(h.cacheCursors[i], e.sequence)
		batch := engine.CacheEvents{Incarnation: string(rune('A' + e.incarnation)), NextSequence: e.sequence + 1}
		for _, event := range e.cacheEvents[h.cacheCursors[i]:] {
			if f.policyRandom.Float64() >= cacheEventLoss {
				batch.Events = append(batch.Events, event)
			}
		}
		h.cacheCursors[i] = e.sequence
		f.clock.after(reportLag, func() { h.core.observeCache(f.clock.now, e.spec.Name, batch) })
	}
	f.clock.after(cachePollInterval, h.pollCache)
}

func (h *simulatedHosts) arrive(r *fakeRequest) {
	host := h.hosts[h.fleet.policyRandom.IntN(len(h.hosts))]
	host.place(r)
}

func (h *simulatedHost) place(r *fakeRequest) {
	now := h.clock().now
	j, refusal := h.core.newJob(now, r.Request)
	if refusal != nil {
		return
	}
	a, refusal := h.core.tryPlace(now, j)
	if refusal != nil {
		return
	}
	if a != nil {
		h.send(r, a)
		return
	}
	j.onResult = func(a *attempt, refusal *Refusal) {
		if a != nil {
			h.send(r, a)
		} else if h.sim.onRefused != nil {
			h.sim.onRefused(r, refusal)
		}
	}
	h.core.enqueue(now, j)
	h.core.flush(now)
	h.scheduleFlush()
}

// send sends a placed request to its engine.
func (h *simulatedHost) send(r *fakeRequest, a *attempt) {
	e := h.sim.engineOf(a)
	end := func(outcome Outcome) {
		now := h.clock().now
		if a.end(now, Result{Outcome: outcome, OutputTokens: r.outputTokens}) && outcome != OutcomeDone {
			a.recordAbnormalEnd(now, outcome)
		}
		h.scheduleFlush()
	}
	r.onFirstToken = func() { a.recordFirstToken(h.clock().now); h.scheduleFlush() }
	r.onDone = func(complete bool) {
		if complete {
			end(OutcomeDone)
			return
		}
		end(OutcomeFailed)
	}
	h.clock().after(a.overdueTimeout(), func() { a.recordOverdue() })
	h.scheduleFlush()
	h.clock().after(minMeshDelay, func() {
		if e.submit(r) {
			return
		}
		end(OutcomeNotStarted)
		if h.core.retryBudget.TryTake() {
			h.place(r)
		}
	})
}

func (h *simulatedHosts) engineOf(a *attempt) *fakeEngine {
	i := slices.IndexFunc(h.fleet.engines, func(e *fakeEngine) bool { return e.spec.Name == a.endpoint.Name })
	return h.fleet.engines[i]
}
