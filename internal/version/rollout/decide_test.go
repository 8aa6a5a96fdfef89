package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
)

var testHost = identity.Incarnation{Host: "host-1", Number: 1}

// healthy returns counts of requests that all succeeded in time.
func healthy(count uint64) Counts {
	latency := LatencyCounts{Timed: count}
	return Counts{Succeeded: count, FirstToken: latency, PerToken: latency}
}

// testEvidence returns evidence of one route: the counts of the move up to
// window 50, and those added in the current window 100.
func testEvidence(t *testing.T, newBefore, newRecent, oldBefore, oldRecent Counts) *Evidence {
	e := NewEvidence()
	add := func(arm Arm, before, recent Counts) {
		assert.NilError(t, e.Merge(Report{Host: testHost, Arm: arm, Window: 50, Counts: before}))
		assert.NilError(t, e.Merge(Report{Host: testHost, Arm: arm, Window: 100, Counts: before.plus(recent)}))
	}
	add(Arm{New: true, Route: "gauge"}, newBefore, newRecent)
	add(Arm{Route: "gauge"}, oldBefore, oldRecent)
	return e
}

func TestDecide(t *testing.T) {
	none := Counts{}
	failed := func(count uint64) Counts { return Counts{Failed: count} }
	late := func(count uint64) Counts {
		return Counts{Succeeded: count, FirstToken: LatencyCounts{Timed: count, Late: count}}
	}
	slow := func(count uint64) Counts {
		return Counts{Succeeded: count, PerToken: LatencyCounts{Timed: count, Late: count, VeryLate: count}}
	}
	lost := func(count uint64) Counts { return Counts{Lost: count} }
	cases := []struct {
		name                 string
		newBefore, newRecent Counts
		oldBefore, oldRecent Counts
		stage                Stage
		elapsed              float64
		action               Action
		cause                Cause
	}{
		{"not due", healthy(100), healthy(100), healthy(1e4), healthy(500), 0, 0.1, ActionHold, CauseNotDue},
		{"due and healthy", healthy(100), healthy(100), healthy(1e4), healthy(500), 0, 0.2, ActionRaise, CauseHealthy},
		{"due without results", none, none, healthy(1e4), healthy(500), 0, 0.2, ActionHold, CauseTooFewResults},
		{"due with few results", none, healthy(10), healthy(1e4), healthy(500), 0, 0.2, ActionHold, CauseTooFewResults},
		{"few results near the deadline", none, healthy(10), healthy(1e4), healthy(500), 0, 0.7, ActionRaise, CauseDeadline},
		{"no results at the end", none, none, healthy(1e4), healthy(500), 0, 1, ActionHold, CauseTooFewResults},
		{"one failure", healthy(100), healthy(100).plus(failed(1)), healthy(1e4), healthy(500), 0, 0.2,
			ActionRaise, CauseHealthy},
		{"two failures of three at the start", none, healthy(1).plus(failed(2)), healthy(1e4), healthy(500), 0, 0.2,
			ActionHold, CausePossibleRegression},
		{"two failures only", none, failed(2), healthy(1e4), healthy(500), 0, 0.01, ActionRollBack, CauseRegression},
		{"bad at once", none, failed(4), healthy(1e4), healthy(500), 0, 0.01, ActionRollBack, CauseRegression},
		{"bad later", healthy(1e5), failed(6), healthy(1e4), healthy(500), 5, 0.6, ActionRollBack, CauseRegression},
		{"both versions fail", healthy(1e4), healthy(50).plus(failed(50)), healthy(1e4), healthy(250).plus(failed(250)),
			2, 0.5, ActionRaise, CauseHealthy},
		{"fails as often as the old one", healthy(980).plus(failed(20)), healthy(98).plus(failed(2)),
			healthy(9800).plus(failed(200)), healthy(490).plus(failed(10)), 2, 0.4, ActionHold, CauseNotDue},
		{"late first tokens", healthy(20), late(30), healthy(1e4), healthy(500), 0, 0.1, ActionRollBack, CauseRegression},
		{"slow answers", healthy(20), slow(30), healthy(1e4), healthy(500), 0, 0.1, ActionRollBack, CauseRegression},
		{"both versions are late", healthy(1e4), late(50), healthy(1e4), late(500), 2, 0.4, ActionHold, CauseNotDue},
		{"one endpoint lost", healthy(100), healthy(20).plus(lost(3)), healthy(1e4), healthy(500), 0, 0.1,
			ActionHold, CauseNotDue},
		{"endpoints lost repeatedly", healthy(5), lost(30), healthy(1e4), healthy(500), 0, 0.1,
			ActionRollBack, CauseRegression},
		{"not due at full load", healthy(1e5), healthy(1e4), healthy(1e5), healthy(50), fullLoadStage, 0.8,
			ActionHold, CauseNotDue},
		{"complete", healthy(1e5), healthy(1e4), healthy(1e5), healthy(50), fullLoadStage, 0.93,
			ActionComplete, CauseHealthy},
		{"bad at full load", healthy(1e5), failed(20), healthy(1e5), healthy(5), fullLoadStage, 0.93,
			ActionRollBack, CauseRegression},
		{"done", healthy(1e5), failed(1e4), healthy(1e5), none, StageDone, 0.95, ActionHold, CauseEnded},
		{"rolled back", healthy(1e5), none, healthy(1e5), none, StageRolledBack, 0.95, ActionHold, CauseEnded},
	}
	const complete = 100 * time.Second
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := Decide(Input{
				MaxDuration:  complete,
				Stage:        test.stage,
				Elapsed:      time.Duration(test.elapsed * float64(complete)),
				StageElapsed: complete / 10,
				Window:       100,
				StageWindow:  90,
				Evidence:     testEvidence(t, test.newBefore, test.newRecent, test.oldBefore, test.oldRecent),
			})
			assert.Equal(t, got.Action, test.action, "%v", got)
			assert.Equal(t, got.Cause, test.cause, "%v", got)
			assert.Equal(t, got.Stage > test.stage, test.action != ActionHold)
		})
	}
}

func TestDecisionStringGivesReason(t *testing.T) {
	got := Decide(Input{
		MaxDuration: time.Minute,
		Window:      100,
		Evidence:    testEvidence(t, Counts{}, Counts{Failed: 9, Succeeded: 1}, healthy(1000), healthy(100)),
		Elapsed:     3 * time.Second,
	})
	assert.Equal(t, got.Stage, StageRolledBack)
	assert.Equal(t, got.String(), "take back after 3s: new version is worse: route "+got.Worst.Route+
		": failed requests 9 of 10, old version 0 of 1100, allowed 0.003")
}

func TestLateStageKeepsMinimumTime(t *testing.T) {
	in := Input{
		MaxDuration:  100 * time.Second,
		Elapsed:      90 * time.Second,
		StageElapsed: time.Second / 2,
		Window:       100,
		Evidence:     testEvidence(t, Counts{}, healthy(1000), healthy(1000), healthy(1000)),
	}
	assert.Equal(t, Decide(in).Cause, CauseNotDue)
	in.StageElapsed = time.Second
	assert.Equal(t, Decide(in).Stage, Stage(1))
}
