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
	// maxQueuedBroadcasts bounds the news that wait.
	maxQueuedBroadcasts = 1024
)

const (
	// pushFanOut is how many hosts are told at once of urgent news.
	pushFanOut = 3
	// maxPushesPerProbe bounds how often that is done between two probes.
	maxPushesPerProbe = 2
)

// pushUrgent sends news at once if some is urgent.
func (c *Core) pushUrgent() {
	if !c.isPushPending || c.pushesLeft <= 0 {
		return
	}
	c.isPushPending = false
	c.pushesLeft--
	for _, peer := range c.pickPeers(pushFanOut, nil) {
		message := c.newMessage(TypeBroadcast)
		c.addBroadcasts(&message, peer, piggybackBytes)
		if len(message.Records)+len(message.Deltas) > 0 {
			c.send(peer.record.Host.MeshAddress, message)
		}
	}
}

// broadcastKey tells news apart: a host name, or a topic and its key.
type broadcastKey struct {
	topic Topic
	name  string
}

// broadcast is a record or delta that spreads.
type broadcast struct {
	key           broadcastKey
	record        *Record
	delta         *Delta
	size          int
	transmissions int
	// order is greater for later news.
	order uint64
}

// broadcastQueue holds the news to spread, the newest of each key.
type broadcastQueue struct {
	items     []*broadcast
	lastOrder uint64
}

func (q *broadcastQueue) addRecord(record Record) {
	key := broadcastKey{name: record.Host.Host}
	q.add(&broadcast{key: key, record: &record, size: encodedSize(record)})
}

func (q *broadcastQueue) addDelta(delta Delta) {
	key := broadcastKey{topic: delta.Topic, name: delta.Key}
	q.add(&broadcast{key: key, delta: &delta, size: encodedSize(delta)})
}

// add puts news in the place of older of the same key. When the queue is full,
// what was sent most goes; the digests bring it to hosts that missed it.
func (q *broadcastQueue) add(item *broadcast) {
	q.lastOrder++
	item.order = q.lastOrder
	q.items = slices.DeleteFunc(q.items, func(b *broadcast) bool { return b.key == item.key })
	if len(q.items) >= maxQueuedBroadcasts {
		q.sort()
		q.items = q.items[:maxQueuedBroadcasts-1]
	}
	q.items = append(q.items, item)
}

// sort puts first what was sent least and, of that, the newest.
func (q *broadcastQueue) sort() {
	slices.SortFunc(q.items, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.order, a.order))
	})
}

// appendTo adds news to the message up to a number of bytes and drops what has
// been sent often enough for a fleet of the size.
func (q *broadcastQueue) appendTo(message *Message, budget, fleetSize int) {
	if len(q.items) == 0 {
		return
	}
	q.sort()
	limit := maxTransmissions(fleetSize)
	for _, item := range q.items {
		if item.size > budget || message.hasRecordOf(item) {
			continue
		}
		budget -= item.size
		item.transmissions++
		if item.record != nil {
			message.Records = append(message.Records, *item.record)
		} else {
			message.Deltas = append(message.Deltas, *item.delta)
		}
	}
	q.items = slices.DeleteFunc(q.items, func(b *broadcast) bool { return b.transmissions >= limit })
}

// hasRecordOf reports whether the message has a record of the same host already.
func (m *Message) hasRecordOf(item *broadcast) bool {
	if item.record == nil {
		return false
	}
	return slices.ContainsFunc(m.Records, func(r Record) bool { return r.Host.Host == item.key.name })
}

func maxTransmissions(fleetSize int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(fleetSize+1))))
}
