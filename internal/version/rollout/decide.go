package rollout

import (
	"math"
	"time"
)

// Parameters of the decision.
const (
	// falseVerdicts bounds the chance that a sound version is taken back.
	falseVerdicts = 0.001
	// wholeMoveShare is the part of falseVerdicts for the tests over the whole
	// move; the rest is for those over recent windows.
	wholeMoveShare = 0.5
	// suspicion is the log likelihood ratio from which a move is held.
	suspicion = 5
	// resultsToRaise is how many results a stage needs before the next one.
	resultsToRaise = 40
	// resultsAtDeadline is enough, counted over the whole move, when the
	// move's time runs out.
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
	floor float64
	// weight is the test's part of falseVerdicts.
	weight float64
	sample func(Counts) Sample
}

// measures are the sequential tests of each route.
var measures = []measure{
	{MeasureFailed, 0.003, 0.5, func(c Counts) Sample { return Sample{c.Failed, c.Succeeded + c.Failed} }},
	{MeasureLost, 0.25, 0.1, func(c Counts) Sample { return Sample{c.Lost, c.Succeeded + c.Failed + c.Lost} }},
	{MeasureLateFirstToken, 0.03, 0.1, func(c Counts) Sample { return Sample{c.FirstToken.Late, c.FirstToken.Timed} }},
	{MeasureVeryLateFirstToken, 0.01, 0.1, func(c Counts) Sample { return Sample{c.FirstToken.VeryLate, c.FirstToken.Timed} }},
	{MeasureSlowTokens, 0.03, 0.1, func(c Counts) Sample { return Sample{c.PerToken.Late, c.PerToken.Timed} }},
	{MeasureVerySlowTokens, 0.01, 0.1, func(c Counts) Sample { return Sample{c.PerToken.VeryLate, c.PerToken.Timed} }},
}

// Decide judges a move.
func Decide(in Input) Decision {
	d := Decision{Action: ActionHold, Cause: CauseEnded, Stage: in.Stage, Elapsed: in.Elapsed}
	if in.Stage.IsFinal() {
		return d
	}
	c := newComparer(in)
	d.Worst = c.worst
	d.Results = resultsAtStage(in)
	if c.excess > 0 {
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
	if in.Elapsed >= latest && resultsInAll(in) >= resultsAtDeadline {
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

// resultsInAll counts the new version's results since the move began.
func resultsInAll(in Input) uint64 {
	sum := uint64(0)
	for _, route := range in.Evidence.Routes() {
		sum += in.Evidence.Total(Arm{New: true, Route: route}).Results()
	}
	return sum
}

// comparer runs the tests and keeps the comparison that speaks most against
// the new version.
type comparer struct {
	in Input
	// spans is the number of routes that are tested, with that for all routes.
	spans float64
	worst Comparison
	// excess is by how much the worst comparison exceeds its threshold; a
	// negative excess is no verdict.
	excess float64
}

// span is what both versions did on one route, or on all, over the same time.
type span struct{ fresh, old Counts }

// plus adds what they did on another route.
func (s span) plus(other span) span {
	return span{fresh: s.fresh.plus(other.fresh), old: s.old.plus(other.old)}
}

// newComparer runs all tests over the whole move and over recent windows.
func newComparer(in Input) *comparer {
	c := &comparer{in: in, worst: Comparison{LogRatio: math.Inf(-1)}, excess: math.Inf(-1)}
	c.spans = float64(len(in.Evidence.Routes()) + 1)
	c.compare(in.Evidence.Total, falseVerdicts*wholeMoveShare/c.spans)
	chance := falseVerdicts * (1 - wholeMoveShare) / c.spans / windowsInMove
	for back := uint64(1); back <= recentWindows && back <= in.Window; back *= 2 {
		recent := func(arm Arm) Counts { return in.Evidence.After(arm, in.Window-back) }
		c.compare(recent, chance)
	}
	return c
}

// compare runs the tests over one span of time, for each route and for all.
// The chance of a false verdict on one route is bounded by chance.
func (c *comparer) compare(counts func(Arm) Counts, chance float64) {
	all, allWhole := span{}, Counts{}
	for _, route := range c.in.Evidence.Routes() {
		fresh := counts(Arm{New: true, Route: route})
		if fresh == (Counts{}) {
			continue
		}
		s := span{fresh: fresh, old: counts(Arm{Route: route})}
		whole := c.in.Evidence.Total(Arm{Route: route})
		c.test(route, s, whole, chance)
		all, allWhole = all.plus(s), allWhole.plus(whole)
	}
	c.test(AllRoutes, all, allWhole, chance)
}

// test runs the tests over one span of time on one route, or on all.
func (c *comparer) test(route string, s span, whole Counts, chance float64) {
	for _, m := range measures {
		one := Comparison{Route: route, Measure: m.name, New: m.sample(s.fresh), Old: m.sample(s.old)}
		one.Null = nullRate(one.Old, m.sample(whole), m.floor)
		if one.New.Rate() <= one.Null {
			continue
		}
		one.LogRatio = logRatio(one.New, one.Null)
		excess := one.LogRatio + math.Log(chance*m.weight)
		if excess > c.excess {
			c.worst, c.excess = one, excess
		}
	}
}
