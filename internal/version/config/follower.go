package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
)

// DefaultLogRetention is the assumed retention of a log if none is set.
const DefaultLogRetention = 10 * time.Minute

// Options configure a Follower.
type Options struct {
	// Host is the name of this host.
	Host string
	Keys *Keyring
	Log  platform.Log
	// Caller calls peers; nil if there is no mesh.
	Caller mesh.Caller
	// Peers returns the mesh addresses of the other hosts.
	Peers func() []string
	// LogRetention is how long the log keeps records; zero means
	// DefaultLogRetention.
	LogRetention time.Duration
	Metrics      metrics.Registry
	Logger       logrus.FieldLogger
	// OnChange is called for every change; nil for none. It must not block.
	OnChange func(Change)
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	ChangeInForce ChangeKind = "version in force"
	ChangeDomain  ChangeKind = "domain marked"
	ChangeMove    ChangeKind = "move"
	ChangeRefused ChangeKind = "record refused"
	ChangeLog     ChangeKind = "log"
	ChangeReady   ChangeKind = "ready"
)

// Change is a change of a follower's state.
type Change struct {
	Kind ChangeKind
	// Version is the version in force, for ChangeInForce.
	Version *VersionInfo
	// Mark is the mark, for ChangeDomain.
	Mark Mark
	// Move is the move with its state, for ChangeMove.
	Move MoveView
	// Outcome is the outcome of the record, for ChangeRefused.
	Outcome Outcome
	// LogUnavailable reports whether the log is unavailable, for ChangeLog.
	LogUnavailable bool
}

// Follower keeps a host's configuration state up to date with the log and with
// peers. It is safe for concurrent use.
type Follower struct {
	options Options
	metrics followerMetrics
	view    atomic.Pointer[View]

	mu    sync.Mutex
	state State
	// serving is the highest rolled version whose schema this release supports.
	serving *Version
	health  health
	// schedule determines when the next snapshot is due.
	schedule         snapshotSchedule
	outcomes         outcomeHistory
	unsent           unsent
	stamp            Stamp
	sequence         uint64
	waiters          map[string][]chan Outcome
	subscribers      map[int]chan *View
	nextSubscriberID int

	// pushSignal wakes pushLoop when there are changes to send to peers;
	// backfillSignal wakes backfill when there may be records to append.
	pushSignal     chan struct{}
	backfillSignal chan struct{}
}

// NewFollower returns a follower with an empty state.
func NewFollower(options Options) *Follower {
	if options.LogRetention == 0 {
		options.LogRetention = DefaultLogRetention
	}
	if options.OnChange == nil {
		options.OnChange = func(Change) {}
	}
	if options.Peers == nil || options.Caller == nil {
		options.Peers = func() []string { return nil }
	}
	f := &Follower{
		options:        options,
		metrics:        newFollowerMetrics(options.Metrics),
		state:          State{}.clone(),
		outcomes:       newOutcomeHistory(),
		unsent:         newUnsent(),
		waiters:        map[string][]chan Outcome{},
		subscribers:    map[int]chan *View{},
		pushSignal:     make(chan struct{}, 1),
		backfillSignal: make(chan struct{}, 1),
	}
	f.view.Store(newView(f.state, nil))
	return f
}

// Run keeps the state up to date until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error { return f.pullLoop(ctx) })
	group.Go(func() error { return f.pushLoop(ctx) })
	group.Go(func() error { return f.backfill(ctx) })
	return group.Wait()
}

// Current returns the configuration in force. It is never nil and never blocks.
func (f *Follower) Current() *View { return f.view.Load() }

// Subscribe returns a channel that holds the newest view after each change, and
// a function that ends the subscription. A slow reader misses intermediate
// views but never the last one.
func (f *Follower) Subscribe() (<-chan *View, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.nextSubscriberID
	f.nextSubscriberID++
	channel := make(chan *View, 1)
	f.subscribers[id] = channel
	return channel, func() { f.unsubscribe(id) }
}

func (f *Follower) unsubscribe(id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.subscribers, id)
}

// Ready reports whether the host may serve, and if not, why.
func (f *Follower) Ready() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readiness()
}

// JoinMove joins a state of a version move into the host's state. The result
// spreads over the mesh, and a verdict is also appended to the log. A state that
// is already superseded has no effect.
func (f *Follower) JoinMove(id MoveID, state MoveState) {
	f.update(func(s *State) { s.joinMove(id, state) })
}
