package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

// Datagram is a message to a mesh address.
type Datagram struct {
	Address string
	Message Message
}

// Output is what follows from one event.
type Output struct {
	Datagrams []Datagram
	Changes   []Change
	// Superseded tells that another process runs under this host's name with a
	// greater incarnation number. This process cannot refute that.
	Superseded bool
}

// Core is the membership protocol without clock, network and goroutines. Time
// is the duration since an arbitrary start on a monotonic clock. A core is not
// safe for concurrent use.
type Core struct {
	timing  Timing
	random  *rand.Rand
	self    *entry
	entries map[string]*entry
	// sorted holds the entries by name, so that a core is a function of its
	// inputs.
	sorted  []*entry
	buckets [bucketCount]uint32
	sources []Source
	queue   queue
	seeds   []string

	rounds    []*round
	relays    map[uint32]relay
	lastNonce uint32
	// order is that of a pass over all members, and turn the next one's place.
	order        []string
	turn         int
	isOrderStale bool
	// isUrgent tells that there is news to push, and pushesLeft how often that
	// may be done in this period.
	isUrgent   bool
	pushesLeft int

	nextRound   time.Duration
	nextContact time.Duration
	// lastSync is when the last comparison of state began, and syncsLeft how
	// many more messages it may take.
	lastSync time.Duration
	// newsAt is when news last came with a message other than a sync's.
	newsAt    time.Duration
	syncsLeft int
	// due is when the next timer was to run.
	due time.Duration

	out Output
}

// NewCore makes the core of a process that starts at the time. Seeds are mesh
// addresses at which other hosts may be found. The core draws from random.
func NewCore(self identity.Host, seeds []string, timing Timing, random *rand.Rand, now time.Duration) *Core {
	core := &Core{
		timing:  timing,
		random:  random,
		entries: map[string]*entry{},
		relays:  map[uint32]relay{},
		due:     now,
	}
	core.lastNonce = random.Uint32()
	core.self = core.insert(self.Host)
	core.replace(core.self, Record{Host: self, State: StateAlive})
	core.queue.addRecord(core.self.record)
	core.SetSeeds(seeds)
	core.nextRound = now
	core.nextContact = now
	core.lastSync = now - timing.BusySync
	return core
}

// AddSource lets the state of a source spread. All hosts add their sources in
// the same order, before the first event.
func (c *Core) AddSource(source Source) { c.sources = append(c.sources, source) }

// SetSeeds replaces the addresses at which other hosts may be found.
func (c *Core) SetSeeds(seeds []string) {
	c.seeds = c.seeds[:0]
	for _, address := range seeds {
		if address != c.self.record.Host.MeshAddress {
			c.seeds = append(c.seeds, address)
		}
	}
}

// Members gives all that is known, this host included.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.entries))
	for _, entry := range c.sorted {
		members = append(members, entry.member())
	}
	return members
}

// Spread sends a delta to all hosts.
func (c *Core) Spread(delta Delta) Output {
	c.spread(delta)
	return c.finish()
}

func (c *Core) spread(delta Delta) {
	c.queue.addDelta(delta)
	c.isUrgent = c.isUrgent || delta.Urgent
}

// Leave tells all hosts that a planned stop of this one has begun.
func (c *Core) Leave() Output {
	next := c.self.record
	next.Leaving = true
	c.update(c.self, next, true)
	return c.finish()
}

// departFanOut is how many hosts are told at once of this one's end.
const departFanOut = 6

// Depart tells some hosts that this one has ended. The process may stop after
// the datagrams are sent.
func (c *Core) Depart() Output {
	next := c.self.record
	next.State = StateLeft
	next.Leaving = true
	c.update(c.self, next, true)
	for _, peer := range c.pick(departFanOut, nil) {
		message := c.message(TypePing)
		message.Subject = peer.record.Host.Incarnation
		message.Records = []Record{next}
		c.send(peer.record.Host.MeshAddress, message)
	}
	return c.finish()
}

// Hint starts a probe at once of the member at a mesh address, which did not
// answer a call.
func (c *Core) Hint(now time.Duration, address string) Output {
	c.creditPause(now)
	for _, entry := range slices.Clone(c.sorted) {
		if entry != c.self && entry.record.Host.MeshAddress == address && entry.record.State == StateAlive {
			c.probe(now, entry)
		}
	}
	return c.finish()
}

// Tick runs the timers that are due.
func (c *Core) Tick(now time.Duration) Output {
	c.creditPause(now)
	c.expire(now)
	c.advanceRounds(now)
	if now >= c.nextRound {
		c.nextRound = now + c.timing.period(c.fleet())
		c.pushesLeft = pushesPerPeriod
		c.probeNext(now)
	}
	if now >= c.nextContact {
		c.nextContact = now + c.timing.Contact
		c.contact()
	}
	return c.finish()
}

// Next is when Tick is to be called at the latest.
func (c *Core) Next() time.Duration { return c.due }

// creditPause notices that this process was paused, and extends the timeouts of
// all others by the pause.
func (c *Core) creditPause(now time.Duration) {
	late := now - c.due
	if late < c.timing.Stall {
		return
	}
	for _, round := range c.rounds {
		round.attempts = 0
		round.next = now
	}
	for _, entry := range c.sorted {
		entry.expires += late
	}
	c.due = now
}

// finish takes the output of the event and sets the next timer.
func (c *Core) finish() Output {
	c.push()
	c.due = min(c.nextRound, c.nextContact)
	for _, round := range c.rounds {
		c.due = min(c.due, round.next)
	}
	for _, entry := range c.sorted {
		if entry.record.State == StateSuspect {
			c.due = min(c.due, entry.expires)
		}
	}
	out := c.out
	c.out = Output{}
	return out
}

// fleet is the number of members that are not gone.
func (c *Core) fleet() int {
	count := 0
	for _, entry := range c.sorted {
		if !entry.record.State.IsGone() {
			count++
		}
	}
	return count
}

// Receive handles a message that came from a mesh address.
func (c *Core) Receive(now time.Duration, address string, message Message) Output {
	c.creditPause(now)
	if message.From == c.self.record.Host.Incarnation {
		return c.finish()
	}
	c.closeRoundsOf(message.From)
	for _, record := range message.Records {
		c.learn(now, record, message.Type != TypeState)
	}
	for _, delta := range message.Deltas {
		c.merge(delta)
	}
	switch message.Type {
	case TypePing:
		c.answer(address, message)
	case TypeAck:
		c.acknowledged(message)
	case TypeRelay:
		c.relay(now, address, message)
	case TypeSync:
		c.state(address, message)
	case TypeState:
		c.synced(address, message)
	}
	c.compare(now, address, message)
	return c.finish()
}

func (c *Core) merge(delta Delta) {
	for _, source := range c.sources {
		if source.Topic() == delta.Topic && source.Merge(delta) {
			c.spread(delta)
		}
	}
}

// message begins a message with this host's digest.
func (c *Core) message(kind Type) Message {
	return Message{Type: kind, From: c.self.record.Host.Incarnation, Digest: c.digest()}
}

func (c *Core) send(address string, message Message) {
	c.out.Datagrams = append(c.out.Datagrams, Datagram{Address: address, Message: message})
}

// nonce gives a number that no open ping has.
func (c *Core) nonce() uint32 {
	c.lastNonce++
	return c.lastNonce
}
