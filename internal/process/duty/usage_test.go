package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Counts that arrive repeatedly, late and out of order, and from a host's processes one
// after the other, add up to what was counted.
func TestCollection(t *testing.T) {
	counts := func(window, a, b int64) []WindowCounts {
		return []WindowCounts{{Window: window, Counts: map[string]int64{"a": a, "b": b}}}
	}
	c := NewCollection(5*time.Second, 10*time.Second)
	now := windowEnd(9, 5*time.Second)
	h1, restarted, h2 := Process{"h1", 1}, Process{"h1", 2}, Process{"h2", 1}
	assert.Assert(t, !c.IsComplete(now))
	c.Merge(h1, counts(9, 3, 1), now.Add(-time.Second))
	c.Merge(h1, counts(9, 2, 0), now.Add(-2*time.Second))
	c.Merge(h2, counts(9, 5, 0), now)
	assert.DeepEqual(t, c.Total(9), map[string]int64{"a": 8, "b": 1})
	assert.Assert(t, !c.IsComplete(now))
	c.Merge(restarted, counts(9, 1, 1), now)
	assert.Assert(t, c.IsComplete(now))
	assert.DeepEqual(t, c.Total(9), map[string]int64{"a": 9, "b": 2})
	c.Expect(Process{"h3", 1}, now)
	assert.Assert(t, !c.IsComplete(now))
	c.Expire(now.Add(10 * time.Second))
	assert.DeepEqual(t, c.Total(9), map[string]int64{"a": 9, "b": 2})
	c.Expire(now.Add(40 * time.Second))
	assert.DeepEqual(t, c.Total(9), map[string]int64{})
	assert.Assert(t, !c.IsComplete(now))
}

func TestCounter(t *testing.T) {
	now := windowEnd(99, 5*time.Second)
	c := NewCounter(5*time.Second, 10*time.Second, func() time.Time { return now })
	assert.Assert(t, !c.HasRecent())
	c.Add("a")
	c.Add("a")
	now = now.Add(5 * time.Second)
	c.Add("b")
	assert.DeepEqual(t, c.Windows(101)[0].Counts, map[string]int64{"b": 1})
	assert.Equal(t, len(c.Windows(100)), 2)
	now = now.Add(time.Minute)
	assert.Assert(t, !c.HasRecent())
	c.Add("b")
	assert.Equal(t, len(c.Windows(0)), 1)
}

// What was saved is sent until it is answered, without regard to later counts; then the
// next window follows as soon as its counts are complete, or in time to be sent.
func TestReportPlan(t *testing.T) {
	plan := ReportPlan{Length: 5 * time.Second, Lateness: 10 * time.Second}
	end := func(window int64) time.Time { return windowEnd(window, plan.Length) }
	since := end(9).Add(2 * time.Second) // in window 10
	cases := []struct {
		name       string
		state      ReportState
		now        time.Time
		isComplete bool
		want       ReportStep
	}{
		{"window goes on", ReportState{Since: since}, end(10).Add(-time.Millisecond), true, ReportStep{Window: 10}},
		{"first window", ReportState{Since: since}, end(10).Add(settleTime), true, ReportStep{Fix: true, Window: 10}},
		{"counts missing", ReportState{Since: since}, end(10).Add(settleTime), false, ReportStep{Window: 10}},
		{"no longer waited for", ReportState{Since: since}, end(10).Add(plan.Lateness / 2), false, ReportStep{Fix: true, Window: 10}},
		{"unanswered", ReportState{Fixed: 12, HasFixed: true, Since: since}, end(13).Add(time.Second), true, ReportStep{Send: true, Window: 12}},
		{"answered", ReportState{Fixed: 12, HasFixed: true, IsAnswered: true, Since: since}, end(13).Add(time.Second), true, ReportStep{Fix: true, Window: 13}},
		{"too late to repeat", ReportState{Fixed: 12, HasFixed: true, Since: since}, end(12).Add(plan.Lateness), true, ReportStep{Fix: true, Window: 13, Missed: 1}},
		{"long absence", ReportState{Fixed: 12, HasFixed: true, IsAnswered: true, Since: since}, end(20).Add(time.Second), true, ReportStep{Fix: true, Window: 19, Missed: 6}},
		{"saved before values were lost", ReportState{Fixed: 9, HasFixed: true, Since: since}, end(9).Add(time.Second), true, ReportStep{Window: 10}},
	}
	for _, c := range cases {
		got := plan.Next(c.state, c.now, func(time.Time) bool { return c.isComplete })
		assert.Equal(t, got, c.want, c.name)
	}
}

func TestReportEncoding(t *testing.T) {
	for _, counts := range []map[string]int64{{"a": 3}, {}} {
		value, err := EncodeReport(UsageReport{Window: 7, Counts: counts})
		assert.NilError(t, err)
		report, err := DecodeReport(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, report, UsageReport{Window: 7, Counts: counts})
	}
	_, err := DecodeReport([]byte("x"))
	assert.Assert(t, err != nil)
}

// A step of some hosts' time of day does not move the agreed time, of this host or of
// others.
func TestClockStep(t *testing.T) {
	true0 := time.Unix(1_700_000_000, 0)
	elapsed, step := time.Duration(0), time.Duration(0)
	boot := func() time.Duration { return elapsed + time.Hour }
	now := func() time.Time { return true0.Add(elapsed) }
	c := NewClock(boot, func() time.Time { return now().Add(step) })
	isNear := func(got time.Time) bool { return got.Sub(now()).Abs() < 5*time.Millisecond }
	assert.Assert(t, isNear(c.Now()))
	sample := func(host string, offset time.Duration) (int64, bool) {
		otherBoot := 5 * time.Hour
		return c.AddSample(host, Reading{SinceBootMicros: (otherBoot + elapsed).Microseconds(), TimeOfDayMicros: now().Add(offset).UnixMicro()},
			boot()-time.Millisecond, boot()+time.Millisecond)
	}
	for i, host := range []string{"a", "b", "c", "d"} {
		_, isValid := sample(host, time.Duration(i)*time.Millisecond)
		assert.Assert(t, isValid)
	}
	assert.Assert(t, isNear(c.Now()))
	elapsed, step = 3*time.Second, 7*time.Second
	assert.Assert(t, isNear(c.Now()))
	base, _ := sample("a", -9*time.Second)
	assert.Assert(t, isNear(c.Now()))
	// The host whose clock is wrong receives the agreed time.
	other := NewClock(func() time.Duration { return 5*time.Hour + elapsed }, func() time.Time { return now().Add(-9 * time.Second) })
	assert.Assert(t, !isNear(other.Now()))
	other.Adopt(base)
	assert.Assert(t, isNear(other.Now()))
	_, isValid := c.AddSample("b", Reading{}, boot()-time.Second, boot())
	assert.Assert(t, !isValid)
	assert.Assert(t, isNear(c.Now()))
}
