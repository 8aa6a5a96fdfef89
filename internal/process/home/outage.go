package home

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// Kinds of mesh messages.
const (
	kindLogStatus mesh.Kind = "home.hold"
	kindTable     mesh.Kind = "home.table"
)

// Times of holding homes while the log is out.
const (
	outagePollInterval = 500 * time.Millisecond
	logStatusTimeout   = 400 * time.Millisecond
	// retentionTTL is how long the hosts' word that the log is out counts.
	retentionTTL = 1500 * time.Millisecond
	tableTimeout = 2 * time.Second
	// maxPolledPeers bounds the hosts that are asked at a time.
	maxPolledPeers = 16
)

// logStatusRequest asks a host whether it reads the stream.
type logStatusRequest struct{}

// logStatusReply tells whether a host reads the stream, and how far it has.
type logStatusReply struct {
	LogUnavailable bool   `cbor:"1,keyasint"`
	Offset         uint64 `cbor:"2,keyasint"`
}

// tableRequest asks a host for the homes that it knows.
type tableRequest struct{}

// tableReply holds the homes that a host knows.
type tableReply struct {
	Offset uint64      `cbor:"1,keyasint"`
	Homes  []tableHome `cbor:"2,keyasint"`
}

// tableHome is one endpoint's home.
type tableHome struct {
	Endpoint    string        `cbor:"1,keyasint"`
	Holder      identity.Host `cbor:"2,keyasint"`
	Fence       uint64        `cbor:"3,keyasint"`
	LeaseMillis int64         `cbor:"4,keyasint"`
	Excluded    bool          `cbor:"5,keyasint,omitempty"`
}

// outageState is what a host knows of the others' sight of the log.
type outageState struct {
	// retainedUntil is retainedUntil when this host's homes are held although their leases have
	// lapsed.
	retainedUntil time.Time
	// members are the hosts that were alive when the log was last read.
	members []string
	// peerOffset is the highest peerOffset that another host has read.
	peerOffset uint64
}

// Register registers the handlers of the manager's mesh messages.
func (m *Manager) Register(router mesh.Router) {
	router.Handle(kindLogStatus, m.handleLogStatus)
	router.Handle(kindTable, m.handleTable)
}

func (m *Manager) handleLogStatus(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return logStatusReply{LogUnavailable: m.reader.isLogUnavailable(), Offset: m.table.Offset}, nil
}

func (m *Manager) handleTable(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := tableReply{Offset: max(m.table.Offset, m.outage.peerOffset)}
	for _, endpoint := range slices.Sorted(maps.Keys(m.table.entries)) {
		entry := m.table.entries[endpoint]
		if entry.Free {
			continue
		}
		reply.Homes = append(reply.Homes, tableHome{
			Endpoint:    endpoint,
			Holder:      entry.Holder,
			Fence:       entry.Fence,
			LeaseMillis: entry.LeaseTTL.Milliseconds(),
			Excluded:    entry.Excluded,
		})
	}
	return reply, nil
}

// retainHomes keeps this host's homes while the log is out for all, until the context
// ends.
func (m *Manager) retainHomes(ctx context.Context) error {
	ticker := time.NewTicker(outagePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.retainOnce(ctx)
		}
	}
}

// retainOnce asks the other hosts whether the log is out for them as well, and
// extends the hold if it is for most.
func (m *Manager) retainOnce(ctx context.Context) {
	names, offset, unavailable := m.checkOutage()
	if !unavailable || m.options.Caller == nil {
		return
	}
	pollStart := time.Now()
	names = samplePeers(names, m.options.Self.Host)
	replies, newestAddress, peerOffset := m.pollHosts(ctx, names)
	if peerOffset > max(offset, m.highestPeerOffset()) {
		m.fetchTable(ctx, newestAddress)
	}
	if isOutageConfirmed(len(names)+1, replies) {
		m.extendRetention(pollStart.Add(retentionTTL))
	}
}

// checkOutage reports whether the log is out for this host, with the hosts that
// were alive when it was last read, and how far this host has read.
func (m *Manager) checkOutage() ([]string, uint64, bool) {
	members := m.options.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reader.isLogUnavailable() || len(m.outage.members) == 0 {
		m.outage.members = memberNames(withSelf(members, m.options.Self, m.leaving))
	}
	return m.outage.members, m.table.Offset, m.reader.isLogUnavailable() && !m.leaving
}

func memberNames(members []Member) []string {
	names := []string{}
	for _, member := range members {
		names = append(names, member.Host.Host)
	}
	return names
}

func (m *Manager) highestPeerOffset() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outage.peerOffset
}

// samplePeers gives some of the other hosts at random, or all of a small fleet.
func samplePeers(names []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxPolledPeers)]
}

// pollHosts asks those of the named hosts that are alive. It returns their
// replies, and the address and offset of the one that has read furthest.
func (m *Manager) pollHosts(ctx context.Context, names []string) ([]logStatusReply, string, uint64) {
	type result struct {
		reply   logStatusReply
		address string
	}
	peers := m.liveHosts(names)
	results := make(chan result, len(peers))
	var group errgroup.Group
	for _, peer := range peers {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, logStatusTimeout)
			defer cancel()
			var reply logStatusReply
			if err := m.options.Caller.Call(ctx, peer.MeshAddress, kindLogStatus, logStatusRequest{}, &reply); err == nil {
				results <- result{reply, peer.MeshAddress}
			}
			return nil
		})
	}
	_ = group.Wait()
	close(results)
	replies := []logStatusReply{}
	newestAddress, highestOffset := "", uint64(0)
	for a := range results {
		replies = append(replies, a.reply)
		if a.reply.Offset >= highestOffset {
			newestAddress, highestOffset = a.address, a.reply.Offset
		}
	}
	return replies, newestAddress, highestOffset
}

// liveHosts gives the live hosts among those named.
func (m *Manager) liveHosts(names []string) []identity.Host {
	hosts := []identity.Host{}
	for _, member := range m.options.Members() {
		if slices.Contains(names, member.Host.Host) {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// isOutageConfirmed reports whether homes stay in use without the log: no host reads it,
// as most of a number of hosts, with this one, confirm. Then none can have
// claimed them.
func isOutageConfirmed(hosts int, replies []logStatusReply) bool {
	for _, reply := range replies {
		if !reply.LogUnavailable {
			return false
		}
	}
	return 2*(len(replies)+1) > hosts
}

// extendRetention keeps the homes in use until a time.
func (m *Manager) extendRetention(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage.retainedUntil = until
	m.publish()
}

// fetchTable takes in the homes that another host knows.
func (m *Manager) fetchTable(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var reply tableReply
	if err := m.options.Caller.Call(ctx, address, kindTable, tableRequest{}, &reply); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage.peerOffset = max(m.outage.peerOffset, reply.Offset)
	changed := []string{}
	for _, home := range reply.Homes {
		if m.table.mergeHome(home, time.Now()) {
			changed = append(changed, home.Endpoint)
		}
	}
	m.dropLostLeases(changed)
	if len(changed) > 0 {
		m.publish()
	}
}

// mergeHome takes in a home that another host has read of, and reports whether it
// is news.
func (t *Table) mergeHome(home tableHome, now time.Time) bool {
	known, found := t.entries[home.Endpoint]
	if found && known.Fence >= home.Fence || !found && len(t.entries) >= maxEntries {
		return false
	}
	t.Incomplete = true
	t.entries[home.Endpoint] = Entry{
		Holder:     home.Holder,
		Fence:      home.Fence,
		LastOffset: home.Fence,
		LeaseTTL:   time.Duration(home.LeaseMillis) * time.Millisecond,
		ReadAt:     now,
		Excluded:   home.Excluded,
	}
	return true
}
