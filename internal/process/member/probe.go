package member

import (
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

const (
	// relayTimeout is how long an ack is passed on after a relayed ping.
	relayTimeout = 2 * time.Second
	// maxRelays bounds the relayed pings in flight.
	maxRelays = 1024
	// seedsAtOnce is how many seeds a host without peers pings at once.
	seedsAtOnce = 3
)

// round is one probe of a member: pings until the first answer.
type round struct {
	target identity.Incarnation
	nonce  uint32
	// attempts counts the pings sent.
	attempts int
	next     time.Duration
}

// relay is a ping on behalf of another host.
type relay struct {
	address string
	nonce   uint32
	until   time.Duration
}

// probeNext probes the next member that is not gone. The passes go over all
// members in the same random order until new ones join, so that the time
// between two probes of a member is bounded by one pass.
func (c *Core) probeNext(now time.Duration) {
	if c.turn >= len(c.order) {
		c.turn = 0
		c.shuffle()
	}
	for c.turn < len(c.order) {
		target := c.entries[c.order[c.turn]]
		c.turn++
		if target != nil && !target.record.State.IsGone() {
			c.probe(now, target)
			return
		}
	}
}

// shuffle draws a new order if the set of members has changed.
func (c *Core) shuffle() {
	if !c.isOrderStale {
		return
	}
	c.isOrderStale = false
	c.order = c.order[:0]
	for _, peer := range c.sortedPeers() {
		c.order = append(c.order, peer.record.Host.Host)
	}
	c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// probe begins a round unless one is open.
func (c *Core) probe(now time.Duration, target *entry) {
	incarnation := target.record.Host.Incarnation
	for _, open := range c.rounds {
		if open.target == incarnation {
			return
		}
	}
	open := &round{target: incarnation, nonce: c.nonce(), next: now}
	c.rounds = append(c.rounds, open)
	c.advance(now, open)
}

// advanceRounds sends the pings that are due and ends the rounds without an
// answer.
func (c *Core) advanceRounds(now time.Duration) {
	for _, open := range slices.Clone(c.rounds) {
		if now >= open.next {
			c.advance(now, open)
		}
	}
	for nonce, pending := range c.relays {
		if now > pending.until {
			delete(c.relays, nonce)
		}
	}
}

func (c *Core) advance(now time.Duration, open *round) {
	target := c.entries[open.target.Host]
	if target == nil || target.record.Host.Incarnation != open.target || target.record.State.IsGone() {
		c.closeRound(open)
		return
	}
	if target.record.State == StateSuspect && open.attempts >= c.timing.RelayFrom {
		// Others have suspected it already; the pings so far let it refute.
		c.closeRound(open)
		return
	}
	if open.attempts >= c.timing.Attempts {
		c.closeRound(open)
		c.declare(now, target, StateSuspect)
		return
	}
	open.attempts++
	open.next = now + c.timing.Attempt
	c.ping(target, open.nonce, open.attempts == 1)
	if open.attempts >= c.timing.RelayFrom && target.record.State == StateAlive {
		c.askRelays(target, open.nonce)
	}
}

func (c *Core) closeRound(open *round) {
	c.rounds = slices.DeleteFunc(c.rounds, func(r *round) bool { return r == open })
}

// ping sends a ping, with news on the first of a round.
func (c *Core) ping(target *entry, nonce uint32, withNews bool) {
	message := c.message(TypePing)
	message.Subject = target.record.Host.Incarnation
	message.Nonce = nonce
	budget := 0
	if withNews {
		budget = piggybackBytes
	}
	c.addNews(&message, target, budget)
	c.send(target.record.Host.MeshAddress, message)
}

// addNews puts news on a message to a member; first of all what is believed
// of the member itself if that calls for a refutation.
func (c *Core) addNews(message *Message, to *entry, budget int) {
	if to != nil && to.record.State != StateAlive {
		message.Records = append(message.Records, to.record)
	}
	if budget > 0 {
		c.queue.fill(message, budget, c.fleet())
	}
}

func (c *Core) askRelays(target *entry, nonce uint32) {
	for _, helper := range c.pick(c.timing.Relays, target) {
		message := c.message(TypeRelay)
		message.Subject = target.record.Host.Incarnation
		message.Nonce = nonce
		c.send(helper.record.Host.MeshAddress, message)
	}
}

// relay pings the subject, if that is known here, on behalf of the sender.
func (c *Core) relay(now time.Duration, address string, message Message) {
	subject := c.entries[message.Subject.Host]
	if subject == nil || len(c.relays) >= maxRelays {
		return
	}
	nonce := c.nonce()
	c.relays[nonce] = relay{address: address, nonce: message.Nonce, until: now + relayTimeout}
	ping := c.message(TypePing)
	ping.Subject = message.Subject
	ping.Nonce = nonce
	c.send(subject.record.Host.MeshAddress, ping)
}

// answer acknowledges a ping. The ack names this incarnation, whoever was
// meant; a sender that meant another one, or none, also gets the record.
func (c *Core) answer(address string, ping Message) {
	ack := c.message(TypeAck)
	ack.Nonce = ping.Nonce
	if ping.Subject != ack.From {
		ack.Records = append(ack.Records, c.self.record)
	}
	c.addNews(&ack, c.entries[ping.From.Host], piggybackBytes)
	c.send(address, ack)
}

// acknowledged ends a round, or passes the ack on to the host that asked for
// the ping.
func (c *Core) acknowledged(ack Message) {
	subject := ack.Subject
	if subject.IsZero() {
		subject = ack.From
	}
	c.rounds = slices.DeleteFunc(c.rounds, func(r *round) bool {
		return r.nonce == ack.Nonce && r.target == subject
	})
	asked, relayed := c.relays[ack.Nonce]
	if !relayed {
		return
	}
	delete(c.relays, ack.Nonce)
	onward := c.message(TypeAck)
	onward.Nonce = asked.nonce
	onward.Subject = subject
	c.send(asked.address, onward)
}

// closeRoundsOf ends the rounds of a member that has just sent a message.
func (c *Core) closeRoundsOf(from identity.Incarnation) {
	c.rounds = slices.DeleteFunc(c.rounds, func(r *round) bool { return r.target == from })
}

// contact pings one host that is gone, which may have come back from behind a
// cut, and a seed at which no member is known.
func (c *Core) contact() {
	var gone []*entry
	taken := map[string]bool{}
	for _, entry := range c.sortedPeers() {
		switch {
		case entry.record.State == StateDead:
			gone = append(gone, entry)
		case !entry.record.State.IsGone():
			taken[entry.record.Host.MeshAddress] = true
		}
	}
	if len(gone) > 0 {
		c.ping(gone[c.random.IntN(len(gone))], c.nonce(), false)
	}
	free := slices.DeleteFunc(slices.Clone(c.seeds), func(address string) bool { return taken[address] })
	c.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	count := 1
	if len(taken) == 0 {
		count = seedsAtOnce
	}
	for _, address := range free[:min(count, len(free))] {
		c.pingSeed(address)
	}
}

// pingSeed pings an address at which no member is known.
func (c *Core) pingSeed(address string) {
	message := c.message(TypePing)
	message.Nonce = c.nonce()
	message.Records = []Record{c.self.record}
	c.send(address, message)
}
