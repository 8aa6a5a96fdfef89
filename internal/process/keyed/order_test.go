package keyed_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
)

// A change that had been read earlier was reported after a later one, so that an evacuation
// or an endpoint's entry from before stayed in force.
func TestChangesAreReportedInOrder(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	store := &memoryStore{}
	store.put("a", "1")
	isFirst, adopting := make(chan struct{}), make(chan struct{})
	reported := make(chan keyed.Position, 2)
	topic := keyed.NewTopic(keyed.Partition{Topic: "t"}, store, policy, restorePolicy, logrus.NewEntry(logger), func(change keyed.Change) {
		if change.Position == at(1) {
			close(isFirst)
			<-adopting
			// The other goroutine runs before the first change is applied.
			time.Sleep(50 * time.Millisecond)
		}
		reported <- change.Position
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- topic.Run(ctx) }()
	<-isFirst
	close(adopting)
	topic.Adopt(keyed.Snapshot{Position: at(2), Values: map[string][]byte{"a": []byte("2")}})
	assert.DeepEqual(t, []keyed.Position{<-reported, <-reported}, []keyed.Position{at(1), at(2)})
	cancel()
	assert.NilError(t, <-done)
}
