package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// newWarmLimit returns a limit that has grown to its maximum, and the time when
// it has.
func newWarmLimit(t *testing.T) (*Limit, time.Time) {
	l := New(Config{Cold: 2, Max: 16}, start)
	l.ObserveIncarnation(start, "A")
	now := start.Add(minColdTime)
	for range 200 {
		now = now.Add(minAdjustInterval / 2)
		l.ObserveSlowdown(now, 100, l.Value(now))
	}
	assert.Equal(t, l.Value(now), 16)
	return l, now
}

func TestLimitChanges(t *testing.T) {
	observe := func(l *Limit, now time.Time, n int, slowdown uint16) {
		for range n {
			l.ObserveSlowdown(now, slowdown, 16)
		}
	}
	cases := []struct {
		name string
		do   func(l *Limit, now time.Time)
		want int
	}{
		{"nothing", func(*Limit, time.Time) {}, 16},
		{"restart", func(l *Limit, now time.Time) { l.ObserveIncarnation(now, "B") }, 2},
		{"late report of an earlier incarnation", func(l *Limit, now time.Time) {
			l.ObserveIncarnation(start, "A")
			l.ObserveIncarnation(now, "")
		}, 16},
		{"loss of the cache", func(l *Limit, now time.Time) { l.ObserveCachedTokens(now, 9000); l.ObserveCachedTokens(now, 10) }, 2},
		{"part of the cache", func(l *Limit, now time.Time) { l.ObserveCachedTokens(now, 9000); l.ObserveCachedTokens(now, 5000) }, 16},
		{"run of very late first tokens", func(l *Limit, now time.Time) { observe(l, now, coldSlowdownRun, coldSlowdown) }, 2},
		{"one late first token", func(l *Limit, now time.Time) { observe(l, now, 1, coldSlowdown) }, 16},
		{"gradient", func(l *Limit, now time.Time) { observe(l, now.Add(time.Second), 2*sampleWindow, 450) }, 12},
		{"return to service", func(l *Limit, now time.Time) { l.Resume(now) }, 2},
		{"failure", func(l *Limit, now time.Time) { l.RecordFailure(now.Add(-minBackoff)) }, 2},
		{"backoff after a failure", func(l *Limit, now time.Time) { l.RecordFailure(now) }, 0},
		{"failure of an endpoint that has not restarted", func(l *Limit, now time.Time) {
			l.RecordFailure(now.Add(-minBackoff))
			l.VerifyIncarnation(now, "A")
		}, 16},
		{"failure and an earlier load report", func(l *Limit, now time.Time) {
			l.RecordFailure(now.Add(-minBackoff))
			l.VerifyIncarnation(now.Add(-time.Second), "A")
		}, 2},
		{"run of failures", func(l *Limit, now time.Time) {
			for range failureThreshold {
				l.RecordFailure(now.Add(-minBackoff))
			}
			l.VerifyIncarnation(now, "A")
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, now := newWarmLimit(t)
			c.do(l, now)
			assert.Equal(t, l.Value(now), c.want)
		})
	}
}

func TestColdLimitGrowth(t *testing.T) {
	cases := []struct {
		name     string
		after    time.Duration
		slowdown uint16
		inFlight int
		grows    bool
	}{
		{"healthy and in use", minColdTime, 100, 2, true},
		{"too soon", minColdTime / 2, 100, 2, false},
		{"slow", minColdTime, healthySlowdown + 1, 2, false},
		{"not in use", minColdTime, 100, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Config{Cold: 2, Max: 16}, start)
			now := start.Add(c.after)
			for range sampleWindow {
				l.ObserveSlowdown(now, c.slowdown, c.inFlight)
			}
			assert.Equal(t, l.Value(now) > 2, c.grows)
			assert.Equal(t, l.IsCold(), !c.grows)
		})
	}
}
