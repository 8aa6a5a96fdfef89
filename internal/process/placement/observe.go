package placement

import (
	"strconv"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

const (
	// hashBase and hashBits describe the prefix hashes in cache events.
	hashBase = 16
	hashBits = 64
	// gapTrust is how old own records of a cache may be to outlast a gap in
	// its events.
	gapTrust = 30 * time.Second
)

// observeLoad takes a load report of an endpoint.
func (c *core) observeLoad(now time.Time, endpoint string, load engine.Load) {
	s := c.endpoints[endpoint]
	if s == nil {
		return
	}
	sampled := now.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	if load.Incarnation != s.engine && s.engine != "" {
		c.index.RemoveEndpoint(s.id, now)
		s.cacheNext = 0
		s.releaseDetached(now, 0)
	}
	s.engine = load.Incarnation
	s.holder.ObserveIncarnation(load.Incarnation)
	s.releaseDetached(sampled, load.Running+load.Waiting)
	s.expireDetached(now)
	if s.homeRole != nil {
		c.route(now, s, s.homeRole.observe(now, sampled, load))
	}
	c.flush(now)
}

// observeCache takes cache events of an endpoint: late, perhaps with gaps.
func (c *core) observeCache(now time.Time, endpoint string, events engine.CacheEvents) {
	s := c.endpoints[endpoint]
	if s == nil || events.Incarnation != s.engine && s.engine != "" {
		return
	}
	for _, event := range events.Events {
		if event.Sequence < s.cacheNext {
			continue
		}
		if event.Sequence > s.cacheNext && s.cacheNext > 0 {
			c.index.RemoveEndpoint(s.id, now.Add(-gapTrust))
		}
		s.cacheNext = event.Sequence + 1
		c.takeCacheEvent(now, s, event)
	}
	s.cacheNext = max(s.cacheNext, events.Next)
}

func (c *core) takeCacheEvent(now time.Time, s *endpointState, event engine.CacheEvent) {
	hash, err := strconv.ParseUint(event.Prefix, hashBase, hashBits)
	if err != nil {
		return
	}
	if event.Evicted {
		c.index.Remove(s.id, hash)
		return
	}
	c.index.Add(now, s.id, hash)
}

// leave refuses what waits and gives back what is unused.
func (c *core) leave() {
	c.leaving.Store(true)
	for _, l := range c.lines {
		c.refuseAll(l, Refusal{Reason: ReasonLeaving, RetryAfter: retryAfterShed})
	}
	for _, s := range c.order {
		s.holder.ReleaseUnused(0)
		s.dirty.Store(true)
	}
}

// refuseAll refuses everything that waits in a line.
func (c *core) refuseAll(l *line, refusal Refusal) {
	for t := range tier.Tier(tier.Max) {
		l.queue.Each(t, func(item *queue.Item) bool {
			l.queue.Remove(item)
			c.refuse(item.Value.(*job), refusal)
			return true
		})
	}
}
