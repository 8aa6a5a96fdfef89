package home

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/version/bundle"
)

// Options are what a Manager needs.
type Options struct {
	Self        identity.Host
	Log         platform.Log
	RecordCodec *RecordCodec
	// Members gives the live hosts, with this one.
	Members func() []Member
	// Caller reaches other hosts; without it homes lapse when the log is out.
	Caller  mesh.Caller
	Metrics metrics.Registry
	Logger  logrus.FieldLogger
	// Observe is told of every change of a home; nil for no observer. It
	// must not block.
	Observe func(Change)
}

// Change is a change of an endpoint's home or fitness.
type Change struct {
	Endpoint string
	Holder   identity.Incarnation
	Fence    uint64
	// Free tells that the endpoint has no home now.
	Free bool
	// Excluded tells that it does not run what the bundle wants.
	Excluded bool
}

// Lease is a lease that this host holds.
type Lease struct {
	Fence uint64
	// Until is when it lapses, on the monotonic clock.
	Until time.Time
	// Since is when this host learned that its claim stands.
	Since time.Time
}

// Manager claims, renews and gives back homes and tells who has which. It is
// safe for concurrent use.
type Manager struct {
	options Options
	metrics managerMetrics
	homes   atomic.Pointer[homesSnapshot]

	mu          sync.Mutex
	table       *Table
	loadLimiter LoadLimiter
	leases      map[string]Lease
	released    map[string]uint64
	excluded    map[string]bool
	endpoints   []string
	leaving     bool
	reader      readerState
	members     memberSet
	outage      outageState
	// sendTimes holds when this host sendTimes its recent records, by id.
	sendTimes   map[string]time.Time
	loadWaiters map[string]chan time.Duration
	renewedAt   time.Time
	// writtenOffset is the offset of this host's last record; no plan is made before
	// it was read back.
	writtenOffset uint64

	// planSignal is signalled when the plan may have changed.
	planSignal chan struct{}
}

// readerState is how far this host follows the stream.
type readerState struct {
	// atTail tells that the last read worked and reached the tail.
	atTail bool
	// appendFailed tells that the last append failed and nothing was read since.
	appendFailed bool
	// gapAt is Snapshot.UnseenSince.
	gapAt time.Time
}

// isLogUnavailable reports whether the log is out as far as this host can tell.
func (r readerState) isLogUnavailable() bool { return !r.atTail || r.appendFailed }

// memberSet is the set of hosts and when it last changed.
type memberSet struct {
	members   []Member
	names     string
	changedAt time.Time
}

var _ placement.Homes = (*Manager)(nil)

// NewManager gives a manager that knows no homes yet.
func NewManager(options Options) *Manager {
	if options.Observe == nil {
		options.Observe = func(Change) {}
	}
	m := &Manager{
		options:     options,
		metrics:     newManagerMetrics(options.Metrics),
		table:       NewTable(),
		leases:      map[string]Lease{},
		released:    map[string]uint64{},
		excluded:    map[string]bool{},
		sendTimes:   map[string]time.Time{},
		loadWaiters: map[string]chan time.Duration{},
		planSignal:  make(chan struct{}, 1),
	}
	m.homes.Store(&homesSnapshot{})
	return m
}

// Run follows the stream and keeps this host's homes until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.readStream(ctx) })
	group.Go(func() error { return m.writeStream(ctx) })
	group.Go(func() error { return m.retainHomes(ctx) })
	return group.Wait()
}

// Update takes the endpoints of a new configuration; nil is ignored.
func (m *Manager) Update(b *bundle.Bundle) {
	if b == nil {
		return
	}
	names := []string{}
	for _, endpoint := range b.Endpoints {
		names = append(names, endpoint.Name)
	}
	m.mu.Lock()
	m.endpoints = names
	m.mu.Unlock()
	m.requestPlan()
}

// Lease gives the lease that this host holds on an endpoint, or false if it
// holds none that is valid now. A holder asks again right before it acts.
func (m *Manager) Lease(endpoint string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease, found := m.leases[endpoint]
	return lease, found && time.Now().Before(lease.Until)
}

// HeldEndpoints lists the endpoints on which this host holds a lease that is valid now.
func (m *Manager) HeldEndpoints() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := []string{}
	for endpoint, lease := range m.leases {
		if time.Now().Before(lease.Until) {
			names = append(names, endpoint)
		}
	}
	return names
}

// SetExcluded tells all hosts whether an endpoint, whose home this host is, runs
// what the bundle wants.
func (m *Manager) SetExcluded(endpoint string, excluded bool) {
	m.mu.Lock()
	changed := m.excluded[endpoint] != excluded
	m.excluded[endpoint] = excluded
	if !excluded {
		delete(m.excluded, endpoint)
	}
	if changed {
		m.renewedAt = time.Time{}
	}
	m.mu.Unlock()
	if changed {
		m.requestPlan()
	}
}

// Leave ends the use of all homes and gives them back. It waits until the log
// has taken that, but not for a log that is out: the leases then lapse.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.requestPlan()
	defer m.dropLeases()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for m.hasHomes() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dropLeases drops all leases of this host.
func (m *Manager) dropLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases = map[string]Lease{}
	m.publish()
}

// hasHomes reports whether the stream names this host as a home.
func (m *Manager) hasHomes() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range m.table.entries {
		if !entry.Free && entry.Holder.Incarnation == m.options.Self.Incarnation {
			return true
		}
	}
	return false
}

func (m *Manager) requestPlan() {
	select {
	case m.planSignal <- struct{}{}:
	default:
	}
}

const (
	leavePollInterval = 20 * time.Millisecond
	// leaveTimeout bounds how long a planned stop waits for the log.
	leaveTimeout  = 2 * time.Second
	recordIDBytes = 12
)

func newRecordID() string {
	id := make([]byte, recordIDBytes)
	if _, err := rand.Read(id); err != nil {
		panic(err)
	}
	return hex.EncodeToString(id)
}
