package scheduler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// indexSlots is how many prefixes an index remembers.
	indexSlots = 1 << 13
	// maxOwners is how many endpoints are remembered for each prefix.
	maxOwners = 8
	// freshness is how old a record may be and still need no renewal.
	freshness = 2 * time.Second
)

// holding is what is known of one prefix. It is immutable.
type holding struct {
	hash   uint64
	count  int
	owners [maxOwners]owner
}

// owner is an endpoint that is believed to have a prefix cached.
type owner struct {
	endpoint uint16
	at       time.Duration
}

// Index remembers which endpoints have which prefixes in their caches: from
// own dispatches, corrected by cache events. Lookups take no lock.
type Index struct {
	base    time.Time
	writing sync.Mutex
	slots   [indexSlots]atomic.Pointer[holding]
}

// NewIndex returns an empty index.
func NewIndex(now time.Time) *Index { return &Index{base: now} }

func (x *Index) slot(hash uint64) *atomic.Pointer[holding] { return &x.slots[hash%indexSlots] }

// lookup returns what is known of a prefix, or nil.
func (x *Index) lookup(hash uint64) *holding {
	h := x.slot(hash).Load()
	if h == nil || h.hash != hash {
		return nil
	}
	return h
}

// Add records that an endpoint has a prefix.
func (x *Index) Add(now time.Time, endpoint uint16, hash uint64) {
	if known := x.lookup(hash); known != nil && known.has(endpoint, now.Add(-freshness).Sub(x.base)) {
		return
	}
	x.writing.Lock()
	defer x.writing.Unlock()
	next := holding{hash: hash}
	if old := x.lookup(hash); old != nil {
		next = *old
	}
	next.add(owner{endpoint, now.Sub(x.base)})
	x.slot(hash).Store(&next)
}

// has reports whether an endpoint was recorded at a time or later.
func (h *holding) has(endpoint uint16, at time.Duration) bool {
	for _, o := range h.owners[:h.count] {
		if o.endpoint == endpoint {
			return o.at >= at
		}
	}
	return false
}

// add puts an owner into the list; when it is full, the oldest goes.
func (h *holding) add(o owner) {
	h.remove(o.endpoint)
	if h.count == maxOwners {
		h.remove(h.oldest())
	}
	h.owners[h.count] = o
	h.count++
}

func (h *holding) oldest() uint16 {
	list := h.owners[:h.count]
	return slices.MinFunc(list, func(a, b owner) int { return int(a.at - b.at) }).endpoint
}

func (h *holding) remove(endpoint uint16) {
	for i, o := range h.owners[:h.count] {
		if o.endpoint != endpoint {
			continue
		}
		h.count--
		h.owners[i] = h.owners[h.count]
		return
	}
}

// Remove records that an endpoint no longer has a prefix.
func (x *Index) Remove(endpoint uint16, hash uint64) {
	x.writing.Lock()
	defer x.writing.Unlock()
	x.removeFrom(x.slot(hash), endpoint, func(h *holding) bool { return h.hash == hash })
}

// Forget drops all that is believed of an endpoint's cache and was recorded
// before a time: the endpoint restarted, or its events had a gap.
func (x *Index) Forget(endpoint uint16, before time.Time) {
	x.writing.Lock()
	defer x.writing.Unlock()
	limit := before.Sub(x.base)
	for i := range x.slots {
		x.removeFrom(&x.slots[i], endpoint, func(h *holding) bool { return h.since(endpoint) < limit })
	}
}

// since is when an owner was recorded.
func (h *holding) since(endpoint uint16) time.Duration {
	for _, o := range h.owners[:h.count] {
		if o.endpoint == endpoint {
			return o.at
		}
	}
	return 0
}

func (x *Index) removeFrom(at *atomic.Pointer[holding], endpoint uint16, matches func(*holding) bool) {
	old := at.Load()
	if old == nil || !matches(old) {
		return
	}
	next := *old
	next.remove(endpoint)
	if next.count == old.count {
		return
	}
	if next.count == 0 {
		at.Store(nil)
		return
	}
	at.Store(&next)
}
