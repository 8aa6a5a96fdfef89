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

// DefaultLogRetention is assumed of a log whose retention is not set.
const DefaultLogRetention = 10 * time.Minute

// Options are what a Follower needs.
type Options struct {
	// Host is the host's name.
	Host string
	Keys *Keyring
	Log  platform.Log
	// Caller sends to peers; nil if there is no mesh.
	Caller mesh.Caller
	// Peers gives the mesh addresses of the other hosts.
	Peers func() []string
	// LogRetention is how long the log keeps records; zero means
	// DefaultLogRetention.
	LogRetention time.Duration
	Metrics      metrics.Registry
	Logger       logrus.FieldLogger
	// OnChange is told of every change; nil if nobody listens. It must not
	// block.
	OnChange func(Change)
}

// ChangeKind names what changed.
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

// Change is one change of what a follower knows.
type Change struct {
	Kind ChangeKind
	// Version is the version in force, for ChangeInForce.
	Version *VersionInfo
	// Mark is the mark, for ChangeDomain.
	Mark Mark
	// Move is the move with its state, for ChangeMove.
	Move MoveView
	// Outcome is the outcome, for ChangeRefused.
	Outcome Outcome
	// LogUnavailable tells whether the log is unavailable, for ChangeLog.
	LogUnavailable bool
}

// Follower keeps a host's state of the configuration up to date. It is safe
// for concurrent use.
type Follower struct {
	options Options
	metrics followerMetrics
	view    atomic.Pointer[View]

	mu    sync.Mutex
	state State
	// serving is the greatest rolled version whose schema this release knows.
	serving *Version
	health  health
	// schedule tells when the next snapshot is due.
	schedule         snapshotSchedule
	outcomes         outcomeHistory
	unsent           unsent
	stamp            Stamp
	sequence         uint64
	waiters          map[string][]chan Outcome
	subscribers      map[int]chan *View
	nextSubscriberID int

	// pushSignal is signalled when there is something to send to peers, work when
	// there may be something to append.
	pushSignal     chan struct{}
	backfillSignal chan struct{}
}

// NewFollower gives a follower that knows nothing yet.
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

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error { return f.pullLoop(ctx) })
	group.Go(func() error { return f.pushLoop(ctx) })
	group.Go(func() error { return f.backfill(ctx) })
	return group.Wait()
}

// Current gives the configuration in force. It is never nil and never blocks.
func (f *Follower) Current() *View { return f.view.Load() }

// Subscribe gives a channel that holds the newest view after each change, and
// a function that ends the subscription. A slow reader misses views but never
// the last one.
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

// JoinMove takes in how far this host knows a version move to be. It spreads
// by the mesh; a verdict goes to the log too. A state that others have passed
// already changes nothing.
func (f *Follower) JoinMove(id MoveID, state MoveState) {
	f.update(func(s *State) { s.joinMove(id, state) })
}
