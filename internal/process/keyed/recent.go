package keyed

import "sort"

// maxRecentKeys bounds the keys whose changes are remembered for other hosts to read, about
// ten seconds of endpoint entries. A host that is further behind gets a snapshot.
const maxRecentKeys = 1000

// recentChanges remembers which keys have changed at which offsets, so that other hosts can
// read what has changed since a position. It holds no values: those in force are in the
// topic's content, and nobody needs a value that has been replaced. Its size thus does not
// depend on that of the records.
type recentChanges struct {
	// from is the offset from which on all changes are known.
	from uint64
	// changes are in the order of their offsets. Some may have been superseded.
	changes []keyChange
	// newest holds the offset of the newest change of each key.
	newest map[string]uint64
}

type keyChange struct {
	key    string
	offset uint64
}

func newRecentChanges(from uint64) recentChanges {
	return recentChanges{from: from, newest: map[string]uint64{}}
}

// add remembers a change that comes after all others.
func (r *recentChanges) add(key string, offset uint64) {
	r.changes = append(r.changes, keyChange{key: key, offset: offset})
	r.newest[key] = offset
	if len(r.changes) > 2*maxRecentKeys {
		r.compact()
	}
}

// isNewest reports whether a change was not superseded.
func (r *recentChanges) isNewest(change keyChange) bool { return r.newest[change.key] == change.offset }

// compact drops superseded changes, and the oldest ones beyond maxRecentKeys.
func (r *recentChanges) compact() {
	kept := make([]keyChange, 0, maxRecentKeys)
	for _, change := range r.changes {
		if r.isNewest(change) {
			kept = append(kept, change)
		}
	}
	for len(kept) > maxRecentKeys {
		delete(r.newest, kept[0].key)
		r.from = kept[0].offset + 1
		kept = kept[1:]
	}
	r.changes = kept
}

// since returns the newest changes from an offset on.
func (r *recentChanges) since(from uint64) []keyChange {
	first := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].offset >= from })
	var changes []keyChange
	for _, change := range r.changes[first:] {
		if r.isNewest(change) {
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
