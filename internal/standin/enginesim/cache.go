package enginesim

import (
	"container/list"
	"sync"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/standin/answer"
)

// blockTokens is the size of a cached block in tokens.
var blockTokens = answer.PromptTokens(string(make([]byte, engine.PrefixBlockBytes)))

// event is a cache event and the time from which readers see it.
type event struct {
	engine.CacheEvent
	visibleAt time.Time
}

// cache is a prefix cache of prompt blocks with LRU eviction.
type cache struct {
	capacity int
	eventLag time.Duration
	eventGap int

	mu       sync.Mutex
	blocks   map[string]*list.Element
	lru      *list.List
	events   []event
	sequence uint64
}

func newCache(options Options) *cache {
	return &cache{
		capacity: options.CacheTokens / blockTokens,
		eventLag: milliseconds(options.EventLagMillis),
		eventGap: options.EventGap,
		blocks:   map[string]*list.Element{},
		lru:      list.New(),
	}
}

// lookupAndInsert returns how many leading tokens of the prompt were cached,
// and then caches all full blocks of the prompt.
func (c *cache) lookupAndInsert(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	hit := true
	for count := 1; count*engine.PrefixBlockBytes <= len(prompt); count++ {
		known := c.add(engine.PrefixHash(prompt, count), count*blockTokens)
		hit = hit && known
		if hit {
			cached += blockTokens
		}
	}
	return cached
}

// insert adds an imported block.
func (c *cache) insert(hash string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(hash, tokens)
}

// contains reports whether a block is cached. It does not change the LRU order.
func (c *cache) contains(hash string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocks[hash] != nil
}

// tokens returns the number of cached tokens.
func (c *cache) tokens() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.lru.Len() * blockTokens)
}

// clear removes all blocks and events and restarts the numbering of events, as
// a restart of an engine does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.blocks)
	c.lru.Init()
	c.events = nil
	c.sequence = 0
}

// eventsFrom returns the visible events from a sequence number on, and the
// sequence number at which the next read continues.
func (c *cache) eventsFrom(from uint64, now time.Time) ([]engine.CacheEvent, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []engine.CacheEvent{}
	next := max(from, 1)
	for _, e := range c.events {
		if e.visibleAt.After(now) {
			break
		}
		if e.Sequence >= from {
			found = append(found, e.CacheEvent)
			next = e.Sequence + 1
		}
	}
	return found, next
}

// add makes a block the most recently used one and reports whether it was
// already cached. The token count of a block includes all blocks before it in
// the prompt. The caller holds mu.
func (c *cache) add(hash string, tokens int) bool {
	if element, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(element)
		return true
	}
	if c.capacity <= 0 {
		return false
	}
	c.blocks[hash] = c.lru.PushFront(engine.CacheEvent{Prefix: hash, Tokens: tokens})
	c.publish(engine.CacheEvent{Prefix: hash, Tokens: tokens})
	if c.lru.Len() > c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(engine.CacheEvent)
		delete(c.blocks, oldest.Prefix)
		oldest.Evicted = true
		c.publish(oldest)
	}
	return false
}

// publish assigns the next sequence number to an event and stores it. Every
// eventGap-th event is dropped to simulate a gap. The caller holds mu.
func (c *cache) publish(e engine.CacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	if c.eventGap > 0 && c.sequence%uint64(c.eventGap) == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, event{CacheEvent: e, visibleAt: time.Now().Add(c.eventLag)})
}
