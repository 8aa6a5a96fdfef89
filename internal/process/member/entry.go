package member

import (
	"slices"
	"strings"
	"time"
)

// maxMembers is the maximum number of records in a core. Further hosts are
// ignored.
const maxMembers = 4096

// entry is a record with this process's local state about it.
type entry struct {
	record Record
	// size is the record's encoded size in bytes.
	size int
	// expires is when a suspect is declared dead or a host that is gone is
	// removed.
	expires time.Duration
}

// member converts the entry to the Member that a View shows; zero for an entry
// without a record yet.
func (e *entry) member() Member {
	if e.record.State == 0 {
		return Member{}
	}
	return Member{Host: e.record.Host, State: e.record.State, Leaving: e.record.Leaving}
}

// insert adds an empty entry.
func (c *Core) insert(name string) *entry {
	added := &entry{}
	added.record.Host.Host = name
	index, _ := slices.BinarySearchFunc(c.sorted, name, compareName)
	c.sorted = slices.Insert(c.sorted, index, added)
	c.entries[name] = added
	c.isProbeOrderStale = true
	return added
}

// remove removes the entry of a host.
func (c *Core) remove(name string) {
	at, _ := slices.BinarySearchFunc(c.sorted, name, compareName)
	c.sorted = slices.Delete(c.sorted, at, at+1)
	delete(c.entries, name)
	c.isProbeOrderStale = true
}

func compareName(e *entry, name string) int { return strings.Compare(e.record.Host.Host, name) }
