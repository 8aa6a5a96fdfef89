package flow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/placement"
)

func TestSendingTimeEndsWithTheSlot(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		sendBy time.Time
		most   time.Duration
	}{
		{"slot without end", time.Time{}, sendWithin},
		{"slot that lasts", now.Add(time.Hour), sendWithin},
		{"slot that lapses soon", now.Add(sendWithin / 2), sendWithin / 2},
		{"slot that has lapsed", now.Add(-time.Second), -time.Second},
	}
	for _, c := range cases {
		got := sendingTime(&placement.Placement{SendBy: c.sendBy})
		assert.Assert(t, got <= c.most, "%s: %v", c.name, got)
	}
}
