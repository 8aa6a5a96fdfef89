package placement

import (
	"strconv"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

const (
	// hashBase and hashBits are the base and the bit size of the prefix hashes
	// in cache events.
	hashBase = 16
	hashBits = 64
	// gapRetention is the maximum age of prefix index entries that are kept
	// after a gap in the cache events.
	gapRetention = 30 * time.Second
)

// observeLoad processes a load report of an endpoint.
func (c *core) observeLoad(now time.Time, endpoint string, load engine.Load) {
	s := c.endpoints[endpoint]
	if s == nil {
		return
	}
	sampledAt := now.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	if load.Incarnation != s.engineIncarnation && s.engineIncarnation != "" {
		c.prefixIndex.RemoveEndpoint(s.id, now)
		s.nextCacheSequence = 0
		s.releaseDetached(now, 0)
	}
	s.engineIncarnation = load.Incarnation
	s.holder.ObserveIncarnation(load.Incarnation)
	s.releaseDetached(sampledAt, load.Running+load.Waiting)
	s.expireDetached(now)
	if s.homeRole != nil {
		c.deliverGrants(now, s, s.homeRole.observeLoad(now, sampledAt, load))
	}
	c.flush(now)
}

// observeCache processes cache events of an endpoint. They may arrive late and
// with gaps.
func (c *core) observeCache(now time.Time, endpoint string, events engine.CacheEvents) {
	s := c.endpoints[endpoint]
	if s == nil || events.Incarnation != s.engineIncarnation && s.engineIncarnation != "" {
		return
	}
	for _, event := range events.Events {
		if event.Sequence < s.nextCacheSequence {
			continue
		}
		if event.Sequence > s.nextCacheSequence && s.nextCacheSequence > 0 {
			c.prefixIndex.RemoveEndpoint(s.id, now.Add(-gapRetention))
		}
		s.nextCacheSequence = event.Sequence + 1
		c.applyCacheEvent(now, s, event)
	}
	s.nextCacheSequence = max(s.nextCacheSequence, events.NextSequence)
}

func (c *core) applyCacheEvent(now time.Time, s *endpointState, event engine.CacheEvent) {
	hash, err := strconv.ParseUint(event.Prefix, hashBase, hashBits)
	if err != nil {
		return
	}
	if event.Evicted {
		c.prefixIndex.Remove(s.id, hash)
		return
	}
	c.prefixIndex.Add(now, s.id, hash)
}

// leave refuses all waiting requests and returns all unused slots.
func (c *core) leave() {
	c.leaving.Store(true)
	for _, q := range c.waitQueues {
		c.refuseAll(q, Refusal{Reason: ReasonLeaving, RetryAfter: shortRetryAfter})
	}
	for _, s := range c.sortedEndpoints {
		s.holder.ReleaseUnused(0)
		s.dirty.Store(true)
	}
}

// refuseAll refuses all requests in a wait queue.
func (c *core) refuseAll(q *waitQueue, refusal Refusal) {
	for t := range tier.Tier(tier.Max) {
		q.requests.Each(t, func(item *queue.Item) bool {
			q.requests.Remove(item)
			c.refuse(item.Value.(*job), refusal)
			return true
		})
	}
}
