package peers

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/runclock"
)

const (
	// reachableTimeout is how long after its last message a host becomes
	// unreachable, in addition to the time for missed messages.
	reachableTimeout = 900 * time.Millisecond
	// maxMissedMessages is how many consecutive lost messages are tolerated.
	maxMissedMessages = 4
	// idleTimeout is how long after its last message an idle host becomes
	// unreachable. Its messages spend up to bundleRotation bundle intervals at
	// each of two relays, and longer while a relay is replaced.
	idleTimeout = 8 * time.Second
	// maxReadySilence is the silence up to which callers may be sent to an idle
	// host.
	maxReadySilence = 4500 * time.Millisecond
	// maxRelaySilence is how long an idle host that hears no relay keeps its view
	// of the others: until then, the relay is more likely to be at fault.
	maxRelaySilence = 3 * time.Second
	// restartQuietPeriod is how long a host must have been silent before a
	// message with a lower incarnation is attributed to a new process instead of
	// being a late message of an old one.
	restartQuietPeriod = 400 * time.Millisecond
	// sharingHostTimeout is how long an unreachable host still counts as sharing
	// the limits: it may be partitioned and still serve its own callers.
	sharingHostTimeout = 20 * time.Second
	// minProbeInterval is the time between messages to an unreachable host.
	// probeIntervalPerHost lengthens it in a large fleet, of which many hosts may
	// be down.
	minProbeInterval     = time.Second
	probeIntervalPerHost = 10 * time.Millisecond
	// forgetTimeout is when a host that stays unreachable no longer counts.
	forgetTimeout = 2 * time.Minute
)

// peer is the state of another host.
type peer struct {
	address netip.AddrPort
	host    Host
	// status is from the newest message.
	status   Status
	sequence uint64
	// receivedAt is when the newest message arrived, less its time at relays.
	receivedAt time.Time
	// stoodBefore is for how long this process had not run by then.
	stoodBefore time.Duration
	// isOutdated is set if this process has not run for some time since then.
	isOutdated bool
	// reachableSince is when the host became reachable, or restarted.
	reachableSince time.Time
	// activeAt is when the host last said that it is active.
	activeAt time.Time
	// sentAt is when the last message was sent to the host, introducedAt when the
	// last introduction was; knownAt is when its address was first learned.
	sentAt, introducedAt, knownAt time.Time
}

// Membership tracks the other hosts of the fleet. It is safe for concurrent
// use. The times passed to its methods are those of Now.
type Membership struct {
	self  Host
	clock *runclock.Clock

	mu           sync.Mutex
	peers        map[netip.AddrPort]*peer
	forgotten    forgottenHosts
	sendInterval time.Duration
	role         role
	// carries is set if callers are sent to this host or it serves some.
	carries bool
	// announcesRole is set when this host has become idle or active, until it has told
	// the others: they would take it for unreachable, or for idle while relays tell active
	// hosts only of idle ones.
	announcesRole bool
	// bundleReceivedAt is when the last bundle arrived, bundleReceivedFrom the
	// relay that sent it.
	bundleReceivedAt   time.Time
	bundleReceivedFrom netip.AddrPort
}

// NewMembership returns a membership that contains only the local host.
func NewMembership(self Host) *Membership {
	return &Membership{self: self, clock: runclock.New(), peers: map[netip.AddrPort]*peer{}, forgotten: forgottenHosts{max: defaultMaxForgotten}, sendInterval: minSendInterval, role: role{isActive: true}}
}

// Now returns the current time of a clock by which other hosts are not silent while this
// process does not run.
func (m *Membership) Now() time.Time { return m.clock.Now() }

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
	return !p.receivedAt.IsZero() && m.silence(p, now) < m.maxSilence(p)
}

// silence returns how long a host has been silent. An idle host hears the others
// through its relay: while the relay is silent, this says nothing about them.
func (m *Membership) silence(p *peer, now time.Time) time.Duration {
	isRelayed := !m.role.isActive && p.address != m.role.relay
	if isRelayed && now.Sub(m.bundleReceivedAt) < maxRelaySilence {
		return m.bundleReceivedAt.Sub(p.receivedAt)
	}
	return now.Sub(p.receivedAt)
}

// maxSilence returns the silence from which a host is unreachable.
func (m *Membership) maxSilence(p *peer) time.Duration {
	switch {
	case !m.role.isLarge:
		return reachableTimeout + maxMissedMessages*m.sendInterval
	case !p.status.Active:
		return idleTimeout
	case m.role.isActive:
		return reachableTimeout + maxMissedMessages*m.sendInterval
	}
	return reachableTimeout + maxMissedMessages*bundleInterval
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
	p.status, p.sequence = message.Status, message.Sequence
	p.stoodBefore, p.isOutdated = m.clock.Stood(), false
	p.receivedAt = now.Add(-max(0, time.Duration(message.AgeMillis)*time.Millisecond))
	if p.status.Active {
		p.activeAt = p.receivedAt
	}
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

// ReadyHost is another host that accepts callers.
type ReadyHost struct {
	Host
	// Spent is what the host spent on callers lately, ReachableFor the time for
	// which it has been reachable.
	Spent        Usage
	ReachableFor time.Duration
	// Carries is set if callers are sent to it, Active if it exchanges messages with the
	// other active hosts itself. LostServices holds the hashes of the services of which it
	// can reach no endpoint.
	Carries      bool
	Active       bool
	LostServices []uint32
	// Operator is how far it has read the operator's records.
	Operator keyed.Position
}

// ReadyHosts returns the other hosts that accept callers.
func (m *Membership) ReadyHosts(now time.Time) []ReadyHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []ReadyHost
	for _, p := range m.peers {
		isHeard := m.isReachable(p, now) && (p.status.Active || m.silence(p, now) < maxReadySilence)
		if !isHeard || !p.status.Ready || p.status.Leaving || p.host.FrontendAddress == "" {
			continue
		}
		ready := ReadyHost{Host: p.host, ReachableFor: now.Sub(p.reachableSince), Carries: p.status.Carries, Active: p.status.Active, LostServices: p.status.LostServices, Operator: p.status.OperatorPosition()}
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
		if !m.isSharing(p, now) {
			continue
		}
		addresses = append(addresses, address)
		if m.isReachable(p, now) {
			reachable++
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses, reachable
}

// isSharing reports whether another host shares the limits: it is reachable, or may be
// partitioned and still serve its own callers.
func (m *Membership) isSharing(p *peer, now time.Time) bool {
	switch {
	case m.isReachable(p, now):
		return true
	case p.status.Leaving:
		return false
	}
	return now.Sub(p.receivedAt) < sharingHostTimeout || p.receivedAt.IsZero() && now.Sub(p.knownAt) < sharingHostTimeout
}

// reportDelay is the time for which a message may be delayed on its way and at a busy
// host.
const reportDelay = 100 * time.Millisecond

// Sharers returns how the other hosts that share the limits exchange their usage with
// this one. Their silence counts sooner than it makes them unreachable: until it does,
// each host could use what is left of a limit.
func (m *Membership) Sharers(now time.Time) map[string]allowance.Sharer {
	m.mu.Lock()
	defer m.mu.Unlock()
	isAlone := true
	for _, p := range m.peers {
		isAlone = isAlone && !p.wasHeard()
	}
	sharers := make(map[string]allowance.Sharer, len(m.peers))
	for address, p := range m.peers {
		switch {
		case p.isOutdated && p.wasHeard() && !p.status.Leaving:
			// It may have used more than it has reported.
			sharers[address.String()] = allowance.Sharer{}
		case m.isReachable(p, now) && (!m.role.isLarge || m.role.isActive && p.status.Active):
			sharers[address.String()] = allowance.Sharer{MaxSilence: reportDelay + maxMissedMessages*m.sendInterval}
		case m.isReachable(p, now):
			sharers[address.String()] = allowance.Sharer{MaxSilence: idleTimeout, IsRelayed: true}
		case p.status.Leaving:
		case isAlone || p.wasHeard() || now.Sub(p.knownAt) < sharingHostTimeout:
			// A host that has sent nothing yet may have left long ago, unless no other has
			// sent anything either: then this one may be cut off itself.
			sharers[address.String()] = allowance.Sharer{}
		}
	}
	return sharers
}

// wasHeard reports whether a message from the host ever arrived.
func (p *peer) wasHeard() bool { return p.sequence > 0 }

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

// FindReachable returns the address of a reachable host that satisfies a condition, or
// the zero address. It prefers hosts of this host's failure domain. isRemote is set if
// the host is in another one and, in a large fleet, another host of this host's domain
// is the one to read from there, to save traffic between domains.
func (m *Membership) FindReachable(condition func(Status) bool, now time.Time) (found netip.AddrPort, isRemote bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isPreferred := true
	for address, p := range m.peers {
		if !m.isReachable(p, now) {
			continue
		}
		isOwn := p.host.Domain == m.self.Domain
		if isOwn && !p.status.Leaving && p.host.isPreferredOver(m.self) {
			isPreferred = false
		}
		if condition(p.status) && (isOwn || !found.IsValid()) {
			found, isRemote = address, !isOwn
		}
	}
	return found, isRemote && m.role.isLarge && !isPreferred
}

// recordBundle records that a bundle has arrived. The time in which none did, as
// while a relay is replaced, does not count as silence of the active hosts, except
// for the relay that was silent: the new relay may have nothing newer of them in its first bundle.
func (m *Membership) recordBundle(from netip.AddrPort, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gap := now.Sub(m.bundleReceivedAt)
	if !m.role.isActive && gap > 2*bundleInterval && gap < maxRelaySilence {
		for _, p := range m.peers {
			if p.status.Active && p.address != m.bundleReceivedFrom && m.isReachable(p, now) {
				p.receivedAt = p.receivedAt.Add(gap)
			}
		}
	}
	m.bundleReceivedAt, m.bundleReceivedFrom = now, from
}

// knownCount returns the number of other hosts whose address is known.
func (m *Membership) knownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// currentSendInterval returns the time between this host's messages.
func (m *Membership) currentSendInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sendInterval
}
