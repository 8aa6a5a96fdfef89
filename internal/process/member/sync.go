package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// syncBurst bounds the messages of one comparison of state.
const syncBurst = 16

// digest is a hash of all records of live members and of all topics.
func (c *Core) digest() uint64 {
	var fields [bucketCount*4 + 8]byte
	for i, bucket := range c.buckets {
		binary.LittleEndian.PutUint32(fields[i*4:], bucket)
	}
	var topics uint64
	for _, source := range c.sources {
		topics = topics*31 + source.Digest()
	}
	binary.LittleEndian.PutUint64(fields[bucketCount*4:], topics)
	return xxhash.Sum64(fields[:])
}

// compare asks the sender for its state if that differs from this host's.
func (c *Core) compare(now time.Duration, address string, message Message) {
	if message.Digest == 0 || now < c.lastSync+c.syncWait(now) || message.Digest == c.digest() {
		return
	}
	c.lastSync = now
	c.syncsLeft = syncBurst
	c.sync(address)
}

// syncWait is the time between two comparisons. Digests differ for as long as
// news is on its way; comparing the state then would only double the traffic.
func (c *Core) syncWait(now time.Duration) time.Duration {
	if now < c.newsAt+c.timing.Quiet {
		return c.timing.BusySync
	}
	return c.timing.Sync
}

func (c *Core) sync(address string) {
	c.syncsLeft--
	message := c.message(TypeSync)
	message.Buckets = c.buckets[:]
	for _, source := range c.sources {
		message.Topics = append(message.Topics, TopicDigest{Topic: source.Topic(), Digest: source.Digest()})
	}
	c.send(address, message)
}

// state answers a sync with what differs, as far as it fits a datagram. It
// starts at a random place, so that repetitions bring the rest.
func (c *Core) state(address string, asked Message) {
	if len(asked.Buckets) != bucketCount {
		return
	}
	message := c.message(TypeState)
	room := maxDatagramBytes - headBytes
	for _, entry := range c.differing(asked.Buckets) {
		if entry.bytes > room {
			message.More = true
			break
		}
		room -= entry.bytes
		message.Records = append(message.Records, entry.record)
	}
	for _, delta := range c.differingDeltas(asked.Topics) {
		size := sizeOf(delta)
		if size > room {
			message.More = true
			break
		}
		room -= size
		message.Deltas = append(message.Deltas, delta)
	}
	c.send(address, message)
}

// differing lists the entries of the buckets that differ, rotated at random.
func (c *Core) differing(buckets []uint32) []*entry {
	var found []*entry
	for _, entry := range c.sorted {
		bucket := bucketOf(entry.record.Host.Host)
		if c.buckets[bucket] != buckets[bucket] {
			found = append(found, entry)
		}
	}
	return rotate(found, c.random.IntN)
}

func (c *Core) differingDeltas(theirs []TopicDigest) []Delta {
	var found []Delta
	for _, source := range c.sources {
		same := TopicDigest{Topic: source.Topic(), Digest: source.Digest()}
		if !slices.Contains(theirs, same) {
			found = append(found, source.Deltas()...)
		}
	}
	return rotate(found, c.random.IntN)
}

// synced goes on asking while the peer has more that is new here.
func (c *Core) synced(address string, message Message) {
	if message.More && message.Digest != c.digest() && c.syncsLeft > 0 {
		c.sync(address)
	}
}

// rotate moves a random number of items from the front to the back.
func rotate[T any](items []T, intN func(int) int) []T {
	if len(items) < 2 {
		return items
	}
	at := intN(len(items))
	return slices.Concat(items[at:], items[:at])
}

// sortedPeers gives all entries but this host's own, by name.
func (c *Core) sortedPeers() []*entry {
	return slices.DeleteFunc(slices.Clone(c.sorted), func(e *entry) bool { return e == c.self })
}

// pick draws up to a number of live peers other than one.
func (c *Core) pick(count int, except *entry) []*entry {
	peers := slices.DeleteFunc(c.sortedPeers(), func(e *entry) bool {
		return e == except || e.record.State != StateAlive
	})
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}
