package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// warm returns a limit that has grown to its maximum, and the time of that.
func warm(t *testing.T) (*Limit, time.Time) {
	l := New(Config{Cold: 2, Max: 16}, start)
	l.SeeEngine(start, "A")
	now := start.Add(holdCold)
	for range 200 {
		now = now.Add(settle / 2)
		l.Sample(now, 100, l.Value(now))
	}
	assert.Equal(t, l.Value(now), 16)
	return l, now
}

func TestWhatMakesALimitChange(t *testing.T) {
	late := func(l *Limit, now time.Time, n int, slowdown uint16) {
		for range n {
			l.Sample(now, slowdown, 16)
		}
	}
	cases := []struct {
		name string
		do   func(l *Limit, now time.Time)
		want int
	}{
		{"nothing", func(*Limit, time.Time) {}, 16},
		{"restart", func(l *Limit, now time.Time) { l.SeeEngine(now, "B") }, 2},
		{"late report of an earlier incarnation", func(l *Limit, now time.Time) {
			l.SeeEngine(start, "A")
			l.SeeEngine(now, "")
		}, 16},
		{"loss of the cache", func(l *Limit, now time.Time) { l.SeeCache(now, 9000); l.SeeCache(now, 10) }, 2},
		{"part of the cache", func(l *Limit, now time.Time) { l.SeeCache(now, 9000); l.SeeCache(now, 5000) }, 16},
		{"run of very late first tokens", func(l *Limit, now time.Time) { late(l, now, coldRun, coldSlowdown) }, 2},
		{"one late first token", func(l *Limit, now time.Time) { late(l, now, 1, coldSlowdown) }, 16},
		{"gradient", func(l *Limit, now time.Time) { late(l, now.Add(time.Second), 2*window, 450) }, 12},
		{"return to service", func(l *Limit, now time.Time) { l.Return(now) }, 2},
		{"failure", func(l *Limit, now time.Time) { l.Fail(now.Add(-minPause)) }, 2},
		{"pause after a failure", func(l *Limit, now time.Time) { l.Fail(now) }, 0},
		{"failure of an endpoint that has not restarted", func(l *Limit, now time.Time) {
			l.Fail(now.Add(-minPause))
			l.Verify(now, "A")
		}, 16},
		{"failure and an older report", func(l *Limit, now time.Time) {
			l.Fail(now.Add(-minPause))
			l.Verify(now.Add(-time.Second), "A")
		}, 2},
		{"run of failures", func(l *Limit, now time.Time) {
			for range failureRun {
				l.Fail(now.Add(-minPause))
			}
			l.Verify(now, "A")
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, now := warm(t)
			c.do(l, now)
			assert.Equal(t, l.Value(now), c.want)
		})
	}
}

func TestWhatKeepsAColdLimitFromGrowing(t *testing.T) {
	cases := []struct {
		name     string
		after    time.Duration
		slowdown uint16
		inFlight int
		grows    bool
	}{
		{"healthy and in use", holdCold, 100, 2, true},
		{"too soon", holdCold / 2, 100, 2, false},
		{"slow", holdCold, healthySlowdown + 1, 2, false},
		{"not in use", holdCold, 100, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Config{Cold: 2, Max: 16}, start)
			now := start.Add(c.after)
			for range window {
				l.Sample(now, c.slowdown, c.inFlight)
			}
			assert.Equal(t, l.Value(now) > 2, c.grows)
			assert.Equal(t, l.IsCold(), !c.grows)
		})
	}
}
