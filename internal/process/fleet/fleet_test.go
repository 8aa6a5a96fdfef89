package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func entry(id string) fleet.Entry {
	return fleet.Entry{ID: id, Service: "svc", Address: "10.0.0.1:1", Domain: "z1", Slots: 4, Sequence: 1}
}

func TestEntries(t *testing.T) {
	f := fleet.New()
	added, replaced := f.Set(entry("a"), start)
	assert.Assert(t, added != nil && replaced == nil)
	e := f.Get("a")
	assert.Assert(t, f.IsUsable(e))

	newer := entry("a")
	newer.Sequence, newer.Draining = 5, true
	added, _ = f.Set(newer, start)
	assert.Assert(t, added == nil)
	assert.Assert(t, !f.IsUsable(e))

	old := entry("a")
	old.Sequence = 3
	f.Set(old, start)
	assert.Assert(t, !f.IsUsable(e), "an older entry replaced a newer one")

	restarted := entry("a")
	restarted.StartMillis = 1_700_000_000_000
	added, replaced = f.Set(restarted, start)
	assert.Assert(t, added != nil && replaced == e)
	assert.Assert(t, f.IsUsable(added) && !f.IsUsable(e))
}

// An endpoint whose entry is removed in an outage of the platform gets no
// requests. It is removed only if the entry does not come back within the grace
// period.
func TestRemovalGracePeriod(t *testing.T) {
	f := fleet.New()
	e, _ := f.Set(entry("a"), start)
	assert.Assert(t, f.Remove("a", true, start) == nil)
	assert.Assert(t, !f.IsUsable(e))
	f.Set(entry("a"), start.Add(time.Second))
	assert.Assert(t, f.IsUsable(e))
	f.Remove("a", true, start.Add(2*time.Second))
	assert.Equal(t, len(f.ExpireRemoved(start.Add(3*time.Second))), 0)
	assert.Equal(t, len(f.ExpireRemoved(start.Add(5*time.Second))), 1)
	assert.Assert(t, f.Get("a") == nil && f.ByHash(e.Hash) == nil && len(f.ByService("svc")) == 0)
}

func TestExcludedDomain(t *testing.T) {
	f := fleet.New()
	e, _ := f.Set(entry("a"), start)
	f.SetExcludedDomains(map[string]bool{"z1": true})
	assert.Assert(t, !f.IsUsable(e))
	f.SetExcludedDomains(nil)
	assert.Assert(t, f.IsUsable(e))
}

func busy(e *fleet.Endpoint, now time.Time) int { return e.Candidate(now, 0, "z1").Busy }

// The load of another host counts until its report expires.
func TestLoads(t *testing.T) {
	f := fleet.New()
	e, _ := f.Set(entry("a"), start)
	e.BeginRequest(100, true, start)
	f.SetHostLoads("b", map[uint32]fleet.Load{e.Hash: {Running: 2, PendingTokens: 50}}, start)
	assert.Equal(t, busy(e, start), 3)
	assert.Equal(t, e.Candidate(start, 0, "z1").PendingTokens, 150.0)
	e.RecordFirstEvent(100, time.Millisecond)
	assert.Equal(t, e.Candidate(start, 0, "z1").PendingTokens, 50.0)
	assert.Equal(t, busy(e, start.Add(3*time.Second)), 1)
	e.EndRequest(100, true, fleet.ResultSuccess, start)
	f.SetHostLoads("b", nil, start)
	assert.Equal(t, busy(e, start), 0)
}

// A load report replaces the last one of the same host only, and may contain
// endpoints that this host does not know.
func TestLoadsOfAHostAreReplaced(t *testing.T) {
	f := fleet.New()
	first, _ := f.Set(entry("a"), start)
	second, _ := f.Set(entry("b"), start)
	third, _ := f.Set(entry("c"), start)
	report := func(host string, running int, endpoints ...*fleet.Endpoint) {
		loads := map[uint32]fleet.Load{7: {Running: 9}}
		for _, e := range endpoints {
			loads[e.Hash] = fleet.Load{Running: running}
		}
		f.SetHostLoads(host, loads, start)
	}
	report("x", 1, first, second, third)
	report("y", 3, first)
	report("x", 2, second)
	assert.Equal(t, busy(first, start), 3)
	assert.Equal(t, busy(second, start), 2)
	assert.Equal(t, busy(third, start), 0)
	f.Remove("b", false, start)
	f.SetHostLoads("x", nil, start)
	assert.Equal(t, busy(first, start), 3)
}

// An endpoint is suspended after consecutive failures, then probed with one
// request at a time, and used normally again after a success.
func TestSuspension(t *testing.T) {
	f := fleet.New()
	e, _ := f.Set(entry("a"), start)
	now := start
	try := func(result fleet.Result) bool {
		e.BeginRequest(0, true, now)
		return e.EndRequest(0, false, result, now)
	}
	blocked := func() bool { return e.Candidate(now, 0, "z1").Blocked }
	assert.Assert(t, !try(fleet.ResultIncomplete))
	assert.Assert(t, !blocked())
	assert.Assert(t, try(fleet.ResultTimeout))
	assert.Assert(t, blocked())
	now = now.Add(600 * time.Millisecond)
	assert.Assert(t, !blocked())
	e.BeginRequest(0, true, now)
	assert.Assert(t, blocked(), "a second request is sent while the endpoint is probed")
	assert.Assert(t, e.EndRequest(0, false, fleet.ResultUnreachable, now))
	now = now.Add(600 * time.Millisecond)
	assert.Assert(t, blocked(), "the second suspension is not longer than the first")
	now = now.Add(600 * time.Millisecond)
	assert.Assert(t, !try(fleet.ResultSuccess))
	e.BeginRequest(0, true, now)
	assert.Assert(t, !blocked())
}

// Failures that affect all endpoints alike count against none of them.
func TestMedianFailureRate(t *testing.T) {
	f := fleet.New()
	for _, id := range []string{"a", "b", "c"} {
		e, _ := f.Set(entry(id), start)
		for range 20 {
			e.BeginRequest(0, true, start)
			e.EndRequest(0, true, fleet.ResultFailed, start)
		}
	}
	median := f.MedianFailureRate("svc")
	assert.Assert(t, median > 0.8)
	assert.Equal(t, f.Get("a").Candidate(start, median, "z1").ExcessFailureRate, 0.0)
}

// A cold endpoint gets requests at this host's share of its rate, after a burst
// of one.
func TestColdShare(t *testing.T) {
	f := fleet.New()
	cold := entry("a")
	cold.ColdFor = 10 * time.Second
	e, _ := f.Set(cold, start)
	e.SetColdLimit(2, 1, start)
	sent := 0
	for step := range 3000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		if !e.Candidate(now, 0, "z1").Blocked {
			e.BeginRequest(0, true, now)
			e.EndRequest(0, true, fleet.ResultSuccess, now)
			sent++
		}
	}
	assert.Assert(t, sent >= 6 && sent <= 7, "%d", sent)
	assert.Assert(t, !e.IsCold(start.Add(11*time.Second)))
	e.MarkCold(5*time.Second, start.Add(12*time.Second))
	assert.Assert(t, e.IsCold(start.Add(13*time.Second)))
}

// The learned inter-token latency and prefill time of an endpoint follow its
// streams.
func TestInterTokenLatency(t *testing.T) {
	f := fleet.New()
	e, _ := f.Set(entry("a"), start)
	before := e.Candidate(start, 0, "z1")
	for range 30 {
		e.RecordInterTokenLatency(10 * time.Millisecond)
	}
	after := e.Candidate(start, 0, "z1")
	assert.Assert(t, after.InterTokenLatency > 9*time.Millisecond)
	assert.Assert(t, after.PrefillTimePerToken > 2*before.PrefillTimePerToken)
}
