package member

import (
	"cmp"
	"math"
	"slices"
)

const (
	// A broadcast is sent retransmitFactor times the decimal logarithm of the
	// fleet size.
	retransmitFactor = 4
	// piggybackBytes is the maximum size of the broadcasts on one ping or ack.
	piggybackBytes = 400
	// maxQueuedBroadcasts is the maximum number of queued broadcasts.
	maxQueuedBroadcasts = 1024
)

const (
	// pushFanOut is how many hosts an urgent broadcast is pushed to.
	pushFanOut = 3
	// maxPushesPerProbe is the maximum number of pushes per probe interval.
	maxPushesPerProbe = 2
)

// pushUrgent pushes broadcasts immediately if one of them is urgent.
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

// broadcastKey identifies what a broadcast is about: a host name, or a topic
// and its key.
type broadcastKey struct {
	topic Topic
	name  string
}

// broadcast is a queued record or delta.
type broadcast struct {
	key           broadcastKey
	record        *Record
	delta         *Delta
	size          int
	transmissions int
	// order is greater for later broadcasts.
	order uint64
}

// broadcastQueue holds the broadcasts to send, only the newest of each key.
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

// add queues a broadcast in place of an older one with the same key. If the
// queue is full, it drops the broadcast that was sent most often; hosts that
// missed that one get it by comparing digests.
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

// sort orders the broadcasts by the number of transmissions, and the newest
// first among equals.
func (q *broadcastQueue) sort() {
	slices.SortFunc(q.items, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(b.order, a.order))
	})
}

// appendTo adds broadcasts to the message, up to budget bytes, and drops those
// that have been sent often enough for the fleet size.
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

// hasRecordOf reports whether the message already has a record of the same
// host.
func (m *Message) hasRecordOf(item *broadcast) bool {
	if item.record == nil {
		return false
	}
	return slices.ContainsFunc(m.Records, func(r Record) bool { return r.Host.Host == item.key.name })
}

func maxTransmissions(fleetSize int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(fleetSize+1))))
}
