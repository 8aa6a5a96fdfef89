package relay

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func TestSplitter(t *testing.T) {
	s := eventSplitter{}
	assert.Equal(t, string(s.add([]byte("id: 1\ndata: a\n"))), "")
	assert.Assert(t, !s.isAtEventBoundary())
	assert.Equal(t, string(s.add([]byte("\nid: 2\ndata: b\n\nid: 3"))), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, s.lastID, "2")
	assert.Equal(t, s.count, 2)
	assert.Equal(t, string(s.add([]byte("\n\n"))), "id: 3\n\n")
	assert.Equal(t, s.lastID, "3")
	assert.Assert(t, s.isAtEventBoundary())
}

// A stream whose third line end arrived in a separate read was reported as incomplete.
func TestSplitterTakesFurtherLineEnds(t *testing.T) {
	s := eventSplitter{}
	assert.Equal(t, string(s.add([]byte("id: 1\n\n"))), "id: 1\n\n")
	assert.Equal(t, string(s.add([]byte("\n"))), "\n")
	assert.Assert(t, s.isAtEventBoundary())
	assert.Equal(t, s.count, 1)
	assert.Equal(t, string(s.add([]byte("\n\nid: 2\n\nid: 3"))), "\n\nid: 2\n\n")
	assert.Equal(t, s.count, 2)
	assert.Assert(t, !s.isAtEventBoundary())
}

// The complete events come out unchanged, however the stream is split into
// reads, and with the same state as from one read.
func FuzzSplitter(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nrest", uint8(3))
	f.Add("\n\n\n", uint8(1))
	f.Add("id: 1\n\n\n\n\nid: 2\n\n\n", uint8(0))
	f.Add("\n\n\n\nid: 1\n\n\nid", uint8(2))
	f.Fuzz(func(t *testing.T, stream string, step uint8) {
		s, got := eventSplitter{}, ""
		for rest := stream; rest != ""; {
			n := min(int(step)+1, len(rest))
			got += string(s.add([]byte(rest[:n])))
			rest = rest[n:]
		}
		if end := strings.LastIndex(stream, "\n\n"); end < 0 {
			assert.Equal(t, got, "")
		} else {
			assert.Equal(t, got, stream[:end+2])
		}
		assert.Equal(t, got+string(s.pending), stream)
		whole := eventSplitter{}
		whole.add([]byte(stream))
		assert.Equal(t, s.isAtEventBoundary(), whole.isAtEventBoundary())
		assert.Equal(t, s.count, whole.count)
		assert.Equal(t, s.lastID, whole.lastID)
	})
}

func TestDeadlineTracker(t *testing.T) {
	tracker := deadlineTracker{}
	now := start
	assert.Assert(t, !tracker.isCallerRetry("r", 12000, now))
	assert.Assert(t, !tracker.isCallerRetry("r", 10400, now))
	assert.Assert(t, tracker.isCallerRetry("r", 10000, now))
	assert.Assert(t, !tracker.isCallerRetry("r", 0, now))
	assert.Assert(t, !tracker.isCallerRetry("other", 10000, now))
	assert.Assert(t, !tracker.isCallerRetry("r", 10000, now.Add(2*maxDeadlineAge)))
	assert.Assert(t, tracker.isCallerRetry("r", 8000, now.Add(2*maxDeadlineAge)))
}
