package rollout

import (
	"math"
	"time"
)

// Parameters of the decision.
const (
	// falseVerdicts bounds the chance that a sound version is taken back.
	falseVerdicts = 0.0005
	// wholeMoveShare is the part of falseVerdicts for the tests over the whole
	// move; the rest is for those over recent windows.
	wholeMoveShare = 0.5
	// suspicion is the log likelihood ratio from which a move is held.
	suspicion = 3
	// resultsToRaise is how many results a stage needs before the next one.
	resultsToRaise = 40
	// resultsAtDeadline is enough when the move's time runs out.
	resultsAtDeadline = 5
	// latestPart is the part of the time between a stage's due time and the
	// move's end for which the stage may wait for evidence.
	latestPart = 0.5
)

// Bounds of the windows in which evidence is counted.
const (
	windowsInMove = 256
	minWindow     = time.Second
	maxWindow     = time.Minute
)

// minStageTime is the least time between two raises, as a fraction of the
// move's time.
const minStageTime = 0.01

// WindowLength is the length of the windows of a move that may take the given
// time.
func WindowLength(complete time.Duration) time.Duration {
	return min(max(complete/windowsInMove, minWindow), maxWindow)
}

// Input is what a decision depends on.
type Input struct {
	// Complete is how long the move may take from its begin.
	Complete time.Duration
	Stage    Stage
	// Elapsed is the time since the move's begin, AtStage since its stage
	// began.
	Elapsed, AtStage time.Duration
	// Window is the number of the present window, StageWindow that in which
	// the stage began.
	Window, StageWindow uint64
	Evidence            *Evidence
}

// measure reads one test's sample from counts.
type measure struct {
	name Measure
	// floor is a rate of hits that is always allowed.
	floor  float64
	sample func(Counts) Sample
}

// measures are the sequential tests of each route.
var measures = []measure{
	{MeasureFailed, 0.01, func(c Counts) Sample { return Sample{c.Failed, c.Succeeded + c.Failed} }},
	{MeasureLost, 0.25, func(c Counts) Sample { return Sample{c.Lost, c.Succeeded + c.Failed + c.Lost} }},
	{MeasureLateFirstToken, 0.10, func(c Counts) Sample { return Sample{c.FirstToken.Late, c.FirstToken.Timed} }},
	{MeasureVeryLateFirstToken, 0.03, func(c Counts) Sample { return Sample{c.FirstToken.VeryLate, c.FirstToken.Timed} }},
	{MeasureSlowTokens, 0.10, func(c Counts) Sample { return Sample{c.PerToken.Late, c.PerToken.Timed} }},
	{MeasureVerySlowTokens, 0.03, func(c Counts) Sample { return Sample{c.PerToken.VeryLate, c.PerToken.Timed} }},
}

// Decide judges a move.
func Decide(in Input) Decision {
	d := Decision{Action: ActionHold, Cause: CauseEnded, Stage: in.Stage, Elapsed: in.Elapsed}
	if in.Stage.IsFinal() {
		return d
	}
	worst, excess := compareAll(in)
	d.Worst = worst
	d.Results = resultsAtStage(in)
	if excess > 0 {
		d.Action, d.Cause, d.Stage = ActionTakeBack, CauseWorse, StageBad
		return d
	}
	d.Cause = raiseCause(in, d)
	if d.Cause != CauseSound && d.Cause != CauseDeadline {
		return d
	}
	d.Action = ActionRaise
	d.Stage, _ = in.Stage.next()
	if d.Stage == StageDone {
		d.Action = ActionComplete
	}
	return d
}

// raiseCause tells why a move may go on to its next stage, or why not.
func raiseCause(in Input, d Decision) Cause {
	_, fraction := in.Stage.next()
	due := dueAfter(in.Complete, fraction)
	if in.Elapsed < due || in.AtStage < dueAfter(in.Complete, minStageTime) {
		return CausePace
	}
	if d.Worst.LogRatio > suspicion {
		return CauseSuspicion
	}
	if d.Results >= resultsToRaise {
		return CauseSound
	}
	latest := due + time.Duration(float64(in.Complete-due)*latestPart)
	if in.Elapsed >= latest && d.Results >= resultsAtDeadline {
		return CauseDeadline
	}
	return CauseEvidence
}

// resultsAtStage counts the new version's results since the stage began. The
// window in which it began does not count, unless it is still the present one.
func resultsAtStage(in Input) uint64 {
	sum := uint64(0)
	for _, route := range in.Evidence.Routes() {
		sum += in.Evidence.After(Arm{New: true, Route: route}, in.StageWindow).Results()
	}
	return sum
}

// compareAll runs all tests and returns the comparison that speaks most
// against the new version and by how much it exceeds its threshold; a negative
// excess is no verdict.
func compareAll(in Input) (Comparison, float64) {
	worst := Comparison{LogRatio: math.Inf(-1)}
	excess := math.Inf(-1)
	tests := float64(len(in.Evidence.Routes()) * len(measures))
	for _, route := range in.Evidence.Routes() {
		newArm, oldArm := Arm{New: true, Route: route}, Arm{Route: route}
		whole := span{fresh: in.Evidence.Total(newArm), old: in.Evidence.Total(oldArm)}
		threshold := -math.Log(falseVerdicts * wholeMoveShare / tests)
		worst, excess = whole.compare(route, whole.old, threshold, worst, excess)
		threshold = -math.Log(falseVerdicts * (1 - wholeMoveShare) / tests / windowsInMove)
		for back := uint64(1); back <= recentWindows && back <= in.Window; back *= 2 {
			start := in.Window - back
			recent := span{fresh: in.Evidence.After(newArm, start), old: in.Evidence.After(oldArm, start)}
			worst, excess = recent.compare(route, whole.old, threshold, worst, excess)
		}
	}
	return worst, excess
}

// span is what both versions did on one route over the same windows.
type span struct{ fresh, old Counts }

// compare runs the tests over one span and returns the worse of them and the
// worst one before.
func (s span) compare(route string, whole Counts, threshold float64, worst Comparison, excess float64) (Comparison, float64) {
	for _, m := range measures {
		c := Comparison{Route: route, Measure: m.name, New: m.sample(s.fresh), Old: m.sample(s.old)}
		if c.New.Hits == 0 {
			continue
		}
		c.Null = nullRate(c.Old, m.sample(whole), m.floor)
		c.LogRatio = logRatio(c.New, c.Null)
		if c.LogRatio-threshold > excess {
			worst, excess = c, c.LogRatio-threshold
		}
	}
	return worst, excess
}
