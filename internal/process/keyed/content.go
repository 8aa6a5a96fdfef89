package keyed

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// RestorePolicy controls what a topic keeps of what it read before its store was
// restored from an older copy. Until the writers have written again what the store
// lost, the topic is more recent than the store.
type RestorePolicy struct {
	// Supersedes reports whether a value in the store is known to be newer than one
	// that was read before. If nil, that is never known.
	Supersedes func(key string, known, stored []byte) bool
	// KeepMissing is how long a record stays in force that the store does not have,
	// KeepChanged how long a value or a deletion does where the store has another
	// value.
	KeepMissing, KeepChanged time.Duration
	// DeletedBytes is the size of the records that were deleted in the last minute and are
	// remembered; 0 means defaultDeletedBytes. A deletion that is not remembered is undone
	// for a moment if the store is restored from a copy that has the record.
	DeletedBytes int
}

const defaultDeletedBytes = 1 << 20

func (p RestorePolicy) supersedes(key string, known, stored []byte) bool {
	return p.Supersedes != nil && p.Supersedes(key, known, stored)
}

// content is what a topic holds. Its methods start no goroutines and read no clock.
type content struct {
	next   Position
	values map[string][]byte
	// earlier is the position before the last rise of the era, up to which values
	// reflects what the store had then.
	earlier Position
	// kept holds the keys whose state in values is from an earlier era.
	kept map[string]keptRecord
	// deleted holds the records that were deleted lately.
	deleted map[string]deletedRecord
	// maxDeletedBytes limits the size of deleted.
	maxDeletedBytes int
}

// keptRecord is a key whose value, or whose deletion, is from an earlier era.
type keptRecord struct {
	// stored is the value in the store; nil if the store does not have the key.
	stored []byte
	until  time.Time
}

type deletedRecord struct {
	value []byte
	at    time.Time
}

// deletionMemory is how long deletions are remembered: longer than a copy is old from
// which a store is restored.
const deletionMemory = time.Minute

// keepUntilRewritten is the time for which a value is kept that is known to be newer
// than the store's.
const keepUntilRewritten = 24 * time.Hour

func newContent(maxDeletedBytes int) content {
	return content{maxDeletedBytes: cmp.Or(maxDeletedBytes, defaultDeletedBytes), values: map[string][]byte{}, kept: map[string]keptRecord{}, deleted: map[string]deletedRecord{}}
}

// set sets or deletes the value of a key.
func (c *content) set(key string, value []byte, now time.Time) {
	if len(value) > 0 {
		c.values[key] = value
		delete(c.deleted, key)
		return
	}
	if old, found := c.values[key]; found {
		c.deleted[key] = deletedRecord{value: old, at: now}
		c.forgetDeletions(now)
	}
	delete(c.values, key)
}

// forgetDeletions drops the deletions that are too old to matter, and the oldest ones beyond
// maxDeletedBytes.
func (c *content) forgetDeletions(now time.Time) {
	size := 0
	maps.DeleteFunc(c.deleted, func(key string, d deletedRecord) bool {
		isOld := now.Sub(d.at) > deletionMemory
		if !isOld {
			size += d.size(key)
		}
		return isOld
	})
	if size <= c.maxDeletedBytes {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(c.deleted), func(a, b string) int { return c.deleted[a].at.Compare(c.deleted[b].at) })
	for _, key := range byAge {
		if size <= c.maxDeletedBytes {
			return
		}
		size -= c.deleted[key].size(key)
		delete(c.deleted, key)
	}
}

// size returns the size in bytes of a deleted record.
func (d deletedRecord) size(key string) int { return len(key) + len(d.value) }

// apply applies records that were read in the era of the content.
func (c *content) apply(records []Record, end Position, now time.Time) {
	for _, record := range records {
		c.set(record.Key, record.Value, now)
		delete(c.kept, record.Key)
	}
	c.next = end
}

// expire puts the store's state in force where an earlier one was kept for long
// enough, and returns the changed records.
func (c *content) expire(now time.Time) []Record {
	var changed []Record
	for key, kept := range c.kept {
		if now.Before(kept.until) {
			continue
		}
		delete(c.kept, key)
		if !bytes.Equal(c.values[key], kept.stored) {
			c.set(key, kept.stored, now)
			changed = append(changed, Record{Key: key, Value: kept.stored})
		}
	}
	return changed
}

// firstExpiry returns when the next kept record expires, or false if there is none.
func (c *content) firstExpiry() (first time.Time, found bool) {
	for _, kept := range c.kept {
		if !found || kept.until.Before(first) {
			first, found = kept.until, true
		}
	}
	return first, found
}

// stored returns the values in the store, without what is kept.
func (c *content) stored() map[string][]byte {
	values := maps.Clone(c.values)
	for key, kept := range c.kept {
		delete(values, key)
		if kept.stored != nil {
			values[key] = kept.stored
		}
	}
	return values
}

// merge returns the content that results from that of the same topic at another
// host, or in the store. A later position supersedes an earlier one, except that the
// state read before the last rise of the era is kept for a while where the store may
// have lost it.
func (c *content) merge(other content, policy RestorePolicy, now time.Time) content {
	merged := other
	switch {
	case other.next.Era < c.next.Era:
		return *c
	case other.next.Era == c.next.Era:
		merged = c.join(other)
	case c.next.Compare(other.earlier) > 0:
		merged = c.enterEra(other, policy, now)
	}
	merged.deleted, merged.maxDeletedBytes = maps.Clone(c.deleted), c.maxDeletedBytes
	for key, value := range c.values {
		if _, found := merged.values[key]; !found {
			merged.deleted[key] = deletedRecord{value: value, at: now}
		}
	}
	for key := range merged.values {
		delete(merged.deleted, key)
	}
	merged.forgetDeletions(now)
	return merged
}

// enterEra returns the content after the store was restored: what the store has, and
// what it may have lost.
func (c *content) enterEra(other content, policy RestorePolicy, now time.Time) content {
	entered := content{next: other.next, earlier: c.next, values: other.stored(), kept: map[string]keptRecord{}}
	stored := maps.Clone(entered.values)
	for key, known := range c.values {
		value, found := stored[key]
		switch {
		case !found:
			entered.values[key] = known
			entered.kept[key] = keptRecord{until: now.Add(policy.KeepMissing)}
		case !bytes.Equal(value, known) && !policy.supersedes(key, known, value):
			entered.values[key] = known
			keep := policy.KeepChanged
			if policy.supersedes(key, value, known) {
				keep = keepUntilRewritten
			}
			entered.kept[key] = keptRecord{stored: value, until: now.Add(keep)}
		}
	}
	for key, value := range stored {
		deletion, found := c.deleted[key]
		if found && now.Sub(deletion.at) < deletionMemory && !policy.supersedes(key, deletion.value, value) {
			delete(entered.values, key)
			entered.kept[key] = keptRecord{stored: value, until: now.Add(policy.KeepChanged)}
		}
	}
	return entered
}

// join returns the content that results from two of the same era: the later of what
// they read in it, and what the one keeps that had read more before.
func (c *content) join(other content) content {
	newer, informed := c, c
	if other.next.Offset >= c.next.Offset {
		newer = &other
	}
	if other.earlier.Compare(c.earlier) > 0 {
		informed = &other
	}
	joined := content{next: newer.next, earlier: informed.earlier, values: newer.stored(), kept: map[string]keptRecord{}}
	stored := maps.Clone(joined.values)
	for key, kept := range informed.kept {
		if !bytes.Equal(stored[key], kept.stored) {
			continue // written again
		}
		joined.kept[key] = kept
		delete(joined.values, key)
		if value, found := informed.values[key]; found {
			joined.values[key] = value
		}
	}
	return joined
}

// difference returns the records that change old values into new ones.
func difference(old, updated map[string][]byte) []Record {
	var records []Record
	for key := range old {
		if _, found := updated[key]; !found {
			records = append(records, Record{Key: key})
		}
	}
	for key, value := range updated {
		if known, found := old[key]; !found || !bytes.Equal(known, value) {
			records = append(records, Record{Key: key, Value: value})
		}
	}
	return records
}
