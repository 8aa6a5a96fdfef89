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

// Controller shares a service's requests between versions and judges moves. All
// methods are safe for concurrent use.
type Controller struct {
	config Config
	// table is replaced whole by Apply.
	table   atomic.Pointer[moveTable]
	wakeups chan struct{}

	// mu guards the parts of move states that requests do not touch.
	mu sync.Mutex

	counters counters
}

// counters are the judge's metrics.
type counters struct {
	raised, completed, rolledBack, deadlineExceeded, reportsRefused, proposeFailed metrics.Counter
}

// moveTable holds the moves by service.
type moveTable struct{ moves map[string]*moveState }

// moveState is one move on this host.
type moveState struct {
	move         Move
	windowLength time.Duration
	stage        atomic.Uint32
	// routes is replaced whole when a configuration adds routes.
	routes atomic.Pointer[map[string]*routeState]
	// hasUnsentFailure tells that something speaks against the new version that other
	// hosts do not know yet.
	hasUnsentFailure atomic.Bool

	// The rest is guarded by Judge.mu.
	evidence         *Evidence
	reason           string
	stageSince       time.Time
	stageWindow      uint64
	lastSent         map[Arm]Counts
	sentAt           time.Time
	refreshedAt      time.Time
	announceUntil    time.Time
	configStage      Stage
	proposedAt       time.Time
	lastLossWindow   map[string]uint64
	deadlineExceeded bool
}

// routeState is one route of a moving service on this host.
type routeState struct {
	splitter                       *splitter
	newArm, oldArm                 armCounters
	firstTokenLimit, perTokenLimit slowdownLimit
}

// NewController returns a judge that knows of no move until the first Apply.
func NewController(config Config) *Controller {
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
	c := &Controller{config: config, wakeups: make(chan struct{}, 1)}
	c.counters = counters{
		raised:           metrics.GetOrRegisterCounter("rollout.raised", registry),
		completed:        metrics.GetOrRegisterCounter("rollout.completed", registry),
		rolledBack:       metrics.GetOrRegisterCounter("rollout.taken_back", registry),
		deadlineExceeded: metrics.GetOrRegisterCounter("rollout.overdue", registry),
		reportsRefused:   metrics.GetOrRegisterCounter("rollout.cells_refused", registry),
		proposeFailed:    metrics.GetOrRegisterCounter("rollout.propose_failed", registry),
	}
	c.table.Store(&moveTable{moves: map[string]*moveState{}})
	return c
}

// afterFunc is time.AfterFunc in the form of Config.AfterFunc.
func afterFunc(after time.Duration, call func()) func() {
	timer := time.AfterFunc(after, call)
	return func() { timer.Stop() }
}

// Choose picks the version for one more request of a service and route. It is
// empty if no move concerns the service.
func (c *Controller) Choose(service, route string) string {
	m := c.table.Load().moves[service]
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
	state := m.route(route)
	if state == nil || !state.splitter.pick(share) {
		return m.move.From
	}
	return m.move.To
}

// Fallback is the version for requests that the version which Choose has picked
// cannot serve at once: the one that gets most of the traffic. It is empty if
// no move concerns the service.
func (c *Controller) Fallback(service string) string {
	m := c.table.Load().moves[service]
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
func (c *Controller) Allows(service, version string) bool {
	m := c.table.Load().moves[service]
	if m == nil {
		return true
	}
	switch stage := Stage(m.stage.Load()); {
	case stage >= StageRolledBack:
		return version != m.move.To
	case stage >= StageDone:
		return version != m.move.From
	}
	return true
}

// Share is the new version's part of a service's traffic, from 0 to 1, and
// false if no move concerns the service.
func (c *Controller) Share(service string) (float64, bool) {
	m := c.table.Load().moves[service]
	if m == nil {
		return 0, false
	}
	return Stage(m.stage.Load()).Share().Float(), true
}

// Track starts the watch over a request that is dispatched now. It returns
// nil if no move that goes on concerns the request.
func (c *Controller) Track(attempt Attempt) *Tracker {
	m := c.table.Load().moves[attempt.Service]
	if m == nil || Stage(m.stage.Load()).IsFinal() {
		return nil
	}
	route := m.route(attempt.Route)
	isNew := attempt.Version == m.move.To
	if route == nil || !isNew && attempt.Version != m.move.From {
		return nil
	}
	t := &Tracker{controller: c, move: m, arm: &route.oldArm, isNew: isNew, attempt: attempt}
	if isNew {
		t.arm = &route.newArm
	}
	t.perTokenExpected = attempt.ExpectedPerToken
	t.firstToken.counter = &t.arm.firstToken
	t.firstToken.lateLimit = route.firstTokenLimit.load()
	t.firstToken.expected = max(attempt.ExpectedFirstToken, minExpectedTime)
	t.perToken.counter = &t.arm.perToken
	t.perToken.lateLimit = route.perTokenLimit.load()
	if !attempt.Cold {
		t.startTimers(&t.firstToken)
	}
	return t
}

// Apply takes the moves of the configuration in force and their stages. Moves
// that it leaves out end on this host.
func (c *Controller) Apply(moves []Move) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	known := c.table.Load().moves
	next := &moveTable{moves: map[string]*moveState{}}
	for _, move := range moves {
		m := known[move.Service]
		if m == nil || m.move.MoveID != move.MoveID {
			m = newMoveState(move, now)
		}
		m.addRoutes(move.Routes, c.config.Self)
		m.configStage = m.configStage.Merge(move.Stage)
		next.moves[move.Service] = m
		c.adoptStage(m, move.Stage, move.Reason, now)
	}
	c.table.Store(next)
}

func newMoveState(move Move, now time.Time) *moveState {
	m := &moveState{
		move:           move,
		windowLength:   WindowLength(move.MaxDuration),
		evidence:       NewEvidence(),
		stageSince:     now,
		lastSent:       map[Arm]Counts{},
		lastLossWindow: map[string]uint64{},
	}
	m.routes.Store(&map[string]*routeState{})
	m.stageWindow = saturatingSub(m.windowAt(now), 1)
	return m
}

// windowAt is the number of the window at a time.
func (m *moveState) windowAt(now time.Time) uint64 {
	return uint64(now.UnixNano()) / uint64(m.windowLength)
}

// addRoutes makes the state know more routes. The caller holds Judge.mu.
func (m *moveState) addRoutes(routes []string, self identity.Incarnation) {
	merged := maps.Clone(*m.routes.Load())
	for _, name := range routes {
		if merged[name] == nil && len(merged) < maxRoutes {
			merged[name] = &routeState{splitter: newSplitter(phaseOf(self, name))}
		}
	}
	m.routes.Store(&merged)
}

// route is a route's state, or nil.
func (m *moveState) route(name string) *routeState { return (*m.routes.Load())[name] }

// phaseOf spreads the first requests of hosts and routes to a new version.
func phaseOf(self identity.Incarnation, key string) Fraction {
	return Fraction(xxhash.Sum64String(self.String()+"/"+key)) % fractionUnit
}

// adoptStage raises a move's stage and reports whether that was news. The caller
// holds mu.
func (c *Controller) adoptStage(m *moveState, stage Stage, reason string, now time.Time) bool {
	if stage <= Stage(m.stage.Load()) {
		return false
	}
	m.stage.Store(uint32(stage))
	m.reason = reason
	m.stageSince = now
	m.stageWindow = m.windowAt(now)
	m.announceUntil = now.Add(announceDuration)
	m.proposedAt = time.Time{}
	switch {
	case stage >= StageRolledBack:
		c.counters.rolledBack.Inc(1)
	case stage >= StageDone:
		c.counters.completed.Inc(1)
	default:
		c.counters.raised.Inc(1)
	}
	c.config.Notify(Event{Move: m.move.MoveID, Stage: stage, Share: stage.Share().Float(), Reason: reason})
	return true
}

// isFirstLossInWindow reports whether a lost endpoint has not been counted yet in the
// present window.
func (c *Controller) isFirstLossInWindow(m *moveState, endpoint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := m.windowAt(c.config.Now())
	if m.lastLossWindow[endpoint] == window {
		return false
	}
	if len(m.lastLossWindow) >= maxLostEndpoints {
		clear(m.lastLossWindow)
	}
	m.lastLossWindow[endpoint] = window
	return true
}

// maxLostEndpoints bounds the endpoints whose losses are told apart.
const maxLostEndpoints = 4096

// wake makes Run step soon.
func (c *Controller) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}
