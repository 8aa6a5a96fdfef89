package peers

import (
	"net/netip"
	"slices"
	"time"
)

// role is this host's part in the exchange of messages.
//
// In a small fleet every host is active: it sends its messages to all others. In
// a large one, only the hosts that serve callers or relay are active, and they
// exchange their messages directly, since they need each other's loads often. An
// idle host exchanges messages with the relay of its failure domain alone.
type role struct {
	isLarge, isActive bool
	// relay is the relay of this host's failure domain; the zero address in a
	// small fleet.
	relay netip.AddrPort
}

const (
	// minLargeFleet is the number of reachable hosts from which the fleet counts
	// as large, maxSmallFleet the number up to which it counts as small again.
	minLargeFleet = 16
	maxSmallFleet = 12
)

// SetCarries sets whether callers are sent to this host or it serves some.
func (m *Membership) SetCarries(carries bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.carries = carries
}

// updateRole determines this host's role. The caller holds mu.
func (m *Membership) updateRole(now time.Time) {
	reachable, relay := 0, m.self
	for _, p := range m.peers {
		if !m.isReachable(p, now) {
			continue
		}
		reachable++
		if p.host.Domain == m.self.Domain && !p.status.Leaving && p.host.isPreferredOver(relay) {
			relay = p.host
		}
	}
	wasActive := m.role.isActive
	isLarge := reachable >= minLargeFleet || m.role.isLarge && reachable > maxSmallFleet
	next := role{isActive: true}
	if isLarge {
		isRelay := relay.PeerAddress == m.self.PeerAddress
		next = role{isLarge: true, isActive: m.carries || isRelay, relay: relay.PeerAddress}
	}
	if next.isActive && !wasActive {
		m.expectDirectMessages(now)
	}
	if next.isActive != wasActive {
		m.announcesRole = true
	}
	m.role = next
}

// expectDirectMessages counts the reachable hosts as heard now, when this host
// becomes active: those that were heard through a relay have yet to send their
// messages to this host.
func (m *Membership) expectDirectMessages(now time.Time) {
	for _, p := range m.peers {
		if p.status.Active && m.isReachable(p, now) {
			p.receivedAt = now
		}
	}
}

// IsActive reports whether this host is active.
func (m *Membership) IsActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role.isActive
}

// Relay returns the relay of this host's failure domain if this host hears the
// others through it, and the zero address otherwise.
func (m *Membership) Relay() netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role.isActive {
		return netip.AddrPort{}
	}
	return m.role.relay
}

// recipients returns the addresses that are due a message: the hosts that this
// one exchanges messages with, or all reachable ones when its role has changed, and
// unreachable ones to probe. isProbing is set if there are any of the latter.
func (m *Membership) recipients(now time.Time) (to []netip.AddrPort, isProbing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRole(now)
	probeInterval := max(minProbeInterval, time.Duration(len(m.peers))*probeIntervalPerHost)
	exchanging := 0
	toAll := m.announcesRole
	m.announcesRole = false
	for address, p := range m.peers {
		switch {
		case m.isReachable(p, now):
			if m.exchangesWith(p) {
				exchanging++
			} else if !toAll {
				continue
			}
		case now.Sub(p.knownAt) > forgetTimeout && now.Sub(p.receivedAt) > forgetTimeout:
			delete(m.peers, address)
			m.forgotten.add(address, now)
			continue
		case now.Sub(p.sentAt) < probeInterval:
			continue
		default:
			isProbing = true
		}
		p.sentAt = now
		to = append(to, address)
	}
	if address := m.forgotten.next(func(a netip.AddrPort) bool { return m.peers[a] != nil }, now); address.IsValid() {
		to, isProbing = append(to, address), true
	}
	m.sendInterval = max(minSendInterval, time.Duration(exchanging)*sendIntervalPerHost)
	if !m.role.isActive {
		m.sendInterval = idleSendInterval
	}
	return to, isProbing
}

// exchangesWith reports whether this host sends its messages to a reachable
// host.
func (m *Membership) exchangesWith(p *peer) bool {
	switch {
	case !m.role.isLarge:
		return true
	case m.role.isActive:
		return p.status.Active
	}
	return p.address == m.role.relay
}

// introductionInterval is the time between introductions to a host that knows
// much fewer hosts than this one does: an introduction may be lost.
const introductionInterval = time.Second

// needsIntroduction reports whether the sender of a message is to be told of
// this host and the others, and records that it is.
func (m *Membership) needsIntroduction(message Message, isNewlyReachable bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[message.From.PeerAddress]
	knowsFew := message.KnownCount*2 < len(m.peers) && p != nil && now.Sub(p.introducedAt) > introductionInterval
	if p == nil || !isNewlyReachable && !knowsFew {
		return false
	}
	p.introducedAt = now
	return true
}

// knownInSmallFleet returns the addresses of the reachable hosts, or none in a
// large fleet, whose hosts learn of others by introduction and from relays.
func (m *Membership) knownInSmallFleet(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	isLarge := m.role.isLarge
	m.mu.Unlock()
	if isLarge {
		return nil
	}
	return m.reachableAddresses(now)
}

// reachableAddresses returns the addresses of all reachable hosts.
func (m *Membership) reachableAddresses(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []netip.AddrPort
	for address, p := range m.peers {
		if m.isReachable(p, now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ActiveHosts returns the sorted addresses of the hosts that serve callers or
// may do so: the active ones, those that were active before they recently became
// unreachable, and this one if it is active.
func (m *Membership) ActiveHosts(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []netip.AddrPort
	if m.role.isActive {
		addresses = append(addresses, m.self.PeerAddress)
	}
	for address, p := range m.peers {
		isShared := p.status.Active && !p.status.Leaving && now.Sub(p.activeAt) < sharingHostTimeout
		if m.isReachable(p, now) {
			isShared = p.status.Active
		}
		if isShared {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
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
		if !m.isReachable(p, now) || p.status.StoreUnavailable || p.status.Leaving || !p.status.Loaded ||
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

// IsLeader reports whether this host is the preferred one of the reachable hosts
// that satisfy a condition: the lowest address of those that carry no callers,
// so that losing the leader interrupts no request, or else the lowest address.
func (m *Membership) IsLeader(condition func(Status) bool, now time.Time) bool {
	overall, _ := m.LeaderRanks(condition, now)
	return overall == 0
}

// LeaderRanks returns how many reachable hosts that satisfy a condition are preferred over
// this one as a leader, overall and in its failure domain.
func (m *Membership) LeaderRanks(condition func(Status) bool, now time.Time) (overall, inDomain int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !m.isReachable(p, now) || !condition(p.status) || !m.isPreferredLeader(p) {
			continue
		}
		overall++
		if p.host.Domain == m.self.Domain {
			inDomain++
		}
	}
	return overall, inDomain
}

// isPreferredLeader reports whether another host is preferred over this one as a leader.
func (m *Membership) isPreferredLeader(p *peer) bool {
	if p.status.Carries != m.carries {
		return m.carries
	}
	return p.address.Compare(m.self.PeerAddress) < 0
}

// ReachableProcess is the running process of another host.
type ReachableProcess struct {
	PeerAddress netip.AddrPort
	Incarnation int64
	// CountsUsage is set if the host has counts of requests, or serves callers.
	CountsUsage bool
}

// ReachableProcesses returns the processes of the other hosts.
func (m *Membership) ReachableProcesses(now time.Time) []ReachableProcess {
	m.mu.Lock()
	defer m.mu.Unlock()
	var processes []ReachableProcess
	for address, p := range m.peers {
		if m.isReachable(p, now) {
			processes = append(processes, ReachableProcess{
				PeerAddress: address, Incarnation: p.host.Incarnation, CountsUsage: p.status.CountsUsage || p.status.Carries,
			})
		}
	}
	return processes
}

// ReachableStatuses returns the newest statuses of the other reachable hosts.
func (m *Membership) ReachableStatuses(now time.Time) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var statuses []Status
	for _, p := range m.peers {
		if m.isReachable(p, now) {
			statuses = append(statuses, p.status)
		}
	}
	return statuses
}
