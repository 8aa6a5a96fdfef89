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

// event is a callback scheduled at a virtual time.
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

// fakeRequest is a request with its actual output length and its measured
// results. Among the policies, only upperBound uses the output length.
type fakeRequest struct {
	Request
	tier         int
	budget       time.Duration
	outputTokens int
	measured     bool
	onDone       func(bool)
	onFirstToken func()

	uncachedTokens int
	firstTokenAt   time.Time
	ended          bool
	failed         bool
}

func (r *fakeRequest) metDeadline() bool {
	return !r.firstTokenAt.IsZero() && !r.failed && (r.budget == 0 && r.ended || r.budget > 0 && !r.firstTokenAt.After(r.Arrival.Add(r.budget)))
}

// fakeEngine simulates continuous batching: prefills run one at a time, decodes
// run concurrently.
type fakeEngine struct {
	clock        *clock
	spec         bundle.Endpoint
	fleet        *fakeFleet
	incarnation  int
	coldUntil    time.Time
	downUntil    time.Time
	queue        []*fakeRequest
	prefilling   []*fakeRequest
	decoding     []*fakeRequest
	cache        map[uint64]*list.Element
	lru          list.List
	cachedTokens int
	sequence     uint64
	cacheEvents  []engine.CacheEvent
}

type cacheEntry struct {
	hash                 uint64
	tokens, parentTokens int
}

const (
	cacheTokens  = 60000
	coldDuration = 8 * time.Second
	downDuration = 3 * time.Second
	coldSpeed    = 0.4
	batchPenalty = 0.03
)

func (e *fakeEngine) isCold() bool  { return e.clock.now.Before(e.coldUntil) }
func (e *fakeEngine) isDown() bool  { return e.clock.now.Before(e.downUntil) }
func (e *fakeEngine) inFlight() int { return len(e.queue) + len(e.decoding) + len(e.prefilling) }

// restart fails all requests in flight and clears the cache.
func (e *fakeEngine) restart(down time.Duration) {
	lost := slices.Concat(e.queue, e.decoding, e.prefilling)
	e.incarnation++
	e.queue, e.prefilling, e.decoding = nil, nil, nil
	e.cache, e.cachedTokens, e.cacheEvents, e.sequence = map[uint64]*list.Element{}, 0, nil, 0
	e.lru.Init()
	e.downUntil = e.clock.now.Add(down)
	e.coldUntil = e.downUntil.Add(coldDuration)
	for _, r := range lost {
		r.failed = true
		done := r.onDone
		e.clock.after(time.Millisecond, func() { done(false) })
	}
}

// submit accepts a request; it returns false if the engine is down. A cold
// engine that exceeds its cold limit crashes.
func (e *fakeEngine) submit(r *fakeRequest) bool {
	if e.isDown() {
		return false
	}
	e.queue = append(e.queue, r)
	if e.isCold() && e.inFlight() > e.spec.ColdSlots {
		e.fleet.overruns++
		e.restart(downDuration)
		return true
	}
	e.startNextPrefill()
	return true
}

func (e *fakeEngine) speed() float64 {
	if e.isCold() {
		return coldSpeed
	}
	return 1
}

// startNextPrefill starts the prefill of the next queued request.
func (e *fakeEngine) startNextPrefill() {
	if len(e.prefilling) > 0 || len(e.queue) == 0 || len(e.decoding) >= e.spec.MaxSlots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = append(e.prefilling, r)
	r.uncachedTokens = r.PromptTokens - e.lookup(r)
	e.fleet.recordPrefill(e, r)
	e.store(r)
	e.schedule(requestOverhead+toDuration(float64(r.uncachedTokens)/(e.spec.PrefillTokensPerSecond*e.speed())), func() { e.finishPrefill(r) })
}

const requestOverhead = 10 * time.Millisecond

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// schedule runs a callback after a delay unless the engine has restarted by
// then.
func (e *fakeEngine) schedule(d time.Duration, run func()) {
	incarnation := e.incarnation
	e.clock.after(d, func() {
		if e.incarnation == incarnation {
			run()
		}
	})
}

func (e *fakeEngine) finishPrefill(r *fakeRequest) {
	e.prefilling = nil
	r.firstTokenAt = e.clock.now
	r.onFirstToken()
	e.decoding = append(e.decoding, r)
	rate := e.spec.DecodeTokensPerSecond * e.speed() / (1 + batchPenalty*float64(len(e.decoding)))
	e.schedule(toDuration(float64(r.outputTokens)/rate), func() { e.finish(r) })
	e.startNextPrefill()
}

func (e *fakeEngine) finish(r *fakeRequest) {
	e.decoding = slices.DeleteFunc(e.decoding, func(d *fakeRequest) bool { return d == r })
	r.ended = true
	r.onDone(true)
	e.startNextPrefill()
}

// lookup returns how many prompt tokens of the request are cached.
func (e *fakeEngine) lookup(r *fakeRequest) int {
	tokens := 0
	for _, p := range r.Prefixes {
		if _, found := e.cache[p.Hash]; found {
			tokens = p.Tokens
		}
	}
	return tokens
}

// store caches the prompt and evicts the least recently used entries.
func (e *fakeEngine) store(r *fakeRequest) {
	before := 0
	for _, p := range r.Prefixes {
		if known, found := e.cache[p.Hash]; found {
			e.lru.MoveToFront(known)
		} else {
			e.cache[p.Hash] = e.lru.PushFront(cacheEntry{p.Hash, p.Tokens, before})
			e.cachedTokens += p.Tokens - before
			e.publish(p.Hash, p.Tokens, false)
		}
		before = p.Tokens
	}
	e.lru.PushFront(cacheEntry{0, r.PromptTokens, before})
	e.cachedTokens += r.PromptTokens - before
	for e.cachedTokens > cacheTokens {
		last := e.lru.Remove(e.lru.Back()).(cacheEntry)
		e.cachedTokens -= last.tokens - last.parentTokens
		if last.hash != 0 {
			delete(e.cache, last.hash)
			e.publish(last.hash, last.tokens, true)
		}
	}
}

func (e *fakeEngine) publish(hash uint64, tokens int, evicted bool) {
	e.sequence++
	e.cacheEvents = append(e.cacheEvents, engine.CacheEvent{Sequence: e.sequence, Prefix: fmt.Sprintf("%x", hash), Tokens: tokens, Evicted: evicted})
}

// fakeFleet simulates the engines of one service and collects measurements.
type fakeFleet struct {
	clock *clock
	// requestRandom generates the requests and policyRandom everything else, so
	// that every policy gets the same requests.
	requestRandom, policyRandom *rand.Rand
	engines                     []*fakeEngine
	requests                    []*fakeRequest
	overruns                    int
	// prefilledTokens counts all prefilled tokens. cachedElsewhere counts those
	// that another engine had cached.
	prefilledTokens, cachedElsewhere float64
	prefixGroups                     [][]scheduler.Prefix
}

func (f *fakeFleet) recordPrefill(e *fakeEngine, r *fakeRequest) {
	if !r.measured {
		return
	}
	best := 0
	for _, other := range f.engines {
		if other != e {
			best = max(best, other.lookup(r))
		}
	}
	f.prefilledTokens += float64(r.uncachedTokens)
	f.cachedElsewhere += float64(max(best-(r.PromptTokens-r.uncachedTokens), 0))
}

// fleetProfile is the size of a simulated fleet.
type fleetProfile struct {
	name    string
	engines int
	hosts   int
}

var fleetProfiles = []fleetProfile{{"voz-modelo", 10, 6}, {"usta-llm", 20, 8}}

const domainCount = 3

func newFakeFleet(profile fleetProfile, seed uint64) *fakeFleet {
	f := &fakeFleet{clock: &clock{now: time.Unix(1000, 0)}, requestRandom: rand.New(rand.NewPCG(seed, 1)), policyRandom: rand.New(rand.NewPCG(seed, 2))}
	for i := range profile.engines {
		spec := bundle.Endpoint{
			Name: fmt.Sprintf("w%02d", i), Service: "model", Version: "v1", Address: fmt.Sprintf("w%d:1", i),
			Domain: fmt.Sprintf("d%d", i%domainCount), ColdSlots: 2, MaxSlots: 8,
			PrefillTokensPerSecond: 3000, DecodeTokensPerSecond: 30,
		}
		if i%2 == 0 {
			spec.MaxSlots, spec.PrefillTokensPerSecond, spec.DecodeTokensPerSecond = 16, 8000, 60
		}
		e := &fakeEngine{clock: f.clock, fleet: f, spec: spec, cache: map[uint64]*list.Element{}}
		f.engines = append(f.engines, e)
	}
	for g := range 40 {
		short := 200 + f.requestRandom.IntN(400)
		long := short + 200 + f.requestRandom.IntN(2000)
		f.prefixGroups = append(f.prefixGroups, []scheduler.Prefix{{Hash: uint64(1 + g%5), Tokens: 200 + 50*(g%5)}, {Hash: uint64(100 + g), Tokens: long}})
	}
	return f
}

// routeProfile describes the requests of one route.
type routeProfile struct {
	route                            string
	tier                             int
	share                            float64
	budget                           time.Duration
	minUniqueTokens, maxUniqueTokens float64
	minOutputTokens, maxOutputTokens float64
}

var routeProfiles = []routeProfile{
	{route: "check", tier: 1, share: 0.35, budget: time.Second, minUniqueTokens: 20, maxUniqueTokens: 300, minOutputTokens: 5, maxOutputTokens: 40},
	{route: "script", tier: 2, share: 0.5, budget: 4 * time.Second, minUniqueTokens: 50, maxUniqueTokens: 2000, minOutputTokens: 60, maxOutputTokens: 600},
	{route: "summary", tier: 3, share: 0.15, minUniqueTokens: 300, maxUniqueTokens: 6000, minOutputTokens: 150, maxOutputTokens: 2000},
}

func (f *fakeFleet) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, f.requestRandom.Float64())
}

// drawRequest generates a random request.
func (f *fakeFleet) drawRequest() *fakeRequest {
	x := f.requestRandom.Float64()
	route := routeProfiles[len(routeProfiles)-1]
	for _, r := range routeProfiles {
		if x < r.share {
			route = r
			break
		}
		x -= r.share
	}
	group := f.prefixGroups[min(int(f.requestRandom.ExpFloat64()*10), len(f.prefixGroups)-1)]
	longest := group[len(group)-1].Tokens
	r := &fakeRequest{tier: route.tier, budget: route.budget, outputTokens: int(f.logUniform(route.minOutputTokens, route.maxOutputTokens))}
	r.Request = Request{
		Route: route.route, Team: fmt.Sprintf("t%d", min(int(f.requestRandom.ExpFloat64()*1.5), 4)),
		PromptTokens: longest + int(f.logUniform(route.minUniqueTokens, route.maxUniqueTokens)),
		Bytes:        1000, Prefixes: group, Arrival: f.clock.now,
	}
	return r
}

// capacity returns the request rate per second that the fleet can sustain: the
// lower of its decode capacity and its prefill capacity with all shared
// prefixes cached.
func (f *fakeFleet) capacity() float64 {
	const draws = 4000
	output, prompt := 0.0, 0.0
	for range draws {
		r := f.drawRequest()
		output += float64(r.outputTokens) / draws
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

// bundle returns the configuration of the fleet.
func (f *fakeFleet) bundle() *bundle.Bundle {
	b := &bundle.Bundle{Services: []bundle.Service{{Name: "model", Kind: bundle.KindEngine}}}
	for _, r := range routeProfiles {
		b.Tiers = append(b.Tiers, bundle.Tier{Name: r.route, Rank: r.tier, FirstTokenMillis: int(r.budget.Milliseconds())})
		b.Routes = append(b.Routes, bundle.Route{Name: r.route, Service: "model", Tier: r.route, ExpectedOutputTokens: 100, MaxOutputTokens: int(r.maxOutputTokens)})
	}
	for _, e := range f.engines {
		b.Endpoints = append(b.Endpoints, e.spec)
	}
	for i := range 5 {
		b.Teams = append(b.Teams, bundle.Team{Name: fmt.Sprintf("t%d", i), Weight: 1 + 4/(i+1), QueueRequests: 400, QueueBytes: 1 << 22})
	}
	return b
}
