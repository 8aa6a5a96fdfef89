package reach_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/reach"
)

var start = time.Unix(1_700_000_000, 0)

func fail(tracker *reach.Tracker, endpoints ...string) {
	for _, id := range endpoints {
		tracker.RecordFailure(id, start)
	}
}

func TestServiceIsLost(t *testing.T) {
	tracker := reach.NewTracker()
	fail(tracker, "a", "a", "b")
	assert.Assert(t, !tracker.IsLost(12, start), "two of twelve endpoints may be down")
	fail(tracker, "c")
	assert.Assert(t, tracker.IsLost(12, start))
	for _, id := range []string{"d", "e"} {
		assert.Assert(t, !tracker.RecordSuccess(id, start))
	}
	assert.Assert(t, tracker.IsLost(12, start), "most endpoints are out of reach")
	assert.Assert(t, tracker.RecordSuccess("c", start))
	assert.Assert(t, !tracker.IsLost(12, start))
}

func TestSmallServiceIsLost(t *testing.T) {
	tracker := reach.NewTracker()
	fail(tracker, "a")
	assert.Assert(t, !tracker.IsLost(2, start))
	fail(tracker, "b")
	assert.Assert(t, tracker.IsLost(2, start))
	tracker.Forget("b")
	assert.Assert(t, !tracker.IsLost(2, start), "an endpoint that has left")
}

// A connection that was opened some time ago is no sign that the path still works.
func TestOldConnectionsDoNotCount(t *testing.T) {
	tracker := reach.NewTracker()
	for i := range 9 {
		tracker.RecordSuccess(fmt.Sprint("open", i), start)
	}
	now := start.Add(4 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		tracker.RecordFailure(id, now)
	}
	assert.Assert(t, tracker.IsLost(12, now))
}

func TestProbes(t *testing.T) {
	tracker := reach.NewTracker()
	endpoints := []string{"a", "b"}
	for i := range 264 {
		endpoints = append(endpoints, fmt.Sprint(i))
	}
	fail(tracker, "a")
	assert.Equal(t, len(tracker.Probes(endpoints, start)), 0, "it has just been tried")
	later := start.Add(time.Second)
	assert.DeepEqual(t, tracker.Probes(endpoints, later), []string{"a"})
	fail(tracker, "b")
	assert.Equal(t, len(tracker.Probes(endpoints, later)), 2+8)
}
