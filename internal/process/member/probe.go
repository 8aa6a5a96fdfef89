package member

import (
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

const (
	// relayTimeout is how long the ack of a relayed ping is still forwarded.
	relayTimeout = 2 * time.Second
	// maxRelays is the maximum number of relayed pings in flight.
	maxRelays = 1024
	// maxSeedPings is how many seeds a host without peers pings at a time.
	maxSeedPings = 3
)

// probe is one probe of a member: pings until the first response.
type probe struct {
	target identity.Incarnation
	nonce  uint32
	// pings counts the pings sent.
	pings    int
	nextPing time.Duration
}

// relayedPing is a ping on behalf of another host.
type relayedPing struct {
	address string
	nonce   uint32
	expires time.Duration
}

// startNextProbe probes the next member that is not gone. Passes visit all
// members in the same random order until members join or are removed, so that
// the time between two probes of a member is at most one pass.
func (c *Core) startNextProbe(now time.Duration) {
	if c.probeIndex >= len(c.probeOrder) {
		c.probeIndex = 0
		c.updateProbeOrder()
	}
	for c.probeIndex < len(c.probeOrder) {
		target := c.entries[c.probeOrder[c.probeIndex]]
		c.probeIndex++
		if target != nil && !target.record.State.IsGone() {
			c.startProbe(now, target)
			return
		}
	}
}

// updateProbeOrder draws a new random order if the set of members has changed.
func (c *Core) updateProbeOrder() {
	if !c.isProbeOrderStale {
		return
	}
	c.isProbeOrderStale = false
	c.probeOrder = c.probeOrder[:0]
	for _, peer := range c.sortedPeers() {
		c.probeOrder = append(c.probeOrder, peer.record.Host.Host)
	}
	c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
}

// startProbe starts a probe of a member unless one is running.
func (c *Core) startProbe(now time.Duration, target *entry) {
	incarnation := target.record.Host.Incarnation
	for _, running := range c.probes {
		if running.target == incarnation {
			return
		}
	}
	newProbe := &probe{target: incarnation, nonce: c.nextNonce(), nextPing: now}
	c.probes = append(c.probes, newProbe)
	c.advanceProbe(now, newProbe)
}

// advanceProbes sends the pings that are due, and ends the probes that have run
// out of pings and the relayed pings that timed out.
func (c *Core) advanceProbes(now time.Duration) {
	for _, due := range slices.Clone(c.probes) {
		if now >= due.nextPing {
			c.advanceProbe(now, due)
		}
	}
	for nonce, pending := range c.relayedPings {
		if now > pending.expires {
			delete(c.relayedPings, nonce)
		}
	}
}

func (c *Core) advanceProbe(now time.Duration, p *probe) {
	target := c.entries[p.target.Host]
	if target == nil || target.record.Host.Incarnation != p.target || target.record.State.IsGone() {
		c.endProbe(p)
		return
	}
	if target.record.State == StateSuspect && p.pings >= c.timing.FirstRelayedPing {
		// Another host has already suspected it; the pings so far give it the
		// chance to refute.
		c.endProbe(p)
		return
	}
	if p.pings >= c.timing.MaxPings {
		c.endProbe(p)
		c.setState(now, target, StateSuspect)
		return
	}
	p.pings++
	p.nextPing = now + c.timing.PingInterval
	c.ping(target, p.nonce, p.pings == 1)
	if p.pings >= c.timing.FirstRelayedPing && target.record.State == StateAlive {
		c.requestRelays(target, p.nonce)
	}
}

func (c *Core) endProbe(ended *probe) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p == ended })
}

// ping sends a ping, with broadcasts on the first of a probe.
func (c *Core) ping(target *entry, nonce uint32, withBroadcasts bool) {
	message := c.newMessage(TypePing)
	message.Subject = target.record.Host.Incarnation
	message.Nonce = nonce
	budget := 0
	if withBroadcasts {
		budget = piggybackBytes
	}
	c.addBroadcasts(&message, target, budget)
	c.send(target.record.Host.MeshAddress, message)
}

// addBroadcasts adds broadcasts to a message to a member. The first is the
// member's own record if the member is believed not alive, so that it can
// refute that.
func (c *Core) addBroadcasts(message *Message, to *entry, budget int) {
	if to != nil && to.record.State != StateAlive {
		message.Records = append(message.Records, to.record)
	}
	if budget > 0 {
		c.broadcasts.appendTo(message, budget, c.fleetSize())
	}
}

func (c *Core) requestRelays(target *entry, nonce uint32) {
	for _, helper := range c.pickPeers(c.timing.Relays, target) {
		message := c.newMessage(TypeRelay)
		message.Subject = target.record.Host.Incarnation
		message.Nonce = nonce
		c.send(helper.record.Host.MeshAddress, message)
	}
}

// relayPing pings the subject on behalf of the sender, if the subject is a
// known member.
func (c *Core) relayPing(now time.Duration, address string, message Message) {
	subject := c.entries[message.Subject.Host]
	if subject == nil || len(c.relayedPings) >= maxRelays {
		return
	}
	nonce := c.nextNonce()
	c.relayedPings[nonce] = relayedPing{address: address, nonce: message.Nonce, expires: now + relayTimeout}
	ping := c.newMessage(TypePing)
	ping.Subject = message.Subject
	ping.Nonce = nonce
	c.send(subject.record.Host.MeshAddress, ping)
}

// sendAck acknowledges a ping. The ack names this incarnation, whichever one
// the sender meant; if the sender meant another one, or none, the ack also
// carries this host's record.
func (c *Core) sendAck(address string, ping Message) {
	ack := c.newMessage(TypeAck)
	ack.Nonce = ping.Nonce
	if ping.Subject != ack.From {
		ack.Records = append(ack.Records, c.self.record)
	}
	c.addBroadcasts(&ack, c.entries[ping.From.Host], piggybackBytes)
	c.send(address, ack)
}

// handleAck ends a probe, or forwards the ack to the host that requested the
// ping.
func (c *Core) handleAck(ack Message) {
	subject := ack.Subject
	if subject.IsZero() {
		subject = ack.From
	}
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool {
		return p.nonce == ack.Nonce && p.target == subject
	})
	pending, relayed := c.relayedPings[ack.Nonce]
	if !relayed {
		return
	}
	delete(c.relayedPings, ack.Nonce)
	forwarded := c.newMessage(TypeAck)
	forwarded.Nonce = pending.nonce
	forwarded.Subject = subject
	c.send(pending.address, forwarded)
}

// endProbesOf ends the probes of a member that has just sent a message.
func (c *Core) endProbesOf(from identity.Incarnation) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p.target == from })
}

// reconnect pings one dead host, which may have become reachable again after a
// network split, and a seed at which no member is known.
func (c *Core) reconnect() {
	var gone []*entry
	occupied := map[string]bool{}
	for _, entry := range c.sortedPeers() {
		switch {
		case entry.record.State == StateDead:
			gone = append(gone, entry)
		case !entry.record.State.IsGone():
			occupied[entry.record.Host.MeshAddress] = true
		}
	}
	if len(gone) > 0 {
		c.ping(gone[c.random.IntN(len(gone))], c.nextNonce(), false)
	}
	candidates := slices.DeleteFunc(slices.Clone(c.seeds), func(address string) bool { return occupied[address] })
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := 1
	if len(occupied) == 0 {
		count = maxSeedPings
	}
	for _, address := range candidates[:min(count, len(candidates))] {
		c.pingSeed(address)
	}
}

// pingSeed pings an address at which no member is known.
func (c *Core) pingSeed(address string) {
	message := c.newMessage(TypePing)
	message.Nonce = c.nextNonce()
	message.Records = []Record{c.self.record}
	c.send(address, message)
}
