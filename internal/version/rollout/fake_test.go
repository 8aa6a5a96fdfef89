package rollout

import (
	"container/heap"
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
