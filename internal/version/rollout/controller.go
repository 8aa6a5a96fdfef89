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

// Controller splits the requests of services between versions and decides on
// the stages of moves. All methods are safe for concurrent use.
type Controller struct {
	config Config
	// table is replaced as a whole by Apply.
	table   atomic.Pointer[moveTable]
	wakeups chan struct{}

	// mu guards the fields of move states that the request path does not use.
	mu sync.Mutex

	counters counters
}

// counters holds the controller's metrics.
type counters struct {
	raised, completed, rolledBack, deadlineExceeded, reportsRefused, proposeFailed metrics.Counter
}

// moveTable holds the moves by service.
type moveTable struct{ moves map[string]*moveState }

// moveState holds the state of one move on this host.
type moveState struct {
	move         Move
	windowLength time.Duration
	stage        atomic.Uint32
	// routes is replaced as a whole when a configuration adds routes.
	routes atomic.Pointer[map[string]*routeState]
	// hasUnsentFailure is set when the new version failed and the failure was
	// not sent to the other hosts yet.
	hasUnsentFailure atomic.Bool

	// The remaining fields are guarded by Controller.mu.
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

// routeState holds the state of one route of a moving service on this host.
type routeState struct {
	splitter                       *splitter
	newArm, oldArm                 armCounters
	firstTokenLimit, perTokenLimit slowdownLimit
}

// NewController returns a controller without moves. Apply adds them.
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

// afterFunc adapts time.AfterFunc to Config.AfterFunc.
func afterFunc(after time.Duration, call func()) func() {
	timer := time.AfterFunc(after, call)
	return func() { timer.Stop() }
}

// Choose picks the version for the next request of a service and route. It
// returns an empty version if the service has no move.
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

// Fallback returns the version for requests that the version picked by Choose
// cannot serve at once: the one with the larger share of the traffic. It
// returns an empty version if the service has no move.
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

// Allows reports whether requests may still go to a version of a service. It
// returns false for a new version that was rolled back and for the old version
// of a completed move.
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

// Share returns the new version's share of a service's traffic, from 0 to 1,
// and false if the service has no move.
func (c *Controller) Share(service string) (float64, bool) {
	m := c.table.Load().moves[service]
	if m == nil {
		return 0, false
	}
	return Stage(m.stage.Load()).Share().Float(), true
}

// Track starts tracking a request that is dispatched now. It returns nil if no
// move in progress concerns the request.
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

// Apply sets the moves of the configuration in force and merges their stages.
// It drops moves that the configuration does not contain.
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

// windowAt returns the number of the window that contains the given time.
func (m *moveState) windowAt(now time.Time) uint64 {
	return uint64(now.UnixNano()) / uint64(m.windowLength)
}

// addRoutes adds routes to the state. The caller holds Controller.mu.
func (m *moveState) addRoutes(routes []string, self identity.Incarnation) {
	merged := maps.Clone(*m.routes.Load())
	for _, name := range routes {
		if merged[name] == nil && len(merged) < maxRoutes {
			merged[name] = &routeState{splitter: newSplitter(phaseOf(self, name))}
		}
	}
	m.routes.Store(&merged)
}

// route returns a route's state, or nil.
func (m *moveState) route(name string) *routeState { return (*m.routes.Load())[name] }

// phaseOf derives a phase from a host and a key, so that hosts and routes do
// not act at the same time.
func phaseOf(self identity.Incarnation, key string) Fraction {
	return Fraction(xxhash.Sum64String(self.String()+"/"+key)) % fractionUnit
}

// adoptStage raises a move's stage and reports whether it changed. The caller
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

// isFirstLossInWindow reports whether the loss of an endpoint has not been
// counted yet in the current window.
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

// maxLostEndpoints bounds the number of endpoints whose losses are
// deduplicated.
const maxLostEndpoints = 4096

// wake makes Run execute a step soon.
func (c *Controller) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}
