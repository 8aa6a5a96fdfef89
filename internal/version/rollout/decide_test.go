package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
)

var testHost = identity.Incarnation{Host: "host-1", Number: 1}

// sound is counts of requests of which none speaks against a version.
func sound(count uint64) Counts {
	latency := Latency{Timed: count}
	return Counts{Succeeded: count, FirstToken: latency, PerToken: latency}
}

// testEvidence is evidence of one route: the whole move up to window 50, and
// what came on top in the present window 100.
func testEvidence(t *testing.T, newBefore, newRecent, oldBefore, oldRecent Counts) *Evidence {
	e := NewEvidence()
	add := func(arm Arm, before, recent Counts) {
		assert.NilError(t, e.Merge(Cell{Host: testHost, Arm: arm, Window: 50, Counts: before}))
		assert.NilError(t, e.Merge(Cell{Host: testHost, Arm: arm, Window: 100, Counts: before.plus(recent)}))
	}
	add(Arm{New: true, Route: "gauge"}, newBefore, newRecent)
	add(Arm{Route: "gauge"}, oldBefore, oldRecent)
	return e
}

func TestDecide(t *testing.T) {
	none := Counts{}
	failed := func(count uint64) Counts { return Counts{Failed: count} }
	late := func(count uint64) Counts {
		return Counts{Succeeded: count, FirstToken: Latency{Timed: count, Late: count}}
	}
	slow := func(count uint64) Counts {
		return Counts{Succeeded: count, PerToken: Latency{Timed: count, Late: count, VeryLate: count}}
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
		{"not due", sound(100), sound(100), sound(1e4), sound(500), 0, 0.1, ActionHold, CausePace},
		{"due and sound", sound(100), sound(100), sound(1e4), sound(500), 0, 0.2, ActionRaise, CauseSound},
		{"due without results", none, none, sound(1e4), sound(500), 0, 0.2, ActionHold, CauseEvidence},
		{"due with few results", none, sound(10), sound(1e4), sound(500), 0, 0.2, ActionHold, CauseEvidence},
		{"few results, time runs out", none, sound(10), sound(1e4), sound(500), 0, 0.7, ActionRaise, CauseDeadline},
		{"no results at the end", none, none, sound(1e4), sound(500), 0, 1, ActionHold, CauseEvidence},
		{"one failure", sound(100), sound(100).plus(failed(1)), sound(1e4), sound(500), 0, 0.2, ActionRaise, CauseSound},
		{"two failures of three at the start", none, sound(1).plus(failed(2)), sound(1e4), sound(500), 0, 0.2,
			ActionHold, CauseSuspicion},
		{"nothing but two failures", none, failed(2), sound(1e4), sound(500), 0, 0.01, ActionTakeBack, CauseWorse},
		{"bad at once", none, failed(4), sound(1e4), sound(500), 0, 0.01, ActionTakeBack, CauseWorse},
		{"bad later", sound(1e5), failed(6), sound(1e4), sound(500), 5, 0.6, ActionTakeBack, CauseWorse},
		{"both versions fail", sound(1e4), sound(50).plus(failed(50)), sound(1e4), sound(250).plus(failed(250)),
			2, 0.5, ActionRaise, CauseSound},
		{"fails as often as the old one", sound(980).plus(failed(20)), sound(98).plus(failed(2)),
			sound(9800).plus(failed(200)), sound(490).plus(failed(10)), 2, 0.4, ActionHold, CausePace},
		{"late first tokens", sound(20), late(30), sound(1e4), sound(500), 0, 0.1, ActionTakeBack, CauseWorse},
		{"slow answers", sound(20), slow(30), sound(1e4), sound(500), 0, 0.1, ActionTakeBack, CauseWorse},
		{"both versions are late", sound(1e4), late(50), sound(1e4), late(500), 2, 0.4, ActionHold, CausePace},
		{"one endpoint lost", sound(100), sound(20).plus(lost(3)), sound(1e4), sound(500), 0, 0.1, ActionHold, CausePace},
		{"endpoints lost again and again", sound(5), lost(30), sound(1e4), sound(500), 0, 0.1, ActionTakeBack, CauseWorse},
		{"watch at full load", sound(1e5), sound(1e4), sound(1e5), sound(50), lastRung, 0.8, ActionHold, CausePace},
		{"complete", sound(1e5), sound(1e4), sound(1e5), sound(50), lastRung, 0.93, ActionComplete, CauseSound},
		{"bad at full load", sound(1e5), failed(20), sound(1e5), sound(5), lastRung, 0.93, ActionTakeBack, CauseWorse},
		{"done", sound(1e5), failed(1e4), sound(1e5), none, StageDone, 0.95, ActionHold, CauseEnded},
		{"taken back", sound(1e5), none, sound(1e5), none, StageBad, 0.95, ActionHold, CauseEnded},
	}
	const complete = 100 * time.Second
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := Decide(Input{
				Complete:    complete,
				Stage:       test.stage,
				Elapsed:     time.Duration(test.elapsed * float64(complete)),
				AtStage:     complete / 10,
				Window:      100,
				StageWindow: 90,
				Evidence:    testEvidence(t, test.newBefore, test.newRecent, test.oldBefore, test.oldRecent),
			})
			assert.Equal(t, got.Action, test.action, "%v", got)
			assert.Equal(t, got.Cause, test.cause, "%v", got)
			assert.Equal(t, got.Stage > test.stage, test.action != ActionHold)
		})
	}
}

func TestDecisionTellsWhy(t *testing.T) {
	got := Decide(Input{
		Complete: time.Minute,
		Window:   100,
		Evidence: testEvidence(t, Counts{}, Counts{Failed: 9, Succeeded: 1}, sound(1000), sound(100)),
		Elapsed:  3 * time.Second,
	})
	assert.Equal(t, got.Stage, StageBad)
	assert.Equal(t, got.String(), "take back after 3s: new version is worse: route "+got.Worst.Route+
		": failed requests 9 of 10, old version 0 of 1100, allowed 0.003")
}

func TestLateStageWaitsForItsTime(t *testing.T) {
	in := Input{
		Complete: 100 * time.Second,
		Elapsed:  90 * time.Second,
		AtStage:  time.Second / 2,
		Window:   100,
		Evidence: testEvidence(t, Counts{}, sound(1000), sound(1000), sound(1000)),
	}
	assert.Equal(t, Decide(in).Cause, CausePace)
	in.AtStage = time.Second
	assert.Equal(t, Decide(in).Stage, Stage(1))
}
