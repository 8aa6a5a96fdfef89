package peers

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// reachableTimeout is how long after its last message a host becomes
	// unreachable, in addition to the time for missed messages.
	reachableTimeout = 900 * time.Millisecond
	// maxMissedMessages is how many consecutive lost messages are tolerated.
	maxMissedMessages = 4
	// restartQuietPeriod is how long a host must have been silent before a
	// message with a lower incarnation is attributed to a new process instead of
	// being a late message of an old one.
	restartQuietPeriod = 400 * time.Millisecond
	// sharingHostTimeout is how long an unreachable host still counts as sharing
	// the limits: it may be partitioned and still serve its own callers.
	sharingHostTimeout = 20 * time.Second
	// probeInterval is the time between messages to an unreachable host.
	probeInterval = time.Second
	// forgetTimeout is when a host that stays unreachable is removed.
	forgetTimeout = 2 * time.Minute
)

// peer is the state of another host.
type peer struct {
	address netip.AddrPort
	host    Host
	// status is from the newest message.
	status     Status
	sequence   uint64
	receivedAt time.Time
	// reachableSince is when the host became reachable, or restarted.
	reachableSince time.Time
	// lastMessage is the newest message.
	lastMessage Message
	// sentAt is when the last message was sent to the host; knownAt is when its
	// address was first learned.
	sentAt, knownAt time.Time
}

// Membership tracks the other hosts of the fleet. It is safe for concurrent
// use.
type Membership struct {
	self Host

	mu           sync.Mutex
	peers        map[netip.AddrPort]*peer
	sendInterval time.Duration
}

// NewMembership returns a membership that contains only the local host.
func NewMembership(self Host) *Membership {
	return &Membership{self: self, peers: map[netip.AddrPort]*peer{}, sendInterval: minSendInterval}
}

// AddPeer adds the address of a possible host.
func (m *Membership) AddPeer(address netip.AddrPort, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeer(address, now)
}

func (m *Membership) addPeer(address netip.AddrPort, now time.Time) *peer {
	if !address.IsValid() || address == m.self.PeerAddress {
		return nil
	}
	p := m.peers[address]
	if p == nil {
		p = &peer{address: address, knownAt: now}
		m.peers[address] = p
	}
	return p
}

// isReachable reports whether a message from the host arrived recently.
func (m *Membership) isReachable(p *peer, now time.Time) bool {
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < reachableTimeout+maxMissedMessages*m.sendInterval
}

// receive processes a message. It reports whether the message is new and
// whether the host was unreachable or restarted before it.
func (m *Membership) receive(message Message, now time.Time) (isNew, isNewlyReachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.addPeer(message.From.PeerAddress, now)
	if p == nil {
		return false, false
	}
	if !p.isSupersededBy(message, now) {
		return false, false
	}
	isNewlyReachable = !m.isReachable(p, now) || p.host.Incarnation != message.From.Incarnation
	if message.From.Name != "" || p.host.Incarnation != message.From.Incarnation {
		p.host = message.From
	}
	if isNewlyReachable {
		p.reachableSince = now
	}
	p.status, p.sequence, p.receivedAt, p.lastMessage = message.Status, message.Sequence, now, message
	for _, address := range message.KnownHosts {
		m.addPeer(address, now)
	}
	return true, isNewlyReachable
}

// isSupersededBy reports whether a message is newer than the last one received.
// An incarnation is a wall-clock time, and the clock may be set back before a
// host restarts: a lower incarnation is accepted once the host has been silent
// for several message intervals.
func (p *peer) isSupersededBy(message Message, now time.Time) bool {
	switch known := p.host.Incarnation; {
	case message.From.Incarnation == known:
		return message.Sequence > p.sequence
	case message.From.Incarnation < known:
		return now.Sub(p.receivedAt) > restartQuietPeriod
	}
	return true
}

// recipients returns the addresses that are due a message, and the reachable
// ones.
func (m *Membership) recipients(now time.Time) (to, reachable []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		switch {
		case m.isReachable(p, now):
			reachable = append(reachable, address)
		case now.Sub(p.knownAt) > forgetTimeout && now.Sub(p.receivedAt) > forgetTimeout:
			delete(m.peers, address)
			continue
		case now.Sub(p.sentAt) < probeInterval:
			continue
		}
		p.sentAt = now
		to = append(to, address)
	}
	m.sendInterval = max(minSendInterval, time.Duration(len(reachable))*sendIntervalPerHost)
	return to, reachable
}

// bundlePlan describes which bundles a host sends in addition to its broadcasts.
type bundlePlan struct {
	// relay is the host that bundles the messages of this failure domain. It is
	// the zero address if messages are not bundled.
	relay netip.AddrPort
	// members are the other hosts of this domain; latestMessages are their
	// newest messages.
	members        []netip.AddrPort
	latestMessages []Message
	// remoteRelays are the relays of the other domains.
	remoteRelays []netip.AddrPort
}

// planBundles returns the bundle plan, which is empty for a small fleet.
func (m *Membership) planBundles(now time.Time) bundlePlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	relay := m.self
	b := bundlePlan{}
	remoteRelays := map[string]Host{}
	reachable := 0
	for address, p := range m.peers {
		if !m.isReachable(p, now) || p.host.Domain == "" {
			continue
		}
		reachable++
		if p.host.Domain == m.self.Domain {
			b.members = append(b.members, address)
			b.latestMessages = append(b.latestMessages, p.lastMessage)
			if p.host.isPreferredOver(relay) && !p.status.Leaving {
				relay = p.host
			}
			continue
		}
		if known, found := remoteRelays[p.host.Domain]; (!found || p.host.isPreferredOver(known)) && !p.status.Leaving {
			remoteRelays[p.host.Domain] = p.host
		}
	}
	if reachable < minBundlingHosts {
		return bundlePlan{}
	}
	b.relay = relay.PeerAddress
	for _, remote := range remoteRelays {
		b.remoteRelays = append(b.remoteRelays, remote.PeerAddress)
	}
	return b
}

// ReadyHost is another host that accepts callers.
type ReadyHost struct {
	Host
	// Spent is what the host spent on callers lately, ReachableFor the time for
	// which it has been reachable.
	Spent        Usage
	ReachableFor time.Duration
}

// ReadyHosts returns the other hosts that accept callers.
func (m *Membership) ReadyHosts(now time.Time) []ReadyHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []ReadyHost
	for _, p := range m.peers {
		if !m.isReachable(p, now) || !p.status.Ready || p.status.Leaving || p.host.FrontendAddress == "" {
			continue
		}
		ready := ReadyHost{Host: p.host, ReachableFor: now.Sub(p.reachableSince)}
		if p.status.Spent != nil {
			ready.Spent = *p.status.Spent
		}
		hosts = append(hosts, ready)
	}
	return hosts
}

// SharingHosts returns the sorted addresses of the hosts that share the limits,
// including this one, and how many of them are reachable.
func (m *Membership) SharingHosts(now time.Time) (addresses []netip.AddrPort, reachable int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses, reachable = append(addresses, m.self.PeerAddress), 1
	for address, p := range m.peers {
		switch {
		case m.isReachable(p, now):
			addresses = append(addresses, address)
			reachable++
		case p.status.Leaving:
		case now.Sub(p.receivedAt) < sharingHostTimeout || p.receivedAt.IsZero() && now.Sub(p.knownAt) < sharingHostTimeout:
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses, reachable
}

// LogReader returns the address of the host that reads the platform's log for
// this host's failure domain: the preferred reachable host that can read the
// log, or this host if there is no other. It skips hosts for which avoid returns
// true.
func (m *Membership) LogReader(avoid func(netip.AddrPort) bool, selfReads bool, now time.Time) netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	reader := Host{}
	if selfReads {
		reader = m.self
	}
	for address, p := range m.peers {
		if !m.isReachable(p, now) || p.status.StoreUnavailable || p.status.Leaving || p.status.OperatorNext == 0 ||
			p.host.Domain != m.self.Domain || avoid(address) {
			continue
		}
		if !reader.PeerAddress.IsValid() || p.host.isPreferredOver(reader) {
			reader = p.host
		}
	}
	if !reader.PeerAddress.IsValid() {
		return m.self.PeerAddress
	}
	return reader.PeerAddress
}

// ReachableInDomain returns the number of reachable hosts in this host's failure
// domain, including itself.
func (m *Membership) ReachableInDomain(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 1
	for _, p := range m.peers {
		if p.host.Domain == m.self.Domain && m.isReachable(p, now) {
			count++
		}
	}
	return count
}

// NewlyUnreachable returns the names of the hosts that became unreachable since
// the last call. The caller keeps seen between calls.
func (m *Membership) NewlyUnreachable(seen map[string]bool, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var unreachable []string
	for _, p := range m.peers {
		if p.host.Name == "" {
			continue
		}
		reachable := m.isReachable(p, now)
		if seen[p.host.Name] && !reachable {
			unreachable = append(unreachable, p.host.Name)
		}
		seen[p.host.Name] = reachable
	}
	return unreachable
}

// IsLeader reports whether no reachable host that satisfies a condition has a
// lower address than this host.
func (m *Membership) IsLeader(condition func(Status) bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		if m.isReachable(p, now) && condition(p.status) && address.Compare(m.self.PeerAddress) < 0 {
			return false
		}
	}
	return true
}

// FindReachable returns the address of a reachable host that satisfies a
// condition, or the zero address.
func (m *Membership) FindReachable(condition func(Status) bool, now time.Time) netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		if m.isReachable(p, now) && condition(p.status) {
			return address
		}
	}
	return netip.AddrPort{}
}

// MarkAllUnreachable marks all hosts as unreachable, after this process was
// suspended.
func (m *Membership) MarkAllUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.receivedAt = time.Time{}
	}
}
