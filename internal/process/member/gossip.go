package member

import (
	"cmp"
	"math"
	"slices"
)

const (
	// retransmitFactor times the decimal logarithm of the fleet's size is how
	// often a piece of news is sent.
	retransmitFactor = 4
	// piggybackBytes bounds the news on one ping or ack.
	piggybackBytes = 400
	// maxQueued bounds the news that wait.
	maxQueued = 1024
)

const (
	// pushFanOut is how many hosts are told at once of urgent news.
	pushFanOut = 3
	// pushesPerPeriod bounds how often that is done between two probes.
	pushesPerPeriod = 2
)

// push sends news at once if some is urgent.
func (c *Core) push() {
	if !c.isUrgent || c.pushesLeft <= 0 {
		return
	}
	c.isUrgent = false
	c.pushesLeft--
	for _, peer := range c.pick(pushFanOut, nil) {
		message := c.message(TypeNews)
		c.addNews(&message, peer, piggybackBytes)
		if len(message.Records)+len(message.Deltas) > 0 {
			c.send(peer.record.Host.MeshAddress, message)
		}
	}
}

// newsKey tells news apart: a host name, or a topic and its key.
type newsKey struct {
	topic Topic
	name  string
}

// news is a record or delta that spreads.
type news struct {
	key    newsKey
	record *Record
	delta  *Delta
	size   int
	sent   int
	// order is greater for later news.
	order uint64
}

// queue holds the news to spread, the newest of each key.
type queue struct {
	items []*news
	last  uint64
}

func (q *queue) addRecord(record Record) {
	key := newsKey{name: record.Host.Host}
	q.add(&news{key: key, record: &record, size: sizeOf(record)})
}

func (q *queue) addDelta(delta Delta) {
	key := newsKey{topic: delta.Topic, name: delta.Key}
	q.add(&news{key: key, delta: &delta, size: sizeOf(delta)})
}

// add puts news in the place of older of the same key. When the queue is full,
// what was sent most goes; the digests bring it to hosts that missed it.
func (q *queue) add(item *news) {
	q.last++
	item.order = q.last
	q.items = slices.DeleteFunc(q.items, func(n *news) bool { return n.key == item.key })
	if len(q.items) >= maxQueued {
		q.sort()
		q.items = q.items[:maxQueued-1]
	}
	q.items = append(q.items, item)
}

// sort puts first what was sent least and, of that, the newest.
func (q *queue) sort() {
	slices.SortFunc(q.items, func(a, b *news) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
}

// fill adds news to the message up to a number of bytes and drops what has
// been sent often enough for a fleet of the size.
func (q *queue) fill(message *Message, budget, fleet int) {
	if len(q.items) == 0 {
		return
	}
	q.sort()
	limit := retransmits(fleet)
	for _, item := range q.items {
		if item.size > budget || message.carries(item) {
			continue
		}
		budget -= item.size
		item.sent++
		if item.record != nil {
			message.Records = append(message.Records, *item.record)
		} else {
			message.Deltas = append(message.Deltas, *item.delta)
		}
	}
	q.items = slices.DeleteFunc(q.items, func(n *news) bool { return n.sent >= limit })
}

// carries reports whether the message has a record of the same host already.
func (m *Message) carries(item *news) bool {
	if item.record == nil {
		return false
	}
	return slices.ContainsFunc(m.Records, func(r Record) bool { return r.Host.Host == item.key.name })
}

func retransmits(fleet int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(fleet+1))))
}
