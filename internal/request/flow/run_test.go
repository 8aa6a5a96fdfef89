package flow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/placement"
)

func TestSendTimeoutEndsAtSendDeadline(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name         string
		sendDeadline time.Time
		maxTimeout   time.Duration
	}{
		{"slot without expiry", time.Time{}, maxSendDelay},
		{"slot that expires late", now.Add(time.Hour), maxSendDelay},
		{"slot that expires soon", now.Add(maxSendDelay / 2), maxSendDelay / 2},
		{"slot that has expired", now.Add(-time.Second), -time.Second},
	}
	for _, c := range cases {
		got := sendTimeout(&placement.Placement{SendDeadline: c.sendDeadline})
		assert.Assert(t, got <= c.maxTimeout, "%s: %v", c.name, got)
	}
}
