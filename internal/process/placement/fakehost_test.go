package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/identity"
)

const (
	// meshLow and meshHigh bound the time of a message between hosts.
	meshLow, meshHigh = 300 * time.Microsecond, 1500 * time.Microsecond
	reportEvery       = time.Second
	reportLag         = 500 * time.Millisecond
	eventsEvery       = 2 * time.Second
	eventsGap         = 0.1
)

// fakeHost runs a core in virtual time.
type fakeHost struct {
	sim     *hosts
	core    *core
	flushAt bool
	cursor  []uint64
}

// hosts is the policy of this package: several hosts, each with its own stale
// view, and messages between them.
type hosts struct {
	fleet *fakeFleet
	list  []*fakeHost
	drop  float64
	// refused hears of the refusals of requests that waited.
	refused func(*fakeRequest, *Refusal)
}

// spreadHomes assigns the endpoints' homes to hosts in turn.
type spreadHomes struct {
	of map[string]Home
}

func (s *spreadHomes) Home(endpoint string) (Home, bool) {
	h, found := s.of[endpoint]
	return h, found
}

func newHosts(f *fakeFleet, count int) *hosts {
	h := &hosts{fleet: f}
	homes := &spreadHomes{of: map[string]Home{}}
	var ids []identity.Host
	for i := range count {
		ids = append(ids, testHost(string(rune('a'+i))))
	}
	for i, e := range f.engines {
		self := ids[i%count]
		homes.of[e.spec.Name] = Home{Host: self.Incarnation, MeshAddress: self.MeshAddress, Fence: 1}
	}
	random := rand.New(rand.NewPCG(f.noise.Uint64(), 2))
	for _, id := range ids {
		host := &fakeHost{sim: h, cursor: make([]uint64, len(f.engines))}
		host.core = newCore(id, homes, random.Uint64, newStats(nil), f.clock.now)
		host.core.update(f.clock.now, View{Bundle: f.bundle()})
		h.list = append(h.list, host)
	}
	for _, host := range h.list {
		host.tick()
		host.pollLoad()
		host.pollCache()
	}
	return h
}

func (h *fakeHost) clock() *clock { return h.sim.fleet.clock }

func (h *fakeHost) tick() {
	h.core.tick(h.clock().now)
	h.sendAll()
	h.clock().after(tickInterval, h.tick)
}

// touched schedules a flush, as the driver does.
func (h *fakeHost) touched() {
	h.sendAll()
	if h.flushAt {
		return
	}
	h.flushAt = true
	h.clock().after(flushDelay, func() {
		h.flushAt = false
		h.core.flush(h.clock().now)
		if !h.core.recheck.IsZero() {
			h.clock().after(max(h.core.recheck.Sub(h.clock().now), 0), h.touched)
		}
		h.sendAll()
	})
}

func (h *fakeHost) sendAll() {
	for _, e := range h.core.out.takeAll() {
		if h.sim.fleet.noise.Float64() < h.sim.drop {
			continue
		}
		delay := meshLow + time.Duration(h.sim.fleet.noise.Int64N(int64(meshHigh-meshLow)))
		from := peer{h.core.self, h.core.mesh}
		h.clock().after(delay, func() { h.sim.deliver(from, e) })
	}
}

func (h *hosts) deliver(from peer, e envelope) {
	for _, host := range h.list {
		if host.core.self == e.to.host {
			host.core.deliver(h.fleet.clock.now, from, e.message)
			host.touched()
		}
	}
}

// pollLoad brings stale load reports.
func (h *fakeHost) pollLoad() {
	f := h.sim.fleet
	for _, e := range f.engines {
		if e.isDown() {
			continue
		}
		load := e.load()
		load.AgeMillis = reportLag.Milliseconds()
		f.clock.after(reportLag, func() {
			h.core.observeLoad(f.clock.now, e.spec.Name, load)
			h.touched()
		})
	}
	f.clock.after(reportEvery, h.pollLoad)
}

func (e *fakeEngine) load() engine.Load {
	return engine.Load{Incarnation: string(rune('A' + e.incarnation)), Running: e.inFlight() - len(e.queue), Waiting: len(e.queue), CachedTokens: int64(e.cached)}
}

// pollCache brings late cache events with gaps.
func (h *fakeHost) pollCache() {
	f := h.sim.fleet
	for i, e := range f.engines {
		h.cursor[i] = min(h.cursor[i], e.sequence)
		batch := engine.CacheEvents{Incarnation: string(rune('A' + e.incarnation)), Next: e.sequence + 1}
		for _, event := range e.log[h.cursor[i]:] {
			if f.noise.Float64() >= eventsGap {
				batch.Events = append(batch.Events, event)
			}
		}
		h.cursor[i] = e.sequence
		f.clock.after(reportLag, func() { h.core.observeCache(f.clock.now, e.spec.Name, batch) })
	}
	f.clock.after(eventsEvery, h.pollCache)
}

func (h *hosts) arrive(r *fakeRequest) {
	host := h.list[h.fleet.noise.IntN(len(h.list))]
	host.place(r)
}

func (h *fakeHost) place(r *fakeRequest) {
	now := h.clock().now
	j, refusal := h.core.newJob(now, r.Request)
	if refusal != nil {
		return
	}
	t, refusal := h.core.quick(now, j)
	if refusal != nil {
		return
	}
	if t != nil {
		h.run(r, t)
		return
	}
	j.settle = func(t *ticket, refusal *Refusal) {
		if t != nil {
			h.run(r, t)
		} else if h.sim.refused != nil {
			h.sim.refused(r, refusal)
		}
	}
	h.core.wait(now, j)
	h.core.flush(now)
	h.touched()
}

// run sends a placed request to its engine.
func (h *fakeHost) run(r *fakeRequest, t *ticket) {
	e := h.sim.engineOf(t)
	end := func(outcome Outcome) {
		now := h.clock().now
		if t.end(now, Result{Outcome: outcome, OutputTokens: r.output}) && outcome != OutcomeDone {
			t.settle(now, outcome)
		}
		h.touched()
	}
	r.first = func() { t.firstToken(h.clock().now); h.touched() }
	r.done = func(whole bool) {
		if whole {
			end(OutcomeDone)
			return
		}
		end(OutcomeFailed)
	}
	h.clock().after(t.overdueAfter(), func() { t.overdue() })
	h.touched()
	h.clock().after(meshLow, func() {
		if e.submit(r) {
			return
		}
		end(OutcomeNotStarted)
		if h.core.budget.Allow() {
			h.place(r)
		}
	})
}

func (h *hosts) engineOf(t *ticket) *fakeEngine {
	i := slices.IndexFunc(h.fleet.engines, func(e *fakeEngine) bool { return e.spec.Name == t.endpoint.Name })
	return h.fleet.engines[i]
}
