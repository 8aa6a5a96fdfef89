package scheduler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// indexBuckets is the number of prefixes that an index holds. Prefixes with
	// the same bucket replace each other.
	indexBuckets = 1 << 13
	// maxOwners is the number of endpoints recorded for each prefix.
	maxOwners = 8
	// refreshAfter is the age up to which Add leaves a record unchanged.
	refreshAfter = 2 * time.Second
)

// prefixEntry lists the endpoints that have one prefix cached. It is immutable
// once stored.
type prefixEntry struct {
	hash   uint64
	count  int
	owners [maxOwners]cacheOwner
}

// cacheOwner is an endpoint that is expected to have a prefix cached.
type cacheOwner struct {
	endpoint uint16
	// recordedAt is relative to the index's epoch.
	recordedAt time.Duration
}

// PrefixIndex tracks which endpoints have which prefixes cached, based on this
// host's dispatches and corrected by cache events. Lookups are lock-free.
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

// lookup returns the entry of a prefix, or nil.
func (x *PrefixIndex) lookup(hash uint64) *prefixEntry {
	e := x.bucket(hash).Load()
	if e == nil || e.hash != hash {
		return nil
	}
	return e
}

// Add records that an endpoint has a prefix cached.
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

// recordedSince reports whether an endpoint was recorded at the given time or
// later.
func (e *prefixEntry) recordedSince(endpoint uint16, since time.Duration) bool {
	for _, o := range e.owners[:e.count] {
		if o.endpoint == endpoint {
			return o.recordedAt >= since
		}
	}
	return false
}

// add inserts or refreshes an owner; a full list evicts its oldest owner.
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

// Remove records that an endpoint no longer has a prefix cached.
func (x *PrefixIndex) Remove(endpoint uint16, hash uint64) {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	x.removeFrom(x.bucket(hash), endpoint, func(e *prefixEntry) bool { return e.hash == hash })
}

// RemoveEndpoint removes all records of an endpoint made before the given time.
// It is called when the endpoint restarted or its cache events had a gap.
func (x *PrefixIndex) RemoveEndpoint(endpoint uint16, before time.Time) {
	x.writeMu.Lock()
	defer x.writeMu.Unlock()
	limit := before.Sub(x.epoch)
	for i := range x.buckets {
		x.removeFrom(&x.buckets[i], endpoint, func(e *prefixEntry) bool { return e.recordedAt(endpoint) < limit })
	}
}

// recordedAt returns when an endpoint was recorded, or zero if it was not.
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
