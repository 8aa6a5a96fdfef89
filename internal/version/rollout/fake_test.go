package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mustarddoor/internal/process/identity"
)

// fakeRoute is one kind of requests.
type fakeRoute struct {
	name                     string
	weight                   float64
	promptTokens, answerSize float64
}

// fakeFleet is the size of one service.
type fakeFleet struct {
	name              string
	hosts, endpoints  int
	requestsPerSecond float64
	routes            []fakeRoute
}

var fakeFleets = []fakeFleet{
	{name: "usta-llm", hosts: 6, endpoints: 20, requestsPerSecond: 200, routes: []fakeRoute{
		{"specification", 0.04, 1500, 300}, {"gauge", 0.6, 200, 20}, {"batch-check", 0.36, 400, 30},
	}},
	{name: "voz-modelo", hosts: 6, endpoints: 10, requestsPerSecond: 100, routes: []fakeRoute{
		{"summary", 0.04, 2000, 300}, {"script", 0.3, 300, 60}, {"frost-check", 0.66, 150, 5},
	}},
}

// Parameters of the fake endpoints and the mesh.
const (
	fakeSlots         = 16
	fakeColdSlots     = 2
	fakeColdTime      = 20 * time.Second
	fakePrefillPerSec = 8000.0
	fakeDecodePerSec  = 60
	fakeNoise         = 0.3
	fakeErrorRate     = 0.001
	fakeMeshDelay     = 3 * time.Millisecond
	fakeMeshLoss      = 0.01
	// fakeColdLag is how late the hosts learn of a cold turn.
	fakeColdLag   = 500 * time.Millisecond
	fakeStallTime = time.Second
)

// fakeCase is how the new version behaves.
type fakeCase struct {
	name      string
	bad, cold bool
	// errorRate and slowFactor apply while the fault is on.
	errorRate, slowFactor float64
	// laterPart is when the fault sets in, as a part of the move's time;
	// minRunning and route restrict it.
	laterPart  float64
	minRunning int
	route      int
	// stalls is the mean time between stalls of any endpoint; zero for none.
	stalls time.Duration
	// extraLoad is added to the usual load, as a part of it.
	extraLoad float64
}

const anyRoute = -1

var fakeCases = []fakeCase{
	{name: "good", route: anyRoute},
	{name: "good-but-cold", cold: true, route: anyRoute},
	{name: "good-with-stalls", route: anyRoute, stalls: 2 * time.Second},
	{name: "good-at-high-load", route: anyRoute, extraLoad: 0.6},
	{name: "good-at-low-traffic", route: anyRoute, extraLoad: -0.98},
	{name: "bad-at-once", bad: true, errorRate: 1, route: anyRoute},
	{name: "bad-later", bad: true, errorRate: 1, laterPart: 0.6, route: anyRoute},
	{name: "bad-only-under-load", bad: true, errorRate: 1, minRunning: fakeSlots / 2, route: anyRoute},
	{name: "bad-on-one-route", bad: true, errorRate: 1, route: 1},
	{name: "slow-instead-of-failing", bad: true, slowFactor: 3, route: anyRoute},
	{name: "bad-for-some", bad: true, errorRate: 0.2, route: anyRoute},
}

// fakeEndpoint is one endpoint of either version.
type fakeEndpoint struct {
	isNew     bool
	running   int
	coldUntil time.Duration
	coldKnown time.Duration
	// stalledUntil is until when requests that start there take long.
	stalledUntil time.Duration
}

// fakeResult is what one run showed.
type fakeResult struct {
	completed, takenBack  bool
	requests, toNew       int
	badStart, lastToNew   time.Duration
	badSeen               bool
	requestsBad, toNewBad int
	overruns              int
	// sentBytes is what all hosts sent to each other, and took how long.
	sentBytes int
	took      time.Duration
}

// fakeEvent is a call at a virtual time.
type fakeEvent struct {
	at       time.Duration
	sequence int
	call     func()
}

type fakeQueue []fakeEvent

func (q fakeQueue) Len() int { return len(q) }
func (q fakeQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q fakeQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *fakeQueue) Push(e any)   { *q = append(*q, e.(fakeEvent)) }
func (q *fakeQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fake runs one move in virtual time.
type fake struct {
	fleet     fakeFleet
	kase      fakeCase
	complete  time.Duration
	random    *rand.Rand
	now       time.Duration
	sequence  int
	events    fakeQueue
	judges    []*Judge
	endpoints []*fakeEndpoint
	result    fakeResult
}

var fakeEpoch = time.Unix(1_700_000_000, 0)

func newFake(fleet fakeFleet, kase fakeCase, complete time.Duration, seed uint64) *fake {
	f := &fake{fleet: fleet, kase: kase, complete: complete, random: rand.New(rand.NewPCG(seed, 1))}
	routes := []string{}
	for _, route := range fleet.routes {
		routes = append(routes, route.name)
	}
	move := Move{
		MoveID:   MoveID{Service: fleet.name, From: "v1", To: "v2", Since: seed},
		Began:    fakeEpoch,
		Complete: complete,
		Routes:   routes,
	}
	for i := range fleet.hosts {
		judge := NewJudge(Config{
			Self:      identity.Incarnation{Host: "host-" + strconv.Itoa(i), Number: seed},
			Now:       f.clock,
			AfterFunc: f.afterFunc,
		})
		judge.Apply([]Move{move})
		f.judges = append(f.judges, judge)
		f.after(time.Duration(f.random.Float64()*float64(stepInterval)), func() { f.tick(i) })
	}
	for range fleet.endpoints {
		old, fresh := &fakeEndpoint{}, &fakeEndpoint{isNew: true}
		if kase.cold {
			fresh.coldUntil = fakeColdTime
		}
		f.endpoints = append(f.endpoints, old, fresh)
	}
	if kase.cold {
		f.after(complete/2, func() { f.turnCold(f.endpoints[1]) })
	}
	if kase.stalls > 0 {
		f.after(0, f.stall)
	}
	f.after(0, f.arrive)
	return f
}

func (f *fake) clock() time.Time { return fakeEpoch.Add(f.now) }

func (f *fake) after(delay time.Duration, call func()) {
	f.sequence++
	heap.Push(&f.events, fakeEvent{at: f.now + delay, sequence: f.sequence, call: call})
}

func (f *fake) afterFunc(delay time.Duration, call func()) func() {
	stopped := false
	f.after(delay, func() {
		if !stopped {
			call()
		}
	})
	return func() { stopped = true }
}

// run plays the move to its end.
func (f *fake) run() fakeResult {
	for f.now < f.complete && !f.allFinal() {
		event := heap.Pop(&f.events).(fakeEvent)
		f.now = event.at
		event.call()
		f.serveWakes()
	}
	f.result.completed = f.all(StageDone)
	f.result.takenBack = f.all(StageBad)
	f.result.took = f.now
	return f.result
}

func (f *fake) allFinal() bool { return f.all(StageDone) || f.all(StageBad) }

func (f *fake) all(stage Stage) bool {
	for _, judge := range f.judges {
		if f.stage(judge) != stage {
			return false
		}
	}
	return true
}

func (f *fake) stage(judge *Judge) Stage {
	return Stage(judge.table.Load().moves[f.fleet.name].stage.Load())
}

// tick is a judge's regular step.
func (f *fake) tick(host int) {
	f.step(host)
	f.after(stepInterval, func() { f.tick(host) })
}

// step runs a judge's step and delivers its deltas.
func (f *fake) step(host int) {
	out := f.judges[host].Step(f.clock())
	if len(out.Deltas) == 0 {
		return
	}
	encoded, err := cbor.Marshal(out.Deltas)
	if err != nil {
		panic(err)
	}
	f.result.sentBytes += len(encoded) * (len(f.judges) - 1)
	for i, judge := range f.judges {
		if i != host && f.random.Float64() >= fakeMeshLoss {
			f.after(fakeMeshDelay, func() { judge.Merge(f.judges[host].config.Self, out.Deltas) })
		}
	}
}

// serveWakes schedules the steps of judges that want one soon.
func (f *fake) serveWakes() {
	for host, judge := range f.judges {
		select {
		case <-judge.urgent:
			f.after(wakeDelay, func() { f.step(host) })
		default:
		}
	}
}

// turnCold makes an endpoint cold; the hosts learn of it late.
func (f *fake) turnCold(e *fakeEndpoint) {
	e.coldUntil = f.now + fakeColdTime
	e.coldKnown = f.now + fakeColdLag
}

// stall makes some endpoint of either version stall.
func (f *fake) stall() {
	f.endpoints[f.random.IntN(len(f.endpoints))].stalledUntil = f.now + fakeStallTime
	f.after(time.Duration(f.random.ExpFloat64()*float64(f.kase.stalls)), f.stall)
}

// isCold reports whether the hosts believe that an endpoint is cold.
func (f *fake) isCold(e *fakeEndpoint) bool { return f.now >= e.coldKnown && f.now < e.coldUntil }

// arrive places one request and schedules the next one.
func (f *fake) arrive() {
	gap := f.random.ExpFloat64() / (f.fleet.requestsPerSecond * (1 + f.kase.extraLoad))
	f.after(time.Duration(gap*float64(time.Second)), f.arrive)
	index := f.pickRoute()
	route := f.fleet.routes[index]
	judge := f.judges[f.random.IntN(len(f.judges))]
	isNew := judge.Choose(f.fleet.name, route.name) == "v2"
	endpoint := f.pickEndpoint(isNew)
	if endpoint == nil {
		endpoint = f.pickEndpoint(!isNew)
	}
	if endpoint != nil {
		f.dispatch(judge, index, endpoint)
	}
}

func (f *fake) pickRoute() int {
	dice := f.random.Float64()
	for index, route := range f.fleet.routes {
		if dice -= route.weight; dice < 0 {
			return index
		}
	}
	return 0
}

// pickEndpoint returns the least loaded endpoint of a version that has a free
// slot, or nil.
func (f *fake) pickEndpoint(isNew bool) *fakeEndpoint {
	var best *fakeEndpoint
	for _, e := range f.endpoints {
		slots := fakeSlots
		if f.isCold(e) {
			slots = fakeColdSlots
		}
		if e.isNew == isNew && e.running < slots && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

// dispatch runs one request and tells the judge of it.
func (f *fake) dispatch(judge *Judge, index int, e *fakeEndpoint) {
	route := f.fleet.routes[index]
	e.running++
	faulty := f.isFaulty(index, e)
	f.count(e, faulty)
	prompt := route.promptTokens * math.Exp(f.random.NormFloat64())
	tokens := 1 + int(route.answerSize*math.Exp(f.random.NormFloat64()/2))
	version := "v1"
	if e.isNew {
		version = "v2"
	}
	expected := time.Duration(prompt / fakePrefillPerSec * float64(time.Second))
	perToken := time.Second / fakeDecodePerSec
	watch := judge.Begin(Request{
		Service: f.fleet.name, Version: version, Route: route.name,
		Expected: expected, ExpectedPerToken: perToken, Cold: f.isCold(e),
	})
	load := float64(e.running) / fakeSlots
	factor := 1 + load*load
	if f.now < e.coldUntil {
		factor *= 3
	}
	if f.now < e.stalledUntil {
		factor *= 5
	}
	if faulty && f.kase.slowFactor > 0 {
		factor *= f.kase.slowFactor
	}
	first := time.Duration(float64(expected)*factor*f.noise()) + 5*time.Millisecond
	step := time.Duration(float64(perToken) * factor * f.noise())
	fails := f.random.Float64() < fakeErrorRate || faulty && f.random.Float64() < f.kase.errorRate
	f.after(first, func() {
		if fails {
			e.running--
			watch.End(ResultFailed, 0, first)
			return
		}
		f.stream(watch, e, first, step, tokens)
	})
}

// stream plays an answer after its first token.
func (f *fake) stream(watch *Watch, e *fakeEndpoint, first, step time.Duration, tokens int) {
	watch.FirstToken(first)
	timed := tokensTimed + 1
	if tokens > timed {
		at := step * time.Duration(timed-1)
		f.after(at, func() { watch.Tokens(timed, first+at) })
	}
	rest := step * time.Duration(tokens-1)
	f.after(rest, func() {
		e.running--
		watch.End(ResultSucceeded, tokens, first+rest)
	})
}

func (f *fake) noise() float64 { return math.Exp(f.random.NormFloat64() * fakeNoise) }

// isFaulty reports whether a request meets the new version's fault.
func (f *fake) isFaulty(route int, e *fakeEndpoint) bool {
	k := f.kase
	isLater := f.now >= time.Duration(k.laterPart*float64(f.complete))
	isRoute := k.route == anyRoute || k.route == route
	return k.bad && e.isNew && isLater && isRoute && e.running >= k.minRunning
}

// count keeps the figures of the run.
func (f *fake) count(e *fakeEndpoint, faulty bool) {
	if faulty && !f.result.badSeen {
		f.result.badSeen = true
		f.result.badStart = f.now
	}
	f.result.requests++
	if f.result.badSeen {
		f.result.requestsBad++
	}
	if !e.isNew {
		return
	}
	f.result.toNew++
	f.result.lastToNew = f.now
	if f.result.badSeen {
		f.result.toNewBad++
	}
	if f.now < e.coldUntil && f.now >= e.coldKnown && e.running > fakeColdSlots {
		f.result.overruns++
	}
}
