package rollout

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mustarddoor/internal/process/identity"
)

// simRoute is a route with the sizes of its requests.
type simRoute struct {
	name                       string
	weight                     float64
	promptTokens, answerTokens float64
}

// simFleet describes the hosts, endpoints and load of one service.
type simFleet struct {
	name              string
	hosts, endpoints  int
	requestsPerSecond float64
	routes            []simRoute
}

var simFleets = []simFleet{
	{name: "usta-llm", hosts: 6, endpoints: 20, requestsPerSecond: 200, routes: []simRoute{
		{"specification", 0.04, 1500, 300}, {"gauge", 0.6, 200, 20}, {"batch-check", 0.36, 400, 30},
	}},
	{name: "voz-modelo", hosts: 6, endpoints: 10, requestsPerSecond: 100, routes: []simRoute{
		{"summary", 0.04, 2000, 300}, {"script", 0.3, 300, 60}, {"frost-check", 0.66, 150, 5},
	}},
}

// Parameters of the simulated endpoints and the mesh.
const (
	simSlots                  = 16
	simColdSlots              = 2
	simColdDuration           = 20 * time.Second
	simPrefillTokensPerSecond = 8000.0
	simDecodeTokensPerSecond  = 60
	simLatencyNoise           = 0.3
	simErrorRate              = 0.001
	simMeshDelay              = 3 * time.Millisecond
	simMeshLossRate           = 0.01
	// simColdReportDelay is the time until the hosts learn that an endpoint is
	// cold.
	simColdReportDelay = 500 * time.Millisecond
	simStallDuration   = time.Second
)

// scenario describes the behavior of the new version and the conditions of the
// move.
type scenario struct {
	name      string
	bad, cold bool
	// errorRate and slowFactor apply while the fault is active.
	errorRate, slowFactor float64
	// faultStart is the time at which the fault starts, as a fraction of the
	// move's maximum duration; minRunning and route restrict it further.
	faultStart float64
	minRunning int
	route      int
	// stallInterval is the mean time between stalls of any endpoint; zero
	// disables them.
	stallInterval time.Duration
	// extraLoad is added to the usual load, as a fraction of it.
	extraLoad float64
}

const anyRoute = -1

var scenarios = []scenario{
	{name: "good", route: anyRoute},
	{name: "good-but-cold", cold: true, route: anyRoute},
	{name: "good-with-stalls", route: anyRoute, stallInterval: 2 * time.Second},
	{name: "good-at-high-load", route: anyRoute, extraLoad: 0.6},
	{name: "good-at-low-traffic", route: anyRoute, extraLoad: -0.98},
	{name: "bad-at-once", bad: true, errorRate: 1, route: anyRoute},
	{name: "bad-later", bad: true, errorRate: 1, faultStart: 0.6, route: anyRoute},
	{name: "bad-only-under-load", bad: true, errorRate: 1, minRunning: simSlots / 2, route: anyRoute},
	{name: "bad-on-one-route", bad: true, errorRate: 1, route: 1},
	{name: "slow-instead-of-failing", bad: true, slowFactor: 3, route: anyRoute},
	{name: "bad-for-some", bad: true, errorRate: 0.2, route: anyRoute},
}

// simEndpoint is an endpoint of either version.
type simEndpoint struct {
	isNew          bool
	running        int
	coldUntil      time.Duration
	coldReportedAt time.Duration
	// stalledUntil is the end of a stall, during which new requests are slow.
	stalledUntil time.Duration
}

// simResult holds the results of one simulation.
type simResult struct {
	completed, takenBack                        bool
	requests, requestsToNew                     int
	faultSeenAt, lastRequestToNew               time.Duration
	faultSeen                                   bool
	requestsAfterFault, requestsToNewAfterFault int
	coldLimitExceeded                           int
	// sentBytes is the total that all hosts sent to each other, and duration
	// is the virtual time of the simulation.
	sentBytes int
	duration  time.Duration
}

// simEvent is a call at a virtual time.
type simEvent struct {
	at       time.Duration
	sequence int
	call     func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs one move in virtual time.
type simulation struct {
	fleet       simFleet
	scenario    scenario
	maxDuration time.Duration
	random      *rand.Rand
	now         time.Duration
	sequence    int
	events      eventQueue
	controllers []*Controller
	endpoints   []*simEndpoint
	result      simResult
}

var simEpoch = time.Unix(1_700_000_000, 0)

func newSimulation(fleet simFleet, scenario scenario, maxDuration time.Duration, seed uint64) *simulation {
	s := &simulation{fleet: fleet, scenario: scenario, maxDuration: maxDuration, random: rand.New(rand.NewPCG(seed, 1))}
	routes := []string{}
	for _, route := range fleet.routes {
		routes = append(routes, route.name)
	}
	move := Move{
		MoveID:      MoveID{Service: fleet.name, From: "v1", To: "v2", Since: seed},
		Began:       simEpoch,
		MaxDuration: maxDuration,
		Routes:      routes,
	}
	for i := range fleet.hosts {
		controller := NewController(Config{
			Self:      identity.Incarnation{Host: "host-" + strconv.Itoa(i), Number: seed},
			Now:       s.clock,
			AfterFunc: s.afterFunc,
		})
		controller.Apply([]Move{move})
		s.controllers = append(s.controllers, controller)
		s.after(time.Duration(s.random.Float64()*float64(stepInterval)), func() { s.stepPeriodically(i) })
	}
	for range fleet.endpoints {
		oldVersion, newVersion := &simEndpoint{}, &simEndpoint{isNew: true}
		if scenario.cold {
			newVersion.coldUntil = simColdDuration
		}
		s.endpoints = append(s.endpoints, oldVersion, newVersion)
	}
	if scenario.cold {
		s.after(maxDuration/2, func() { s.turnCold(s.endpoints[1]) })
	}
	if scenario.stallInterval > 0 {
		s.after(0, s.stall)
	}
	s.after(0, s.placeNextRequest)
	return s
}

func (s *simulation) clock() time.Time { return simEpoch.Add(s.now) }

func (s *simulation) after(delay time.Duration, call func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now + delay, sequence: s.sequence, call: call})
}

func (s *simulation) afterFunc(delay time.Duration, call func()) func() {
	stopped := false
	s.after(delay, func() {
		if !stopped {
			call()
		}
	})
	return func() { stopped = true }
}

// run simulates the move until it ends.
func (s *simulation) run() simResult {
	for s.now < s.maxDuration && !s.allFinal() {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.call()
		s.scheduleWakeups()
	}
	s.result.completed = s.allAtStage(StageDone)
	s.result.takenBack = s.allAtStage(StageRolledBack)
	s.result.duration = s.now
	return s.result
}

func (s *simulation) allFinal() bool { return s.allAtStage(StageDone) || s.allAtStage(StageRolledBack) }

func (s *simulation) allAtStage(stage Stage) bool {
	for _, controller := range s.controllers {
		if s.stage(controller) != stage {
			return false
		}
	}
	return true
}

func (s *simulation) stage(controller *Controller) Stage {
	return Stage(controller.table.Load().moves[s.fleet.name].stage.Load())
}

// stepPeriodically runs a controller's step and schedules the next one.
func (s *simulation) stepPeriodically(host int) {
	s.step(host)
	s.after(stepInterval, func() { s.stepPeriodically(host) })
}

// step runs a controller's step and delivers its deltas.
func (s *simulation) step(host int) {
	out := s.controllers[host].Step(s.clock())
	if len(out.Deltas) == 0 {
		return
	}
	encoded, err := cbor.Marshal(out.Deltas)
	if err != nil {
		panic(err)
	}
	s.result.sentBytes += len(encoded) * (len(s.controllers) - 1)
	for i, controller := range s.controllers {
		if i != host && s.random.Float64() >= simMeshLossRate {
			s.after(simMeshDelay, func() { controller.Merge(s.controllers[host].config.Self, out.Deltas) })
		}
	}
}

// scheduleWakeups schedules a step for each controller that was woken.
func (s *simulation) scheduleWakeups() {
	for host, controller := range s.controllers {
		select {
		case <-controller.wakeups:
			s.after(wakeDelay, func() { s.step(host) })
		default:
		}
	}
}
