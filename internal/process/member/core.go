package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustarddoor/internal/process/identity"
)

// Datagram is a message to a peer address.
type Datagram struct {
	Address string
	Message Message
}

// Output is the result of handling one event.
type Output struct {
	Datagrams []Datagram
	Changes   []Change
	// Superseded is set if another process runs under this host's name with a
	// greater incarnation number. This process can't refute that.
	Superseded bool
}

// Core is the membership protocol without clock, network and goroutines. Times
// are durations since an arbitrary start on a monotonic clock. A Core is not
// safe for concurrent use.
type Core struct {
	timing  Timing
	random  *rand.Rand
	self    *entry
	entries map[string]*entry
	// sorted holds the entries by name. Iterating over it instead of the map
	// makes a Core a deterministic function of its inputs.
	sorted     []*entry
	buckets    [bucketCount]uint32
	sources    []Source
	broadcasts broadcastQueue
	seeds      []string

	probes       []*probe
	relayedPings map[uint32]relayedPing
	lastNonce    uint32
	// probeOrder is the order in which members are probed, and probeIndex the
	// position of the next one.
	probeOrder        []string
	probeIndex        int
	isProbeOrderStale bool
	// isPushPending is set if there is an urgent broadcast to push, and
	// pushesLeft is how many pushes are left in this probe interval.
	isPushPending bool
	pushesLeft    int

	nextProbe     time.Duration
	nextReconnect time.Duration
	// lastSync is when the last comparison of state began, and syncsLeft is how
	// many more requests it may send.
	lastSync time.Duration
	// lastChangeAt is when a message other than a sync response last changed a
	// record.
	lastChangeAt time.Duration
	syncsLeft    int
	// nextTimer is when Tick is next due.
	nextTimer time.Duration

	out Output
}

// NewCore returns the core of a process that starts at the time now. Seeds are
// peer addresses at which other hosts may be found. The core draws random
// numbers from random.
func NewCore(self identity.Host, seeds []string, timing Timing, random *rand.Rand, now time.Duration) *Core {
	core := &Core{
		timing:       timing,
		random:       random,
		entries:      map[string]*entry{},
		relayedPings: map[uint32]relayedPing{},
		nextTimer:    now,
	}
	core.lastNonce = random.Uint32()
	core.self = core.insert(self.Host)
	core.setRecord(core.self, Record{Host: self, State: StateAlive})
	core.broadcasts.addRecord(core.self.record)
	core.SetSeeds(seeds)
	core.nextProbe = now
	core.nextReconnect = now
	core.lastSync = now - timing.BusySyncInterval
	return core
}

// AddSource adds a source whose state is broadcast. All hosts add their sources
// in the same order, before the first event.
func (c *Core) AddSource(source Source) { c.sources = append(c.sources, source) }

// SetSeeds replaces the peer addresses at which other hosts may be found.
func (c *Core) SetSeeds(seeds []string) {
	c.seeds = c.seeds[:0]
	for _, address := range seeds {
		if address != c.self.record.Host.MeshAddress {
			c.seeds = append(c.seeds, address)
		}
	}
}

// Members returns all known members, including this host.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.entries))
	for _, entry := range c.sorted {
		members = append(members, entry.member())
	}
	return members
}

// Broadcast sends a delta to all hosts.
func (c *Core) Broadcast(delta Delta) Output {
	c.broadcast(delta)
	return c.finish()
}

func (c *Core) broadcast(delta Delta) {
	c.broadcasts.addDelta(delta)
	c.isPushPending = c.isPushPending || delta.Urgent
}

// AnnounceLeaving broadcasts that a planned stop of this host has begun.
func (c *Core) AnnounceLeaving() Output {
	next := c.self.record
	next.Leaving = true
	c.updateRecord(c.self, next, true)
	return c.finish()
}

// leftFanOut is how many hosts are notified directly when this host has left.
const leftFanOut = 6

// AnnounceLeft notifies some hosts that this one has left. The process may stop
// once the datagrams are sent.
func (c *Core) AnnounceLeft() Output {
	next := c.self.record
	next.State = StateLeft
	next.Leaving = true
	c.updateRecord(c.self, next, true)
	for _, peer := range c.pickPeers(leftFanOut, nil) {
		message := c.newMessage(TypePing)
		message.Subject = peer.record.Host.Incarnation
		message.Records = []Record{next}
		c.send(peer.record.Host.MeshAddress, message)
	}
	return c.finish()
}

// ProbeAddress immediately starts a probe of the member at a peer address, for
// example after a call to it failed.
func (c *Core) ProbeAddress(now time.Duration, address string) Output {
	c.creditSuspension(now)
	for _, entry := range slices.Clone(c.sorted) {
		if entry != c.self && entry.record.Host.MeshAddress == address && entry.record.State == StateAlive {
			c.startProbe(now, entry)
		}
	}
	return c.finish()
}

// Tick handles the timers that are due.
func (c *Core) Tick(now time.Duration) Output {
	c.creditSuspension(now)
	c.expire(now)
	c.advanceProbes(now)
	if now >= c.nextProbe {
		c.nextProbe = now + c.timing.probeInterval(c.fleetSize())
		c.pushesLeft = maxPushesPerProbe
		c.startNextProbe(now)
	}
	if now >= c.nextReconnect {
		c.nextReconnect = now + c.timing.ReconnectInterval
		c.reconnect()
	}
	return c.finish()
}

// Next returns the time by which Tick must be called.
func (c *Core) Next() time.Duration { return c.nextTimer }

// creditSuspension detects that this process was suspended, and extends the
// timeouts of all other members by that time.
func (c *Core) creditSuspension(now time.Duration) {
	late := now - c.nextTimer
	if late < c.timing.SuspendThreshold {
		return
	}
	for _, p := range c.probes {
		p.pings = 0
		p.nextPing = now
	}
	for _, entry := range c.sorted {
		entry.expires += late
	}
	c.nextTimer = now
}

// finish returns the output of the event and sets the next timer.
func (c *Core) finish() Output {
	c.pushUrgent()
	c.nextTimer = min(c.nextProbe, c.nextReconnect)
	for _, p := range c.probes {
		c.nextTimer = min(c.nextTimer, p.nextPing)
	}
	for _, entry := range c.sorted {
		if entry.record.State == StateSuspect {
			c.nextTimer = min(c.nextTimer, entry.expires)
		}
	}
	out := c.out
	c.out = Output{}
	return out
}

// fleetSize returns the number of members that are not gone.
func (c *Core) fleetSize() int {
	count := 0
	for _, entry := range c.sorted {
		if !entry.record.State.IsGone() {
			count++
		}
	}
	return count
}

// Receive handles a message from a peer address.
func (c *Core) Receive(now time.Duration, address string, message Message) Output {
	c.creditSuspension(now)
	if message.From == c.self.record.Host.Incarnation {
		return c.finish()
	}
	c.endProbesOf(message.From)
	for _, record := range message.Records {
		c.mergeRecord(now, record, message.Type != TypeState)
	}
	for _, delta := range message.Deltas {
		c.mergeDelta(delta)
	}
	switch message.Type {
	case TypePing:
		c.sendAck(address, message)
	case TypeAck:
		c.handleAck(message)
	case TypeRelay:
		c.relayPing(now, address, message)
	case TypeSync:
		c.sendState(address, message)
	case TypeState:
		c.continueSync(address, message)
	}
	c.syncIfDifferent(now, address, message)
	return c.finish()
}

func (c *Core) mergeDelta(delta Delta) {
	for _, source := range c.sources {
		if source.Topic() == delta.Topic && source.Merge(delta) {
			c.broadcast(delta)
		}
	}
}

// newMessage returns a message with the sender and the digest set.
func (c *Core) newMessage(kind Type) Message {
	return Message{Type: kind, From: c.self.record.Host.Incarnation, Digest: c.digest()}
}

func (c *Core) send(address string, message Message) {
	c.out.Datagrams = append(c.out.Datagrams, Datagram{Address: address, Message: message})
}

// nextNonce returns a nonce that no pending ping uses.
func (c *Core) nextNonce() uint32 {
	c.lastNonce++
	return c.lastNonce
}
