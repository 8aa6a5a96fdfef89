package keyed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// Topics ignored a store that was restored from an older copy until its log was as
// long as before, and then skipped what lay at offsets that they had read.
func TestTopicFollowsRestoredStore(t *testing.T) {
	for name, written := range map[string]int{"shorter": 1, "equal": 2, "longer": 3} {
		t.Run(name, func(t *testing.T) {
			store := &memoryStore{}
			store.put("a", "1")
			store.put("lost", "1")
			store.put("lost", "2")
			follow(t, store, func(topic *keyed.Topic, changes func() []keyed.Change) {
				settle()
				changes()
				store.restore(1)
				for range written {
					store.put("a", "new")
				}
				settle()
				store.put("b", "new")
				settle()
				snapshot, _ := topic.Snapshot()
				assert.Equal(t, string(snapshot.Values["a"]), "new")
				assert.Equal(t, string(snapshot.Values["b"]), "new")
				assert.Equal(t, snapshot.Position, keyed.Position{Era: 1, Offset: uint64(written + 2)})
				assert.Equal(t, store.reads < 50, true)
			})
		})
	}
}
