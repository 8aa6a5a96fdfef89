package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// bundleInterval is the time between a relay's bundles. Each one holds the
	// messages of the active hosts, for the idle ones.
	bundleInterval = 200 * time.Millisecond
	// bundleRotation is the number of bundles over which a relay distributes
	// the messages of the idle hosts, and detailRotation the number of bundles
	// of which one describes the active hosts in full.
	bundleRotation = 8
	detailRotation = 4
	// maxBundleBytes bounds a bundle so that it fits one packet.
	maxBundleBytes = 1300
	// bundleBandwidthShare is the fraction of a host's network link that bundles
	// may use; the rest is for requests. Bundles above it are dropped, so that
	// other hosts' information becomes older.
	bundleBandwidthShare = 0.25
	// bundleBurstDuration is how much of that rate may be sent as one burst.
	bundleBurstDuration = 500 * time.Millisecond
)

// bundle is a set of messages that a relay sends to some hosts.
type bundle struct {
	to       []netip.AddrPort
	messages []Message
}

// planBundles returns the bundles to send in a round, if this host is the relay
// of its failure domain in a large fleet. It relays the active hosts to the idle
// ones of its domain, the idle hosts of all domains to its domain, and those of
// its own domain to the other relays.
func (m *Membership) planBundles(round uint64, now time.Time) []bundle {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateRole(now)
	if m.role.relay != m.self.PeerAddress {
		return nil
	}
	stood := m.clock.Stood()
	var active, idle, ownIdle []Message
	var idleMembers, activeMembers []netip.AddrPort
	remoteRelays := map[string]Host{}
	for address, p := range m.peers {
		if !m.isReachable(p, now) || p.host.Domain == "" {
			continue
		}
		isOwn := p.host.Domain == m.self.Domain
		switch {
		case isOwn && p.status.Active:
			activeMembers = append(activeMembers, address)
		case isOwn:
			idleMembers = append(idleMembers, address)
		case !p.status.Leaving:
			if known, found := remoteRelays[p.host.Domain]; !found || p.host.isPreferredOver(known) {
				remoteRelays[p.host.Domain] = p.host
			}
		}
		switch {
		case p.status.Active:
			active = append(active, p.summary(round%detailRotation == 0, now, stood))
		case rotationOf(address) == round%bundleRotation:
			idle = append(idle, p.summary(true, now, stood))
			if isOwn {
				ownIdle = append(ownIdle, p.summary(true, now, stood))
			}
		}
	}
	bundles := []bundle{{idleMembers, slices.Concat(active, idle)}, {activeMembers, idle}}
	remote := bundle{messages: ownIdle}
	for _, relay := range remoteRelays {
		remote.to = append(remote.to, relay.PeerAddress)
	}
	return append(bundles, remote)
}

// rotationOf returns the round in which an idle host's message is relayed.
func rotationOf(address netip.AddrPort) uint64 {
	return xxhash.Sum64String(address.String()) % bundleRotation
}

// summary returns the host's newest message without its loads. Unless it is
// detailed, the message also omits usage and description. stood is for how long this
// process has not run so far: the message's age includes that time.
func (p *peer) summary(isDetailed bool, now time.Time, stood time.Duration) Message {
	age := now.Sub(p.receivedAt) + stood - p.stoodBefore
	message := Message{From: p.host, Sequence: p.sequence, Status: p.status, IsSummary: true, AgeMillis: age.Milliseconds()}
	// The relay includes all evidence and limits in its own messages.
	message.Status.Loads, message.Status.Quarantine, message.Status.RateLimits = nil, nil, nil
	if !isDetailed {
		message.From = Host{PeerAddress: p.host.PeerAddress, Incarnation: p.host.Incarnation}
		message.Status.Usage = nil
	}
	return message
}

// sendBundle sends messages in as many datagrams as they need.
func (t *Transport) sendBundle(b bundle) error {
	messages := b.messages
	for len(messages) > 0 && len(b.to) > 0 {
		size, count := 0, 0
		for count < len(messages) {
			encoded, err := wire.Marshal(messages[count])
			if err != nil {
				return eris.Wrap(err, "message")
			}
			if count > 0 && size+len(encoded) > maxBundleBytes {
				break
			}
			size += len(encoded)
			count++
		}
		self := t.membership.self
		data, err := wire.Marshal(Message{From: Host{PeerAddress: self.PeerAddress, Incarnation: self.Incarnation}, Bundle: messages[:count]})
		if err != nil {
			return eris.Wrap(err, "bundle")
		}
		t.sendBundleTo(data, b.to)
		messages = messages[count:]
	}
	return nil
}

// sendBundleTo sends a bundle to several hosts, or drops it if that would exceed
// the bandwidth limit.
func (t *Transport) sendBundleTo(data []byte, addresses []netip.AddrPort) {
	if !t.bundleLimiter.AllowN(time.Now(), len(data)*len(addresses)) {
		t.dropped.Inc(1)
		return
	}
	for _, address := range addresses {
		t.send(data, address)
	}
}
