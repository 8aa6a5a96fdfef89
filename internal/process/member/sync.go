package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSyncRequests is the maximum number of requests of one comparison of state.
const maxSyncRequests = 16

// digest returns a hash of the records of all members that are not gone and of
// all topics.
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

// syncIfDifferent requests the sender's state if its digest differs from this
// host's.
func (c *Core) syncIfDifferent(now time.Duration, address string, message Message) {
	if message.Digest == 0 || now < c.lastSync+c.minSyncInterval(now) || message.Digest == c.digest() {
		return
	}
	c.lastSync = now
	c.syncsLeft = maxSyncRequests
	c.sendSync(address)
}

// minSyncInterval returns the minimum time between two comparisons of state.
// Digests differ while broadcasts are in transit; comparing the state then
// would only double the traffic.
func (c *Core) minSyncInterval(now time.Duration) time.Duration {
	if now < c.lastChangeAt+c.timing.QuietTime {
		return c.timing.BusySyncInterval
	}
	return c.timing.SyncInterval
}

func (c *Core) sendSync(address string) {
	c.syncsLeft--
	message := c.newMessage(TypeSync)
	message.Buckets = c.buckets[:]
	for _, source := range c.sources {
		message.Topics = append(message.Topics, TopicDigest{Topic: source.Topic(), Digest: source.Digest()})
	}
	c.send(address, message)
}

// sendState responds to a sync request with the state that differs, as far as
// it fits one datagram. It starts at a random position, so that repeated
// requests get the rest.
func (c *Core) sendState(address string, request Message) {
	if len(request.Buckets) != bucketCount {
		return
	}
	message := c.newMessage(TypeState)
	remaining := maxDatagramBytes - maxHeaderBytes
	for _, entry := range c.differingEntries(request.Buckets) {
		if entry.size > remaining {
			message.More = true
			break
		}
		remaining -= entry.size
		message.Records = append(message.Records, entry.record)
	}
	for _, delta := range c.differingDeltas(request.Topics) {
		size := encodedSize(delta)
		if size > remaining {
			message.More = true
			break
		}
		remaining -= size
		message.Deltas = append(message.Deltas, delta)
	}
	c.send(address, message)
}

// differingEntries lists the entries of the buckets that differ, rotated at
// random.
func (c *Core) differingEntries(buckets []uint32) []*entry {
	var found []*entry
	for _, entry := range c.sorted {
		bucket := bucketOf(entry.record.Host.Host)
		if c.buckets[bucket] != buckets[bucket] {
			found = append(found, entry)
		}
	}
	return rotateRandomly(found, c.random.IntN)
}

func (c *Core) differingDeltas(peerDigests []TopicDigest) []Delta {
	var found []Delta
	for _, source := range c.sources {
		own := TopicDigest{Topic: source.Topic(), Digest: source.Digest()}
		if !slices.Contains(peerDigests, own) {
			found = append(found, source.Deltas()...)
		}
	}
	return rotateRandomly(found, c.random.IntN)
}

// continueSync requests more state while the peer has more that differs.
func (c *Core) continueSync(address string, message Message) {
	if message.More && message.Digest != c.digest() && c.syncsLeft > 0 {
		c.sendSync(address)
	}
}

// rotateRandomly moves a random number of items from the front to the back.
func rotateRandomly[T any](items []T, intN func(int) int) []T {
	if len(items) < 2 {
		return items
	}
	start := intN(len(items))
	return slices.Concat(items[start:], items[:start])
}

// sortedPeers returns all entries except this host's own, by name.
func (c *Core) sortedPeers() []*entry {
	return slices.DeleteFunc(slices.Clone(c.sorted), func(e *entry) bool { return e == c.self })
}

// pickPeers returns up to count live peers at random, without the entry except.
func (c *Core) pickPeers(count int, except *entry) []*entry {
	peers := slices.DeleteFunc(c.sortedPeers(), func(e *entry) bool {
		return e == except || e.record.State != StateAlive
	})
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}
