package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/version/bundle"
	"mustarddoor/internal/version/config"
	"mustarddoor/internal/version/rollout"
)

func TestStageConfigStateRoundTrip(t *testing.T) {
	for _, stage := range []rollout.Stage{0, 1, 6, rollout.StageDone, rollout.StageRolledBack} {
		state := configState(rollout.Proposal{Stage: stage, Reason: "why"})
		assert.Equal(t, stageOf(state), stage)
		assert.Equal(t, state.Reason, "why")
	}
}

// TestStageMergeMatchesConfigJoin checks that merging stages gives the same
// result as joining the corresponding move states of the configuration.
func TestStageMergeMatchesConfigJoin(t *testing.T) {
	stages := []rollout.Stage{0, 1, 6, rollout.StageDone, rollout.StageRolledBack}
	for _, a := range stages {
		for _, b := range stages {
			joined := configState(rollout.Proposal{Stage: a}).Join(configState(rollout.Proposal{Stage: b}))
			assert.Equal(t, stageOf(joined), a.Merge(b), "%d and %d", a, b)
		}
	}
}

func TestMovesOfView(t *testing.T) {
	view := &config.View{
		Bundle: &bundle.Bundle{Routes: []bundle.Route{
			{Name: "gauge", Service: "usta-llm"}, {Name: "invoice", Service: "defter-app"},
		}},
		Moves: []config.MoveView{{
			ID:    config.MoveID{Service: "usta-llm", From: "v1", To: "v2", Since: 9, SinceMillis: 1000},
			Move:  bundle.Move{CompleteSeconds: 60},
			State: config.MoveState{Stage: 3},
		}},
	}
	moves := movesOf(view)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, configMove(moves[0].MoveID), view.Moves[0].ID)
	assert.Equal(t, moves[0].Stage, rollout.Stage(3))
	assert.Equal(t, moves[0].MaxDuration.Seconds(), 60.0)
	assert.Equal(t, moves[0].Began.UnixMilli(), int64(1000))
	assert.DeepEqual(t, moves[0].Routes, []string{"gauge"})
}

func TestResultOfAttemptEnd(t *testing.T) {
	cases := []struct {
		end  flow.AttemptEnd
		want rollout.Result
	}{
		{flow.AttemptCompleted, rollout.ResultSucceeded},
		{flow.AttemptFailed, rollout.ResultFailed},
		{flow.AttemptBroken, rollout.ResultLost},
		{flow.AttemptRefused, rollout.ResultNone},
		{flow.AttemptCanceled, rollout.ResultNone},
	}
	for _, test := range cases {
		assert.Equal(t, resultOf(test.end), test.want)
	}
}
