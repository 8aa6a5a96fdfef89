package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/identity"
)

// policy sends requests to the engines of a fleet.
type policy interface {
	arrive(r *fakeRequest)
}

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

// direct sends each request at once to the engine that choose returns.
type direct struct {
	fleet  *fakeFleet
	choose func(host int) int
	hosts  int
	sent   func(host, engine int)
}

func (d *direct) arrive(r *fakeRequest) {
	host := d.fleet.noise.IntN(d.hosts)
	for range len(d.fleet.engines) {
		i := d.choose(host)
		r.first, r.done = func() {}, func(bool) {}
		d.sent(host, i)
		if d.fleet.engines[i].submit(r) {
			return
		}
	}
}

func newRoundRobin(f *fakeFleet, count int) policy {
	next := make([]int, count)
	for i := range next {
		next[i] = f.noise.IntN(len(f.engines))
	}
	return &direct{fleet: f, hosts: count, sent: func(int, int) {}, choose: func(host int) int {
		next[host]++
		return next[host] % len(f.engines)
	}}
}

// newLeastLoad goes by the last load report and the own requests sent since.
func newLeastLoad(f *fakeFleet, count int) policy {
	load := make([][]float64, count)
	for i := range load {
		load[i] = make([]float64, len(f.engines))
	}
	var poll func()
	poll = func() {
		for i, e := range f.engines {
			inFlight, down := float64(e.inFlight()), e.isDown()
			f.clock.after(reportLag, func() {
				for h := range load {
					load[h][i] = inFlight
					if down {
						load[h][i] = 1000
					}
				}
			})
		}
		f.clock.after(reportEvery, poll)
	}
	poll()
	return &direct{fleet: f, hosts: count, sent: func(h, i int) { load[h][i]++ }, choose: func(h int) int {
		at := f.noise.IntN(len(f.engines))
		for i := range f.engines {
			if load[h][i] < load[h][at] {
				at = i
			}
		}
		return at
	}}
}

// bound knows lengths and loads exactly and has one queue for all.
type bound struct {
	fleet   *fakeFleet
	waiting []*fakeRequest
}

func (b *bound) arrive(r *fakeRequest) {
	at, _ := slices.BinarySearchFunc(b.waiting, r, func(x, y *fakeRequest) int {
		if x.tier != y.tier {
			return x.tier - y.tier
		}
		return x.Arrival.Compare(y.Arrival)
	})
	b.waiting = slices.Insert(b.waiting, at, r)
	b.pump()
}

func (b *bound) pump() {
	for i := 0; i < len(b.waiting); i++ {
		r := b.waiting[i]
		e, timely := b.best(r)
		if e == nil && timely {
			return
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		i--
		if e == nil {
			continue
		}
		r.first, r.done = func() {}, func(bool) { b.pump() }
		e.submit(r)
	}
}

// best is the engine with a free slot that answers soonest with the least
// waste; timely is false if none ever can.
func (b *bound) best(r *fakeRequest) (best *fakeEngine, timely bool) {
	cost := time.Duration(0)
	for _, e := range b.fleet.engines {
		own := float64(r.PromptTokens-e.lookup(r)) / e.spec.PrefillTokensPerSecond
		idle := overheadOfFake + secondsOf(own/e.speed())
		left := r.Arrival.Add(r.budget).Sub(b.fleet.clock.now)
		timely = timely || r.budget == 0 || idle <= left
		limit := e.spec.MaxSlots
		if e.isCold() {
			limit = e.spec.ColdSlots
		}
		first := idle + e.backlog()
		if e.isDown() || e.inFlight() >= limit || r.budget > 0 && first > left {
			continue
		}
		total := first + secondsOf(own) + secondsOf(float64(r.output)/e.spec.DecodeTokensPerSecond)/5
		if best == nil || total < cost {
			best, cost = e, total
		}
	}
	return best, timely
}

// backlog is the prefill time ahead of a new request, at most.
func (e *fakeEngine) backlog() time.Duration {
	tokens := 0
	if e.prefilling != nil {
		tokens += e.prefilling.uncached
	}
	for _, r := range e.queue {
		tokens += r.PromptTokens - e.lookup(r)
	}
	return secondsOf(float64(tokens) / (e.spec.PrefillTokensPerSecond * e.speed()))
}
