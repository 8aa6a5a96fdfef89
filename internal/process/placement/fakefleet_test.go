package placement

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/version/bundle"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock runs events in virtual time.
type clock struct {
	now    time.Time
	events events
	seq    int
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, run})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// fakeRequest is a request with what only the bound may know.
type fakeRequest struct {
	Request
	tier     int
	budget   time.Duration
	output   int
	measured bool
	done     func(bool)
	first    func()

	uncached int
	answered time.Time
	ended    bool
	failed   bool
}

func (r *fakeRequest) inTime() bool {
	return !r.answered.IsZero() && !r.failed && (r.budget == 0 && r.ended || r.budget > 0 && !r.answered.After(r.Arrival.Add(r.budget)))
}

// fakeEngine batches continuously: prefill one by one, decode side by side.
type fakeEngine struct {
	clock       *clock
	spec        bundle.Endpoint
	fleet       *fakeFleet
	incarnation int
	coldUntil   time.Time
	downUntil   time.Time
	queue       []*fakeRequest
	prefilling  []*fakeRequest
	decoding    []*fakeRequest
	cache       map[uint64]*list.Element
	recent      list.List
	cached      int
	sequence    uint64
	log         []engine.CacheEvent
}

type cacheEntry struct {
	hash           uint64
	tokens, before int
}

const (
	cacheTokens  = 60000
	coldFor      = 8 * time.Second
	downFor      = 3 * time.Second
	coldSpeed    = 0.4
	batchPenalty = 0.03
)

func (e *fakeEngine) isCold() bool  { return e.clock.now.Before(e.coldUntil) }
func (e *fakeEngine) isDown() bool  { return e.clock.now.Before(e.downUntil) }
func (e *fakeEngine) inFlight() int { return len(e.queue) + len(e.decoding) + len(e.prefilling) }

// restart loses everything in flight and in the cache.
func (e *fakeEngine) restart(down time.Duration) {
	lost := slices.Concat(e.queue, e.decoding, e.prefilling)
	e.incarnation++
	e.queue, e.prefilling, e.decoding = nil, nil, nil
	e.cache, e.cached, e.log, e.sequence = map[uint64]*list.Element{}, 0, nil, 0
	e.recent.Init()
	e.downUntil = e.clock.now.Add(down)
	e.coldUntil = e.downUntil.Add(coldFor)
	for _, r := range lost {
		r.failed = true
		done := r.done
		e.clock.after(time.Millisecond, func() { done(false) })
	}
}

// submit takes a request; it returns false if the engine is down.
func (e *fakeEngine) submit(r *fakeRequest) bool {
	if e.isDown() {
		return false
	}
	e.queue = append(e.queue, r)
	if e.isCold() && e.inFlight() > e.spec.ColdSlots {
		e.fleet.overruns++
		e.restart(downFor)
		return true
	}
	e.next()
	return true
}

func (e *fakeEngine) speed() float64 {
	if e.isCold() {
		return coldSpeed
	}
	return 1
}

// next starts the next prefill.
func (e *fakeEngine) next() {
	if len(e.prefilling) > 0 || len(e.queue) == 0 || len(e.decoding) >= e.spec.MaxSlots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = append(e.prefilling, r)
	r.uncached = r.PromptTokens - e.lookup(r)
	e.fleet.account(e, r)
	e.store(r)
	e.later(overheadOfFake+secondsOf(float64(r.uncached)/(e.spec.PrefillTokensPerSecond*e.speed())), func() { e.prefilled(r) })
}

const overheadOfFake = 10 * time.Millisecond

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// later runs a step of this incarnation.
func (e *fakeEngine) later(d time.Duration, run func()) {
	incarnation := e.incarnation
	e.clock.after(d, func() {
		if e.incarnation == incarnation {
			run()
		}
	})
}

func (e *fakeEngine) prefilled(r *fakeRequest) {
	e.prefilling = nil
	r.answered = e.clock.now
	r.first()
	e.decoding = append(e.decoding, r)
	rate := e.spec.DecodeTokensPerSecond * e.speed() / (1 + batchPenalty*float64(len(e.decoding)))
	e.later(secondsOf(float64(r.output)/rate), func() { e.finish(r) })
	e.next()
}

func (e *fakeEngine) finish(r *fakeRequest) {
	e.decoding = slices.DeleteFunc(e.decoding, func(d *fakeRequest) bool { return d == r })
	r.ended = true
	r.done(true)
	e.next()
}

// lookup is how many prompt tokens are cached.
func (e *fakeEngine) lookup(r *fakeRequest) int {
	tokens := 0
	for _, p := range r.Prefixes {
		if _, found := e.cache[p.Hash]; found {
			tokens = p.Tokens
		}
	}
	return tokens
}

// store caches the prompt and evicts what was not used for longest.
func (e *fakeEngine) store(r *fakeRequest) {
	before := 0
	for _, p := range r.Prefixes {
		if known, found := e.cache[p.Hash]; found {
			e.recent.MoveToFront(known)
		} else {
			e.cache[p.Hash] = e.recent.PushFront(cacheEntry{p.Hash, p.Tokens, before})
			e.cached += p.Tokens - before
			e.publish(p.Hash, p.Tokens, false)
		}
		before = p.Tokens
	}
	e.recent.PushFront(cacheEntry{0, r.PromptTokens, before})
	e.cached += r.PromptTokens - before
	for e.cached > cacheTokens {
		last := e.recent.Remove(e.recent.Back()).(cacheEntry)
		e.cached -= last.tokens - last.before
		if last.hash != 0 {
			delete(e.cache, last.hash)
			e.publish(last.hash, last.tokens, true)
		}
	}
}

func (e *fakeEngine) publish(hash uint64, tokens int, evicted bool) {
	e.sequence++
	e.log = append(e.log, engine.CacheEvent{Sequence: e.sequence, Prefix: fmt.Sprintf("%x", hash), Tokens: tokens, Evicted: evicted})
}

// fakeFleet is the engines of one service and what was measured.
type fakeFleet struct {
	clock *clock
	// random draws the requests, noise all else, so that every policy gets the
	// same requests.
	random, noise *rand.Rand
	engines       []*fakeEngine
	requests      []*fakeRequest
	overruns      int
	// prefilled and elsewhere are tokens: all, and those cached elsewhere.
	prefilled, elsewhere float64
	groups               [][]scheduler.Prefix
}

func (f *fakeFleet) account(e *fakeEngine, r *fakeRequest) {
	if !r.measured {
		return
	}
	best := 0
	for _, other := range f.engines {
		if other != e {
			best = max(best, other.lookup(r))
		}
	}
	f.prefilled += float64(r.uncached)
	f.elsewhere += float64(max(best-(r.PromptTokens-r.uncached), 0))
}

// fakeKind describes a fleet of the brief.
type fakeKind struct {
	name    string
	workers int
	hosts   int
}

var fakeKinds = []fakeKind{{"voz-modelo", 10, 6}, {"usta-llm", 20, 8}}

const fakeDomains = 3

func newFakeFleet(kind fakeKind, seed uint64) *fakeFleet {
	f := &fakeFleet{clock: &clock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2))}
	for i := range kind.workers {
		spec := bundle.Endpoint{
			Name: fmt.Sprintf("w%02d", i), Service: "model", Version: "v1", Address: fmt.Sprintf("w%d:1", i),
			Domain: fmt.Sprintf("d%d", i%fakeDomains), ColdSlots: 2, MaxSlots: 8,
			PrefillTokensPerSecond: 3000, DecodeTokensPerSecond: 30,
		}
		if i%2 == 0 {
			spec.MaxSlots, spec.PrefillTokensPerSecond, spec.DecodeTokensPerSecond = 16, 8000, 60
		}
		e := &fakeEngine{clock: f.clock, fleet: f, spec: spec, cache: map[uint64]*list.Element{}}
		f.engines = append(f.engines, e)
	}
	for g := range 40 {
		short := 200 + f.random.IntN(400)
		long := short + 200 + f.random.IntN(2000)
		f.groups = append(f.groups, []scheduler.Prefix{{Hash: uint64(1 + g%5), Tokens: 200 + 50*(g%5)}, {Hash: uint64(100 + g), Tokens: long}})
	}
	return f
}

// fakeRoute is a kind of request of the brief.
type fakeRoute struct {
	route           string
	tier            int
	share           float64
	budget          time.Duration
	ownLow, ownHigh float64
	outLow, outHigh float64
}

var fakeRoutes = []fakeRoute{
	{route: "check", tier: 1, share: 0.35, budget: time.Second, ownLow: 20, ownHigh: 300, outLow: 5, outHigh: 40},
	{route: "script", tier: 2, share: 0.5, budget: 4 * time.Second, ownLow: 50, ownHigh: 2000, outLow: 60, outHigh: 600},
	{route: "summary", tier: 3, share: 0.15, ownLow: 300, ownHigh: 6000, outLow: 150, outHigh: 2000},
}

func (f *fakeFleet) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, f.random.Float64())
}

// request draws a request.
func (f *fakeFleet) request() *fakeRequest {
	x := f.random.Float64()
	route := fakeRoutes[len(fakeRoutes)-1]
	for _, r := range fakeRoutes {
		if x < r.share {
			route = r
			break
		}
		x -= r.share
	}
	group := f.groups[min(int(f.random.ExpFloat64()*10), len(f.groups)-1)]
	longest := group[len(group)-1].Tokens
	r := &fakeRequest{tier: route.tier, budget: route.budget, output: int(f.logUniform(route.outLow, route.outHigh))}
	r.Request = Request{
		Route: route.route, Team: fmt.Sprintf("t%d", min(int(f.random.ExpFloat64()*1.5), 4)),
		PromptTokens: longest + int(f.logUniform(route.ownLow, route.ownHigh)),
		Bytes:        1000, Prefixes: group, Arrival: f.clock.now,
	}
	return r
}

// capacity is how many requests a second the fleet bears: by its slots, and by
// its prefill with all shared prefixes cached.
func (f *fakeFleet) capacity() float64 {
	const draws = 4000
	output, prompt := 0.0, 0.0
	for range draws {
		r := f.request()
		output += float64(r.output) / draws
		prompt += float64(r.PromptTokens-r.Prefixes[len(r.Prefixes)-1].Tokens) / draws
	}
	bySlots, byPrefill := 0.0, 0.0
	for _, e := range f.engines {
		rate := e.spec.DecodeTokensPerSecond / (1 + batchPenalty*float64(e.spec.MaxSlots))
		bySlots += float64(e.spec.MaxSlots) * rate / output
		byPrefill += e.spec.PrefillTokensPerSecond / prompt
	}
	return min(bySlots, byPrefill)
}

// bundle is the fleet as configuration.
func (f *fakeFleet) bundle() *bundle.Bundle {
	b := &bundle.Bundle{Services: []bundle.Service{{Name: "model", Kind: bundle.KindEngine}}}
	for _, r := range fakeRoutes {
		b.Tiers = append(b.Tiers, bundle.Tier{Name: r.route, Rank: r.tier, FirstTokenMillis: int(r.budget.Milliseconds())})
		b.Routes = append(b.Routes, bundle.Route{Name: r.route, Service: "model", Tier: r.route, ExpectedOutputTokens: 100, MaxOutputTokens: int(r.outHigh)})
	}
	for _, e := range f.engines {
		b.Endpoints = append(b.Endpoints, e.spec)
	}
	for i := range 5 {
		b.Teams = append(b.Teams, bundle.Team{Name: fmt.Sprintf("t%d", i), Weight: 1 + 4/(i+1), QueueRequests: 400, QueueBytes: 1 << 22})
	}
	return b
}
