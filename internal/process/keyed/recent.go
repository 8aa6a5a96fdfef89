package keyed

import "sort"

// maxRecentChanges bounds the changes that are remembered for other hosts to read, about ten
// seconds of endpoint entries. A host that is further behind gets a snapshot.
const maxRecentChanges = 1000

// recentChanges remembers the latest changes of a topic, so that other hosts can read what has
// changed since a position.
//
// Where the last record of a key replaces all others, no values are kept: those in force are
// in the topic's content, and nobody needs one that has been replaced. The size of what is
// remembered thus does not depend on that of the records.
type recentChanges struct {
	// from is the offset from which on all changes are known.
	from uint64
	// changes are in the order of their offsets. Some may have been replaced.
	changes []recentChange
	// newest holds the offset of the newest change of each key.
	newest map[string]uint64
	// maxBytes limits the size of the changes if replaced ones are kept with their values; 0
	// if they are not. bytes is that size.
	maxBytes, bytes int
}

type recentChange struct {
	Record
	offset uint64
}

func (c *recentChange) size() int { return len(c.Key) + len(c.Value) }

// restart forgets all changes. Those from an offset on will be known.
func (r *recentChanges) restart(from uint64) {
	*r = recentChanges{from: from, newest: map[string]uint64{}, maxBytes: r.maxBytes}
}

func (r *recentChanges) keepsReplaced() bool { return r.maxBytes > 0 }

// add remembers a change that comes after all others.
func (r *recentChanges) add(record Record, offset uint64) {
	change := recentChange{Record: record, offset: offset}
	if !r.keepsReplaced() {
		change.Value = nil
	}
	r.changes = append(r.changes, change)
	r.newest[record.Key] = offset
	r.bytes += change.size()
	switch {
	case r.keepsReplaced():
		r.dropOldest()
	case len(r.changes) > 2*maxRecentChanges:
		r.dropReplaced()
		r.dropOldest()
	}
}

// isNewest reports whether a change was not replaced.
func (r *recentChanges) isNewest(change *recentChange) bool {
	return r.newest[change.Key] == change.offset
}

// dropReplaced drops the changes that were replaced.
func (r *recentChanges) dropReplaced() {
	kept := make([]recentChange, 0, maxRecentChanges)
	r.bytes = 0
	for _, change := range r.changes {
		if r.isNewest(&change) {
			kept = append(kept, change)
			r.bytes += change.size()
		}
	}
	r.changes = kept
}

// dropOldest drops the oldest changes beyond the bounds.
func (r *recentChanges) dropOldest() {
	for len(r.changes) > maxRecentChanges || r.keepsReplaced() && r.bytes > r.maxBytes {
		oldest := &r.changes[0]
		if r.isNewest(oldest) {
			delete(r.newest, oldest.Key)
		}
		r.from = oldest.offset + 1
		r.bytes -= oldest.size()
		*oldest = recentChange{}
		r.changes = r.changes[1:]
	}
}

// since returns the changes from an offset on, without the replaced ones unless they are kept.
// Values that are not kept are those in force.
func (r *recentChanges) since(from uint64, inForce map[string][]byte) []recentChange {
	first := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].offset >= from })
	var changes []recentChange
	for _, change := range r.changes[first:] {
		switch {
		case r.keepsReplaced():
			changes = append(changes, change)
		case r.isNewest(&change):
			change.Value = inForce[change.Key]
			changes = append(changes, change)
		}
	}
	return changes
}

// newestRecords returns the records that no later one of the same key replaces, in order.
func newestRecords(records []Record) []Record {
	last := make(map[string]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	if len(last) == len(records) {
		return records
	}
	newest := make([]Record, 0, len(last))
	for i, record := range records {
		if last[record.Key] == i {
			newest = append(newest, record)
		}
	}
	return newest
}
