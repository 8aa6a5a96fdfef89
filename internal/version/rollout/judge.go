package rollout

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/identity"
)

// Judge shares a service's requests between versions and judges moves. All
// methods are safe for concurrent use.
type Judge struct {
	config Config
	// table is replaced whole by Apply.
	table  atomic.Pointer[table]
	urgent chan struct{}

	// mu guards the parts of move states that requests do not touch.
	mu sync.Mutex

	counters counters
}

// counters are the judge's metrics.
type counters struct {
	raised, completed, takenBack, overdue, cellsRefused, proposeFailed metrics.Counter
}

// table holds the moves by service.
type table struct{ moves map[string]*moveState }

// moveState is one move on this host.
type moveState struct {
	move   Move
	window time.Duration
	stage  atomic.Uint32
	// routes is replaced whole when a configuration adds routes.
	routes atomic.Pointer[map[string]*routeState]
	// hasNews tells that something speaks against the new version that other
	// hosts do not know yet.
	hasNews atomic.Bool

	// The rest is guarded by Judge.mu.
	evidence    *Evidence
	reason      string
	stageSince  time.Time
	stageWindow uint64
	sent        map[Arm]Counts
	sentAt      time.Time
	refreshedAt time.Time
	announceTo  time.Time
	configStage Stage
	proposedAt  time.Time
	lost        map[string]uint64
	isOverdue   bool
}

// routeState is one route of a moving service on this host.
type routeState struct {
	diffuser             *diffuser
	fresh, old           armCounter
	firstToken, perToken limit
}

// NewJudge returns a judge that knows of no move until the first Apply.
func NewJudge(config Config) *Judge {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.AfterFunc == nil {
		config.AfterFunc = afterFunc
	}
	if config.Notify == nil {
		config.Notify = func(Event) {}
	}
	registry := config.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	j := &Judge{config: config, urgent: make(chan struct{}, 1)}
	j.counters = counters{
		raised:        metrics.GetOrRegisterCounter("rollout.raised", registry),
		completed:     metrics.GetOrRegisterCounter("rollout.completed", registry),
		takenBack:     metrics.GetOrRegisterCounter("rollout.taken_back", registry),
		overdue:       metrics.GetOrRegisterCounter("rollout.overdue", registry),
		cellsRefused:  metrics.GetOrRegisterCounter("rollout.cells_refused", registry),
		proposeFailed: metrics.GetOrRegisterCounter("rollout.propose_failed", registry),
	}
	j.table.Store(&table{moves: map[string]*moveState{}})
	return j
}

// afterFunc is time.AfterFunc in the form of Config.AfterFunc.
func afterFunc(after time.Duration, call func()) func() {
	timer := time.AfterFunc(after, call)
	return func() { timer.Stop() }
}

// Choose picks the version for one more request of a service and route. It is
// empty if no move concerns the service.
func (j *Judge) Choose(service, route string) string {
	m := j.table.Load().moves[service]
	if m == nil {
		return ""
	}
	share := Stage(m.stage.Load()).Share()
	switch share {
	case 0:
		return m.move.From
	case fractionUnit:
		return m.move.To
	}
	r := m.route(route)
	if r == nil || !r.diffuser.pick(share) {
		return m.move.From
	}
	return m.move.To
}

// Fallback is the version for requests that the version which Choose has picked
// cannot serve at once: the one that gets most of the traffic. It is empty if
// no move concerns the service.
func (j *Judge) Fallback(service string) string {
	m := j.table.Load().moves[service]
	if m == nil {
		return ""
	}
	if Stage(m.stage.Load()).Share() > fractionUnit/2 {
		return m.move.To
	}
	return m.move.From
}

// Allows reports whether requests may still go to a version of a service: not
// to a new version that was taken back, nor to an old one that was let go.
func (j *Judge) Allows(service, version string) bool {
	m := j.table.Load().moves[service]
	if m == nil {
		return true
	}
	switch stage := Stage(m.stage.Load()); {
	case stage >= StageBad:
		return version != m.move.To
	case stage >= StageDone:
		return version != m.move.From
	}
	return true
}

// Share is the new version's part of a service's traffic, from 0 to 1, and
// false if no move concerns the service.
func (j *Judge) Share(service string) (float64, bool) {
	m := j.table.Load().moves[service]
	if m == nil {
		return 0, false
	}
	return Stage(m.stage.Load()).Share().Float(), true
}

// Begin starts the watch over a request that is dispatched now. It returns
// nil if no move that goes on concerns the request.
func (j *Judge) Begin(request Request) *Watch {
	m := j.table.Load().moves[request.Service]
	if m == nil || Stage(m.stage.Load()).IsFinal() {
		return nil
	}
	r := m.route(request.Route)
	isNew := request.Version == m.move.To
	if r == nil || !isNew && request.Version != m.move.From {
		return nil
	}
	w := &Watch{judge: j, move: m, arm: &r.old, isNew: isNew, request: request}
	if isNew {
		w.arm = &r.fresh
	}
	w.perTokenExpected = request.ExpectedPerToken
	w.firstToken.counter = &w.arm.firstToken
	w.firstToken.late = r.firstToken.load()
	w.firstToken.expected = max(request.Expected, leastExpected)
	w.perToken.counter = &w.arm.perToken
	w.perToken.late = r.perToken.load()
	if !request.Cold {
		w.startTimers(&w.firstToken)
	}
	return w
}

// Apply takes the moves of the configuration in force and their stages. Moves
// that it leaves out end on this host.
func (j *Judge) Apply(moves []Move) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.config.Now()
	known := j.table.Load().moves
	next := &table{moves: map[string]*moveState{}}
	for _, move := range moves {
		m := known[move.Service]
		if m == nil || m.move.MoveID != move.MoveID {
			m = newMoveState(move, now)
		}
		m.addRoutes(move.Routes, j.config.Self)
		m.configStage = m.configStage.Merge(move.Stage)
		next.moves[move.Service] = m
		j.adopt(m, move.Stage, move.Reason, now)
	}
	j.table.Store(next)
}

func newMoveState(move Move, now time.Time) *moveState {
	m := &moveState{
		move:       move,
		window:     WindowLength(move.Complete),
		evidence:   NewEvidence(),
		stageSince: now,
		sent:       map[Arm]Counts{},
		lost:       map[string]uint64{},
	}
	m.routes.Store(&map[string]*routeState{})
	m.stageWindow = difference(m.windowAt(now), 1)
	return m
}

// windowAt is the number of the window at a time.
func (m *moveState) windowAt(now time.Time) uint64 {
	return uint64(now.UnixNano()) / uint64(m.window)
}

// addRoutes makes the state know more routes. The caller holds Judge.mu.
func (m *moveState) addRoutes(routes []string, self identity.Incarnation) {
	merged := maps.Clone(*m.routes.Load())
	for _, name := range routes {
		if merged[name] == nil && len(merged) < maxRoutes {
			merged[name] = &routeState{diffuser: newDiffuser(phaseOf(self, name))}
		}
	}
	m.routes.Store(&merged)
}

// route is a route's state, or nil.
func (m *moveState) route(name string) *routeState { return (*m.routes.Load())[name] }

// phaseOf spreads the first requests of hosts and routes to a new version.
func phaseOf(self identity.Incarnation, route string) Fraction {
	return Fraction(xxhash.Sum64String(self.String()+"/"+route)) % fractionUnit
}

// adopt raises a move's stage and reports whether that was news. The caller
// holds mu.
func (j *Judge) adopt(m *moveState, stage Stage, reason string, now time.Time) bool {
	if stage <= Stage(m.stage.Load()) {
		return false
	}
	m.stage.Store(uint32(stage))
	m.reason = reason
	m.stageSince = now
	m.stageWindow = m.windowAt(now)
	m.announceTo = now.Add(announceTime)
	m.proposedAt = time.Time{}
	switch {
	case stage >= StageBad:
		j.counters.takenBack.Inc(1)
	case stage >= StageDone:
		j.counters.completed.Inc(1)
	default:
		j.counters.raised.Inc(1)
	}
	j.config.Notify(Event{Move: m.move.MoveID, Stage: stage, Share: stage.Share().Float(), Reason: reason})
	return true
}

// isFirstLoss reports whether a lost endpoint has not been counted yet in the
// present window.
func (j *Judge) isFirstLoss(m *moveState, endpoint string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	window := m.windowAt(j.config.Now())
	if m.lost[endpoint] == window {
		return false
	}
	if len(m.lost) >= maxLostEndpoints {
		clear(m.lost)
	}
	m.lost[endpoint] = window
	return true
}

// maxLostEndpoints bounds the endpoints whose losses are told apart.
const maxLostEndpoints = 4096

// wake makes Run step soon.
func (j *Judge) wake() {
	select {
	case j.urgent <- struct{}{}:
	default:
	}
}
