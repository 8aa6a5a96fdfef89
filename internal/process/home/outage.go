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

// Times and bounds of retaining homes while the log is unavailable.
const (
	outagePollInterval = 500 * time.Millisecond
	logStatusTimeout   = 400 * time.Millisecond
	// retentionTTL is how long the other hosts' confirmation that the log is
	// unavailable is valid.
	retentionTTL = 1500 * time.Millisecond
	tableTimeout = 2 * time.Second
	// maxPolledPeers is the maximum number of hosts that are polled at a time.
	maxPolledPeers = 16
)

// logStatusRequest asks a host whether it can read the stream.
type logStatusRequest struct{}

// logStatusReply reports whether the log is unavailable to a host, and the
// offset up to which the host has read.
type logStatusReply struct {
	LogUnavailable bool   `cbor:"1,keyasint"`
	Offset         uint64 `cbor:"2,keyasint"`
}

// tableRequest asks a host for its table of homes.
type tableRequest struct{}

// tableReply holds a host's table of homes.
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

// outageState is the state of retaining homes during an outage of the log.
type outageState struct {
	// retainedUntil is until when this host's homes stay in use although their
	// leases have expired.
	retainedUntil time.Time
	// members are the names of the hosts that were alive when the log was last
	// read.
	members []string
	// peerOffset is the highest offset of a table fetched from another host.
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

// retainHomes keeps this host's homes in use while the log is unavailable to
// all hosts, until the context ends.
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

// retainOnce polls other hosts for whether the log is unavailable to them as
// well, and extends the retention if a majority confirms it.
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

// checkOutage returns the names of the hosts that were alive when the log was
// last read, the offset up to which this host has read, and whether the log is
// unavailable to it. A leaving host never reports an outage, since it doesn't
// retain its homes.
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

// samplePeers returns up to maxPolledPeers of the other hosts, chosen at
// random.
func samplePeers(names []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxPolledPeers)]
}

// pollHosts polls those of the named hosts that are alive. It returns their
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

// liveHosts returns the live hosts among those named.
func (m *Manager) liveHosts(names []string) []identity.Host {
	hosts := []identity.Host{}
	for _, member := range m.options.Members() {
		if slices.Contains(names, member.Host.Host) {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// isOutageConfirmed reports whether homes may be retained: no polled host reads
// the log, and a majority of the given number of hosts, including this one,
// confirms that. No host can have claimed the homes then.
func isOutageConfirmed(hosts int, replies []logStatusReply) bool {
	for _, reply := range replies {
		if !reply.LogUnavailable {
			return false
		}
	}
	return 2*(len(replies)+1) > hosts
}

// extendRetention retains the homes until the given time.
func (m *Manager) extendRetention(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage.retainedUntil = until
	m.publish()
}

// fetchTable merges the homes that another host knows.
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

// mergeHome merges a home that another host has read of, and reports whether it
// changed the table.
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
