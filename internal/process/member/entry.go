package member

import (
	"slices"
	"strings"
	"time"
)

// maxMembers bounds the records of a core. Hosts beyond it are not taken in.
const maxMembers = 4096

// entry is a record with what this process knows about it by itself.
type entry struct {
	record Record
	// size is the record's encoded size.
	size int
	// expires is when a suspect dies or a host that is gone is forgotten.
	expires time.Duration
}

// member gives what a View shows; zero for an entry without a record yet.
func (e *entry) member() Member {
	if e.record.State == 0 {
		return Member{}
	}
	return Member{Host: e.record.Host, State: e.record.State, Leaving: e.record.Leaving}
}

// insert makes an empty entry.
func (c *Core) insert(name string) *entry {
	added := &entry{}
	added.record.Host.Host = name
	index, _ := slices.BinarySearchFunc(c.sorted, name, compareName)
	c.sorted = slices.Insert(c.sorted, index, added)
	c.entries[name] = added
	c.isProbeOrderStale = true
	return added
}

// remove forgets a host that is gone.
func (c *Core) remove(name string) {
	at, _ := slices.BinarySearchFunc(c.sorted, name, compareName)
	c.sorted = slices.Delete(c.sorted, at, at+1)
	delete(c.entries, name)
	c.isProbeOrderStale = true
}

func compareName(e *entry, name string) int { return strings.Compare(e.record.Host.Host, name) }
