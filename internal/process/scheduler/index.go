package scheduler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// indexBuckets is how many prefixes an index remembers.
	indexBuckets = 1 << 13
	// maxOwners is how many endpoints are remembered for each prefix.
	maxOwners = 8
	// refreshAfter is how old a record may be and still need no renewal.
	refreshAfter = 2 * time.Second
)

// prefixEntry is what is known of one prefix. It is immutable.
type prefixEntry struct {
	hash   uint64
	count  int
	owners [maxOwners]cacheOwner
}

// cacheOwner is an endpoint that is believed to have a prefix cached.
type cacheOwner struct {
	endpoint   uint16
	recordedAt time.Duration
}

// PrefixIndex remembers which endpoints have which prefixes in their caches: from
// own dispatches, corrected by cache events. Lookups take no lock.
type PrefixIndex struct {
	epoch   time.Time
	writeMu sync.Mutex
	buckets [indexBuckets]atomic.Pointer[prefixEntry]
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(now time.Time) *PrefixIndex { return &PrefixIndex{epoch: now} }

func (x *PrefixIndex) bucket(hash uint64) *atomic.Pointer[prefixEntry] {
	return &x.buckets[hash%indexBuckets]
}

// lookup returns what is known of a prefix, or nil.
func (x *PrefixIndex) lookup(hash uint64) *prefixEntry {
	e := x.bucket(hash).Load()
	if e == nil || e.hash != hash {
		return nil
	}
	return e
}

// Add records that an endpoint has a prefix.
func (x *PrefixIndex) Add(now time.Time, endpoint uint16, hash uint64) {
	if known := x.lookup(hash); known != nil && known.recordedSince(endpoint, now.Add(-refreshAfter).Sub(x.epoch)) {
		return
	}
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	next := prefixEntry{hash: hash}
	if old := x.lookup(hash); old != nil {
		next = *old
	}
	next.add(cacheOwner{endpoint, now.Sub(x.epoch)})
	x.bucket(hash).Store(&next)
}

// recordedSince reports whether an endpoint was recorded at a time or later.
func (e *prefixEntry) recordedSince(endpoint uint16, since time.Duration) bool {
	for _, o := range e.owners[:e.count] {
		if o.endpoint == endpoint {
			return o.recordedAt >= since
		}
	}
	return false
}

// add puts an owner into the list; when it is full, the oldest goes.
func (e *prefixEntry) add(o cacheOwner) {
	e.remove(o.endpoint)
	if e.count == maxOwners {
		e.remove(e.oldest())
	}
	e.owners[e.count] = o
	e.count++
}

func (e *prefixEntry) oldest() uint16 {
	list := e.owners[:e.count]
	return slices.MinFunc(list, func(a, b cacheOwner) int { return int(a.recordedAt - b.recordedAt) }).endpoint
}

func (e *prefixEntry) remove(endpoint uint16) {
	for i, o := range e.owners[:e.count] {
		if o.endpoint != endpoint {
			continue
		}
		e.count--
		e.owners[i] = e.owners[e.count]
		return
	}
}

// Remove records that an endpoint no longer has a prefix.
func (x *PrefixIndex) Remove(endpoint uint16, hash uint64) {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	x.removeFrom(x.bucket(hash), endpoint, func(e *prefixEntry) bool { return e.hash == hash })
}

// RemoveEndpoint drops all that is believed of an endpoint's cache and was recorded
// before a time: the endpoint restarted, or its events had a gap.
func (x *PrefixIndex) RemoveEndpoint(endpoint uint16, before time.Time) {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	limit := before.Sub(x.epoch)
	for i := range x.buckets {
		x.removeFrom(&x.buckets[i], endpoint, func(e *prefixEntry) bool { return e.recordedAt(endpoint) < limit })
	}
}

// recordedAt is when an owner was recorded.
func (e *prefixEntry) recordedAt(endpoint uint16) time.Duration {
	for _, o := range e.owners[:e.count] {
		if o.endpoint == endpoint {
			return o.recordedAt
		}
	}
	return 0
}

func (x *PrefixIndex) removeFrom(bucket *atomic.Pointer[prefixEntry], endpoint uint16, matches func(*prefixEntry) bool) {
	old := bucket.Load()
	if old == nil || !matches(old) {
		return
	}
	next := *old
	next.remove(endpoint)
	if next.count == old.count {
		return
	}
	if next.count == 0 {
		bucket.Store(nil)
		return
	}
	bucket.Store(&next)
}
