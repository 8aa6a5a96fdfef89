package keyed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testPolicy orders values by length: a longer one is newer, those of equal length
// have no order.
var testPolicy = RestorePolicy{
	Supersedes:  func(_ string, known, stored []byte) bool { return len(stored) > len(known) },
	KeepMissing: 2 * time.Second, KeepChanged: 3 * time.Second,
}

func values(pairs ...string) map[string][]byte {
	result := map[string][]byte{}
	for i := 0; i < len(pairs); i += 2 {
		result[pairs[i]] = []byte(pairs[i+1])
	}
	return result
}

// read returns the content of a topic that was read from a store.
func read(era, offset uint64, pairs ...string) content {
	c := newContent(0)
	c.next, c.values = Position{Era: era, Offset: offset}, values(pairs...)
	return c
}

// What a topic has read stays in force after its store was restored from an older copy,
// until it is written again or the time for that is over.
func TestMergeAfterRestore(t *testing.T) {
	start := time.Unix(1000, 0)
	deletes := func(c content, key string) content {
		c.apply([]Record{{Key: key}}, Position{Era: c.next.Era, Offset: c.next.Offset + 1}, start)
		return c
	}
	cases := []struct {
		name          string
		known, stored content
		want          map[string][]byte
		// afterMissing and afterChanged are the values when these times are over and
		// nothing was written again.
		afterMissing, afterChanged map[string][]byte
	}{
		{"same", read(1, 3, "a", "x"), read(2, 2, "a", "x"), values("a", "x"), values("a", "x"), values("a", "x")},
		{"lost", read(1, 3, "a", "x"), read(2, 2), values("a", "x"), values(), values()},
		{"written since", read(1, 3, "a", "x"), read(2, 9, "a", "xx"), values("a", "xx"), values("a", "xx"), values("a", "xx")},
		{"older", read(1, 3, "a", "xx"), read(2, 2, "a", "x"), values("a", "xx"), values("a", "xx"), values("a", "xx")},
		{"no order", read(1, 3, "a", "x"), read(2, 2, "a", "y"), values("a", "x"), values("a", "x"), values("a", "y")},
		{"deletion lost", deletes(read(1, 3, "a", "x"), "a"), read(2, 2, "a", "x"), values(), values(), values("a", "x")},
		{"set again", deletes(read(1, 3, "a", "x"), "a"), read(2, 2, "a", "xx"), values("a", "xx"), values("a", "xx"), values("a", "xx")},
		{"never seen", read(1, 3), read(2, 2, "a", "x"), values("a", "x"), values("a", "x"), values("a", "x")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			merged := c.known.merge(c.stored, testPolicy, start)
			assert.DeepEqual(t, merged.values, c.want)
			assert.Equal(t, merged.next, c.stored.next)
			rewritten := c.known.merge(c.stored, testPolicy, start)
			rewritten.apply([]Record{{Key: "a", Value: []byte("new")}}, Position{Era: 2, Offset: 10}, start)
			rewritten.expire(start.Add(time.Hour))
			assert.DeepEqual(t, rewritten.values, values("a", "new"))
			merged.expire(start.Add(testPolicy.KeepMissing))
			assert.DeepEqual(t, merged.values, c.afterMissing)
			merged.expire(start.Add(testPolicy.KeepChanged))
			assert.DeepEqual(t, merged.values, c.afterChanged)
			// A second return, to the same copy, changes nothing by itself.
			again := c.stored
			again.next.Era++
			merged = merged.merge(again, testPolicy, start)
			assert.DeepEqual(t, merged.values, c.afterChanged)
		})
	}
}

// Of two hosts that have read the restored store, the one that had read more before
// prevails where nothing was written since.
func TestMergeWithHostAfterRestore(t *testing.T) {
	start := time.Unix(1000, 0)
	informed := read(1, 5, "a", "x", "lost", "1")
	informed = informed.merge(read(2, 3, "a", "y", "b", "1"), testPolicy, start)
	fresh := read(2, 4, "a", "y", "b", "22")
	for name, merged := range map[string]content{
		"fresh": fresh.merge(informed, testPolicy, start), "informed": informed.merge(fresh, testPolicy, start),
	} {
		assert.DeepEqual(t, merged.values, values("a", "x", "lost", "1", "b", "22"))
		assert.Equal(t, merged.next, Position{Era: 2, Offset: 4}, name)
		assert.Equal(t, merged.earlier, Position{Era: 1, Offset: 5}, name)
		assert.Equal(t, len(merged.kept), 2, name)
	}
	written := read(2, 5, "a", "z", "b", "22")
	merged := written.merge(informed, testPolicy, start)
	assert.DeepEqual(t, merged.values, values("a", "z", "lost", "1", "b", "22"))
}

// A host in an earlier era takes over what another one keeps that had read at least as
// much, and keeps its own if it had read more.
func TestMergeOfEarlierEra(t *testing.T) {
	start := time.Unix(1000, 0)
	ahead := read(1, 5, "a", "x", "gone", "1")
	ahead = ahead.merge(read(2, 3, "a", "y"), testPolicy, start)
	same, more := read(1, 5, "a", "x", "gone", "1"), read(1, 6, "a", "w")
	merged := same.merge(ahead, testPolicy, start)
	assert.DeepEqual(t, merged.values, values("a", "x", "gone", "1"))
	merged = more.merge(ahead, testPolicy, start)
	assert.DeepEqual(t, merged.values, values("a", "w"))
	assert.Equal(t, merged.earlier, Position{Era: 1, Offset: 6})
	// An earlier era changes nothing.
	merged = ahead.merge(more, testPolicy, start)
	assert.DeepEqual(t, merged.values, ahead.values)
	assert.Equal(t, merged.next, ahead.next)
}

// Deletions were remembered for a minute whatever their size.
func TestDeletionsAreBoundedInBytes(t *testing.T) {
	const valueSize = 1000
	now := time.Unix(1000, 0)
	c := newContent(10 * valueSize)
	key := func(number int) string { return fmt.Sprintf("w%04d", number) }
	for number := range 500 {
		c.set(key(number), make([]byte, valueSize), now)
		now = now.Add(time.Millisecond)
		c.set(key(number), nil, now)
	}
	assert.Equal(t, len(c.deleted), 9)
	_, hasNewest := c.deleted[key(499)]
	assert.Assert(t, hasNewest)
	now = now.Add(2 * deletionMemory)
	c.set("last", []byte("x"), now)
	c.set("last", nil, now)
	assert.Equal(t, len(c.deleted), 1)
}
