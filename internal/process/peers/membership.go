package peers

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// reachableTimeout is the age from which a host counts as not heard, beside the
	// time between its messages.
	reachableTimeout = 900 * time.Millisecond
	// maxMissedMessages is how many messages in a row may be lost before that.
	maxMissedMessages = 4
	// restartQuietPeriod is the silence from which a message of a lower incarnation
	// is that of a new process and not a late one of an old process.
	restartQuietPeriod = 400 * time.Millisecond
	// sharingHostTimeout is how long a host that is not heard still counts among those
	// that may spend: it may be cut off and serve its own callers.
	sharingHostTimeout = 20 * time.Second
	// probeInterval is the pause between messages to hosts that are not heard.
	probeInterval = time.Second
	// forgetTimeout is when a host that was never heard again is forgotten.
	forgetTimeout = 2 * time.Minute
)

// peer is another host.
type peer struct {
	address netip.AddrPort
	host    Host
	// status is from its newest message.
	status     Status
	sequence   uint64
	receivedAt time.Time
	// lastMessage is its newest message.
	lastMessage Message
	// sentAt is when it was last sent a message, knownAt when it was first
	// known of.
	sentAt, knownAt time.Time
}

// Membership is what is known of the other hosts. It is safe for concurrent use.
type Membership struct {
	self Host

	mu           sync.Mutex
	peers        map[netip.AddrPort]*peer
	sendInterval time.Duration
}

// NewMembership returns a roster of a host that knows of no other.
func NewMembership(self Host) *Membership {
	return &Membership{self: self, peers: map[netip.AddrPort]*peer{}, sendInterval: minSendInterval}
}

// AddPeer notes that a host may be at a link.
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

// isReachable reports whether the host was heard lately.
func (m *Membership) isReachable(p *peer, now time.Time) bool {
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < reachableTimeout+maxMissedMessages*m.sendInterval
}

// receive takes a message in. It reports whether the message is new, and whether
// the host was not heard before.
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
	p.status, p.sequence, p.receivedAt, p.lastMessage = message.Status, message.Sequence, now, message
	for _, address := range message.KnownHosts {
		m.addPeer(address, now)
	}
	return true, isNewlyReachable
}

// isSupersededBy reports whether a message is newer than the last one heard. An
// incarnation is a time of day, which may jump back before a host starts again:
// a lower one counts once the host has been silent for some of its messages.
func (p *peer) isSupersededBy(message Message, now time.Time) bool {
	switch known := p.host.Incarnation; {
	case message.From.Incarnation == known:
		return message.Sequence > p.sequence
	case message.From.Incarnation < known:
		return now.Sub(p.receivedAt) > restartQuietPeriod
	}
	return true
}

// recipients are the links to send a message to now, and those that are heard.
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

// bundlePlan says which messages a host sends beside those to all hosts.
type bundlePlan struct {
	// relay is the host of this failure domain that bundles its messages: the
	// first to serve. It is the zero link if they are not bundled.
	relay netip.AddrPort
	// members are the other hosts of this domain, and latest their messages.
	members        []netip.AddrPort
	latestMessages []Message
	// remoteRelays are those of the other domains.
	remoteRelays []netip.AddrPort
}

// planBundles describes the bundles of a large fleet; it is empty for a small one.
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

// FrontendAddresses are the callers' addresses of the other hosts that take callers, in
// order.
func (m *Membership) FrontendAddresses(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, p := range m.peers {
		if m.isReachable(p, now) && p.status.Ready && !p.status.Leaving && p.host.FrontendAddress != "" {
			addresses = append(addresses, p.host.FrontendAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// SharingHosts are the links of the hosts that may use what all hosts share, in
// order, and how many of them are heard; this one is included.
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

// LogReader is the link of the heard host that reads the platform's log for this
// host's failure domain: the first to serve of those that the log answers. It
// is this host's own if there is no other. Avoided hosts are passed over.
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

// ReachableInDomain is the number of heard hosts in this host's failure domain, itself
// included.
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

// NewlyUnreachable are the names of the hosts that have ceased to be heard since the last
// call; seen is the caller's memory between calls.
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

// IsLeader reports whether this host has the lowest link among the heard ones
// whose status satisfies a condition, and itself.
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

// FindReachable is the link of a heard host whose status satisfies a condition, or the
// zero link.
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

// MarkAllUnreachable makes all hosts unheard, after a time in which this host stood still.
func (m *Membership) MarkAllUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.receivedAt = time.Time{}
	}
}
