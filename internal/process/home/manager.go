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

// Options are the dependencies of a Manager.
type Options struct {
	Self        identity.Host
	Log         platform.Log
	RecordCodec *RecordCodec
	// Members returns the live hosts, including this one.
	Members func() []Member
	// Caller makes calls to other hosts. If it is nil, homes expire while the
	// log is unavailable.
	Caller  mesh.Caller
	Metrics metrics.Registry
	Logger  logrus.FieldLogger
	// Observe is called for every change of a home; it may be nil. It must not
	// block.
	Observe func(Change)
}

// Change is a change of an endpoint's home or of its exclusion.
type Change struct {
	Endpoint string
	Holder   identity.Incarnation
	Fence    uint64
	// Free is set if the endpoint has no home now.
	Free bool
	// Excluded is set while the endpoint doesn't run what the bundle specifies.
	Excluded bool
}

// Lease is a lease that this host holds on an endpoint.
type Lease struct {
	Fence uint64
	// Until is when the lease expires, on the monotonic clock.
	Until time.Time
	// Since is when this host read back its successful claim.
	Since time.Time
}

// Manager claims, renews and releases homes and looks up the home of each
// endpoint. It is safe for concurrent use.
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
	// sendTimes holds the time before this host sent each of its recent
	// records, by record ID.
	sendTimes   map[string]time.Time
	loadWaiters map[string]chan time.Duration
	renewedAt   time.Time
	// writtenOffset is the offset of this host's last record. No plan is made
	// before that record has been read back.
	writtenOffset uint64

	// planSignal is signalled when the plan may have changed.
	planSignal chan struct{}
}

// readerState is how far this host has read the stream.
type readerState struct {
	// atTail is set if the last read succeeded and reached the tail.
	atTail bool
	// appendFailed is set if the last append failed and no page was read since.
	appendFailed bool
	// gapAt is PlanInput.GapAt.
	gapAt time.Time
}

// isLogUnavailable reports whether the log is unavailable to this host.
func (r readerState) isLogUnavailable() bool { return !r.atTail || r.appendFailed }

// memberSet is the set of live hosts and the time of its last change.
type memberSet struct {
	members   []Member
	names     string
	changedAt time.Time
}

var _ placement.Homes = (*Manager)(nil)

// NewManager returns a manager that has read no records yet.
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

// Run reads the stream and maintains this host's homes until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.readStream(ctx) })
	group.Go(func() error { return m.writeStream(ctx) })
	group.Go(func() error { return m.retainHomes(ctx) })
	return group.Wait()
}

// Update sets the endpoints to those of a new configuration; a nil bundle is
// ignored.
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

// Lease returns the lease that this host holds on an endpoint, or false if it
// holds none that is valid now. Callers must check again right before they act
// on it.
func (m *Manager) Lease(endpoint string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease, found := m.leases[endpoint]
	return lease, found && time.Now().Before(lease.Until)
}

// HeldEndpoints lists the endpoints on which this host holds a lease that is
// valid now.
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

// SetExcluded tells all hosts whether an endpoint, whose home this host is, is
// excluded because it doesn't run what the bundle specifies.
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

// Leave stops acting as home and releases all homes. It waits until the
// releases are read back from the log, but no longer than leaveTimeout; if the
// log is unavailable, the leases expire instead.
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

// hasHomes reports whether this host is the home of any endpoint according to
// the stream.
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
	// leaveTimeout is the maximum time that a planned stop waits for the log.
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
