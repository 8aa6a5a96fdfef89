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
	kindHold  mesh.Kind = "home.hold"
	kindTable mesh.Kind = "home.table"
)

// Times of holding homes while the log is out.
const (
	holdInterval = 500 * time.Millisecond
	holdTimeout  = 400 * time.Millisecond
	// holdFor is how long the hosts' word that the log is out counts.
	holdFor      = 1500 * time.Millisecond
	tableTimeout = 2 * time.Second
	// maxHoldPeers bounds the hosts that are asked at a time.
	maxHoldPeers = 16
)

// holdRequest asks a host whether it reads the stream.
type holdRequest struct{}

// holdReply tells whether a host reads the stream, and how far it has.
type holdReply struct {
	LogOut bool   `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
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
	Unfit       bool          `cbor:"5,keyasint,omitempty"`
}

// holding is what a host knows of the others' sight of the log.
type holding struct {
	// until is until when this host's homes are held although their leases have
	// lapsed.
	until time.Time
	// base are the hosts that were alive when the log was last read.
	base []string
	// offset is the highest offset that another host has read.
	offset uint64
}

// Register registers the handlers of the manager's mesh messages.
func (m *Manager) Register(router mesh.Router) {
	router.Handle(kindHold, m.handleHold)
	router.Handle(kindTable, m.handleTable)
}

func (m *Manager) handleHold(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return holdReply{LogOut: m.reading.isOut(), Offset: m.table.Offset}, nil
}

func (m *Manager) handleTable(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := tableReply{Offset: max(m.table.Offset, m.holding.offset)}
	for _, endpoint := range slices.Sorted(maps.Keys(m.table.entries)) {
		entry := m.table.entries[endpoint]
		if entry.Free {
			continue
		}
		reply.Homes = append(reply.Homes, tableHome{
			Endpoint:    endpoint,
			Holder:      entry.Holder,
			Fence:       entry.Fence,
			LeaseMillis: entry.Lease.Milliseconds(),
			Unfit:       entry.Unfit,
		})
	}
	return reply, nil
}

// hold keeps this host's homes while the log is out for all, until the context
// ends.
func (m *Manager) hold(ctx context.Context) error {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.holdOnce(ctx)
		}
	}
}

// holdOnce asks the other hosts whether the log is out for them as well, and
// extends the hold if it is for most.
func (m *Manager) holdOnce(ctx context.Context) {
	base, offset, out := m.outage()
	if !out || m.options.Caller == nil {
		return
	}
	asked := time.Now()
	base = sample(base, m.options.Self.Host)
	replies, newest, furthest := m.askHosts(ctx, base)
	if furthest > max(offset, m.heardOffset()) {
		m.pullTable(ctx, newest)
	}
	if isHeld(len(base)+1, replies) {
		m.extendHold(asked.Add(holdFor))
	}
}

// outage reports whether the log is out for this host, with the hosts that
// were alive when it was last read, and how far this host has read.
func (m *Manager) outage() ([]string, uint64, bool) {
	members := m.options.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reading.isOut() || len(m.holding.base) == 0 {
		m.holding.base = namesOf(withSelf(members, m.options.Self, m.leaving))
	}
	return m.holding.base, m.table.Offset, m.reading.isOut() && !m.leaving
}

func namesOf(members []Member) []string {
	names := []string{}
	for _, member := range members {
		names = append(names, member.Host.Host)
	}
	return names
}

func (m *Manager) heardOffset() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holding.offset
}

// sample gives some of the other hosts at random, or all of a small fleet.
func sample(names []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxHoldPeers)]
}

// askHosts asks those of the named hosts that are alive. It returns their
// replies, and the address and offset of the one that has read furthest.
func (m *Manager) askHosts(ctx context.Context, names []string) ([]holdReply, string, uint64) {
	type answer struct {
		reply   holdReply
		address string
	}
	peers := m.membersNamed(names)
	answers := make(chan answer, len(peers))
	var group errgroup.Group
	for _, peer := range peers {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, holdTimeout)
			defer cancel()
			var reply holdReply
			if err := m.options.Caller.Call(ctx, peer.MeshAddress, kindHold, holdRequest{}, &reply); err == nil {
				answers <- answer{reply, peer.MeshAddress}
			}
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	replies := []holdReply{}
	newest, furthest := "", uint64(0)
	for a := range answers {
		replies = append(replies, a.reply)
		if a.reply.Offset >= furthest {
			newest, furthest = a.address, a.reply.Offset
		}
	}
	return replies, newest, furthest
}

// membersNamed gives the live hosts among those named.
func (m *Manager) membersNamed(names []string) []identity.Host {
	hosts := []identity.Host{}
	for _, member := range m.options.Members() {
		if slices.Contains(names, member.Host.Host) {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// isHeld reports whether homes stay in use without the log: no host reads it,
// as most of a number of hosts, with this one, confirm. Then none can have
// claimed them.
func isHeld(hosts int, replies []holdReply) bool {
	for _, reply := range replies {
		if !reply.LogOut {
			return false
		}
	}
	return 2*(len(replies)+1) > hosts
}

// extendHold keeps the homes in use until a time.
func (m *Manager) extendHold(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding.until = until
	m.publish()
}

// pullTable takes in the homes that another host knows.
func (m *Manager) pullTable(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var reply tableReply
	if err := m.options.Caller.Call(ctx, address, kindTable, tableRequest{}, &reply); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding.offset = max(m.holding.offset, reply.Offset)
	changed := []string{}
	for _, home := range reply.Homes {
		if m.table.learn(home, time.Now()) {
			changed = append(changed, home.Endpoint)
		}
	}
	m.dropLost(changed)
	if len(changed) > 0 {
		m.publish()
	}
}

// learn takes in a home that another host has read of, and reports whether it
// is news.
func (t *Table) learn(home tableHome, now time.Time) bool {
	known, found := t.entries[home.Endpoint]
	if found && known.Fence >= home.Fence || !found && len(t.entries) >= maxEntries {
		return false
	}
	t.Partial = true
	t.entries[home.Endpoint] = Entry{
		Holder: home.Holder,
		Fence:  home.Fence,
		Last:   home.Fence,
		Lease:  time.Duration(home.LeaseMillis) * time.Millisecond,
		Seen:   now,
		Unfit:  home.Unfit,
	}
	return true
}
