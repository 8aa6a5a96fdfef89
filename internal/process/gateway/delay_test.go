package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Delays of the process were not logged, so that a cut request could not be traced to one.
func TestProcessDelay(t *testing.T) {
	output := bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(&output)
	registry := metrics.NewRegistry()
	monitor := newDelayMonitor(logrus.NewEntry(logger), registry)
	now := time.Now()
	measure := func(after time.Duration) {
		now = now.Add(after)
		monitor.measure(now)
	}
	longestSince := func(age time.Duration) time.Duration { return monitor.longestSince(now.Add(-age), now) }
	lines := func() int { return strings.Count(output.String(), "process was delayed") }

	measure(0)
	measure(delayCheckInterval + time.Millisecond)
	assert.Equal(t, longestSince(time.Minute), time.Duration(0))
	assert.Equal(t, lines(), 0)

	measure(delayCheckInterval + 1300*time.Millisecond)
	assert.Equal(t, longestSince(time.Minute), 1300*time.Millisecond)
	assert.Equal(t, longestSince(time.Second), time.Second, "only the part since then")
	assert.Equal(t, monitor.longestSince(now, now.Add(delayCheckInterval+2*time.Second)), 2*time.Second, "a delay that goes on")
	assert.Equal(t, metrics.GetOrRegisterGauge("process.longest_delay_ms", registry).Value(), int64(1300))
	assert.Equal(t, lines(), 1)
	assert.Assert(t, strings.Contains(output.String(), "delay_ms=1300"))

	measure(delayCheckInterval + 600*time.Millisecond)
	measure(delayCheckInterval + 700*time.Millisecond)
	assert.Equal(t, lines(), 1)
	for range int(delayLogInterval / delayCheckInterval) {
		measure(delayCheckInterval)
	}
	assert.Equal(t, lines(), 2)
	assert.Assert(t, strings.Contains(output.String(), "delay_ms=700 delays=2"))

	for range int(delayMemory/delayCheckInterval) + 1 {
		measure(delayCheckInterval)
	}
	assert.Equal(t, longestSince(time.Hour), time.Duration(0))
	assert.Equal(t, len(monitor.recent), 0)
}

func TestBeginOfDelay(t *testing.T) {
	monitor := newDelayMonitor(logrus.NewEntry(logrus.New()), metrics.NewRegistry())
	start := time.Now()
	monitor.measure(start)
	assert.Equal(t, monitor.Begin(start.Add(delayCheckInterval)), start.Add(delayCheckInterval), "none")
	end := start.Add(2 * time.Second)
	assert.Equal(t, monitor.Begin(end), start, "not measured yet")
	monitor.measure(end)
	assert.Equal(t, monitor.Begin(end.Add(time.Millisecond)), start, "just ended")
	later := end.Add(delayCheckInterval + time.Millisecond)
	assert.Equal(t, monitor.Begin(later), later, "over")
}
