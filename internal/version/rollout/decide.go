package rollout

import (
	"math"
	"time"
)

// Parameters of the decision.
const (
	// falsePositiveRate bounds the probability that a healthy version is
	// rolled back.
	falsePositiveRate = 0.001
	// wholeMoveSignificanceShare is the share of falsePositiveRate that is
	// spent on the tests over the whole move. The rest is spent on the tests
	// over recent windows.
	wholeMoveSignificanceShare = 0.5
	// holdLogRatio is the log likelihood ratio above which a move is held at
	// its stage.
	holdLogRatio = 5
	// minResultsToRaise is the number of results that a stage needs before the
	// next one.
	minResultsToRaise = 40
	// minResultsNearDeadline is the number of results over the whole move that
	// is enough for the next stage once maxEvidenceWait has passed.
	minResultsNearDeadline = 5
	// maxEvidenceWait is how long a move may wait for evidence before its next
	// stage, as a fraction of the time from that stage's due time to the
	// move's deadline.
	maxEvidenceWait = 0.5
)

// Number and bounds of the windows in which evidence is counted.
const (
	windowsInMove = 256
	minWindow     = time.Second
	maxWindow     = time.Minute
)

// minStageFraction is the minimum time at a stage, as a fraction of the move's
// MaxDuration.
const minStageFraction = 0.01

// WindowLength returns the window length of a move with the given maximum
// duration.
func WindowLength(maxDuration time.Duration) time.Duration {
	return min(max(maxDuration/windowsInMove, minWindow), maxWindow)
}

// Input holds everything that a decision depends on.
type Input struct {
	// MaxDuration is the time that the move may take from its start.
	MaxDuration time.Duration
	Stage       Stage
	// Elapsed is the time since the move started, StageElapsed the time since
	// the current stage started.
	Elapsed, StageElapsed time.Duration
	// Window is the number of the current window, StageWindow that of the
	// window in which the stage started, or the one before for a new move.
	// Only results after StageWindow count for the stage.
	Window, StageWindow uint64
	Evidence            *Evidence
}

// sequentialTest describes one test and how to read its sample from counts.
type sequentialTest struct {
	measure Measure
	// minNullRate is a rate of hits that is always allowed.
	minNullRate float64
	// significanceShare is the test's share of the significance level.
	significanceShare float64
	sample            func(Counts) Sample
}

// sequentialTests are run for each route and for all routes together.
var sequentialTests = []sequentialTest{
	{MeasureFailed, 0.003, 0.5, func(c Counts) Sample { return Sample{c.Failed, c.Succeeded + c.Failed} }},
	{MeasureLost, 0.25, 0.1, func(c Counts) Sample { return Sample{c.Lost, c.Succeeded + c.Failed + c.Lost} }},
	{MeasureLateFirstToken, 0.03, 0.1, func(c Counts) Sample { return Sample{c.FirstToken.Late, c.FirstToken.Timed} }},
	{MeasureVeryLateFirstToken, 0.01, 0.1, func(c Counts) Sample { return Sample{c.FirstToken.VeryLate, c.FirstToken.Timed} }},
	{MeasureSlowTokens, 0.03, 0.1, func(c Counts) Sample { return Sample{c.PerToken.Late, c.PerToken.Timed} }},
	{MeasureVerySlowTokens, 0.01, 0.1, func(c Counts) Sample { return Sample{c.PerToken.VeryLate, c.PerToken.Timed} }},
}

// Decide returns the next step of a move.
func Decide(in Input) Decision {
	d := Decision{Action: ActionHold, Cause: CauseEnded, Stage: in.Stage, Elapsed: in.Elapsed}
	if in.Stage.IsFinal() {
		return d
	}
	c := newComparer(in)
	d.Worst = c.worst
	d.Results = resultsAtStage(in)
	if c.excess > 0 {
		d.Action, d.Cause, d.Stage = ActionRollBack, CauseRegression, StageRolledBack
		return d
	}
	d.Cause = raiseCause(in, d)
	if d.Cause != CauseHealthy && d.Cause != CauseDeadline {
		return d
	}
	d.Action = ActionRaise
	d.Stage, _ = in.Stage.next()
	if d.Stage == StageDone {
		d.Action = ActionComplete
	}
	return d
}

// raiseCause returns why a move may or may not go on to its next stage.
func raiseCause(in Input, d Decision) Cause {
	_, fraction := in.Stage.next()
	due := dueAfter(in.MaxDuration, fraction)
	if in.Elapsed < due || in.StageElapsed < dueAfter(in.MaxDuration, minStageFraction) {
		return CauseNotDue
	}
	if d.Worst.LogRatio > holdLogRatio {
		return CausePossibleRegression
	}
	if d.Results >= minResultsToRaise {
		return CauseHealthy
	}
	evidenceDeadline := due + time.Duration(float64(in.MaxDuration-due)*maxEvidenceWait)
	if in.Elapsed >= evidenceDeadline && resultsSinceMoveStart(in) >= minResultsNearDeadline {
		return CauseDeadline
	}
	return CauseTooFewResults
}

// resultsAtStage counts the new version's results after StageWindow.
func resultsAtStage(in Input) uint64 {
	sum := uint64(0)
	for _, route := range in.Evidence.Routes() {
		sum += in.Evidence.CountsAfter(Arm{New: true, Route: route}, in.StageWindow).Results()
	}
	return sum
}

// resultsSinceMoveStart counts the new version's results since the move
// started.
func resultsSinceMoveStart(in Input) uint64 {
	sum := uint64(0)
	for _, route := range in.Evidence.Routes() {
		sum += in.Evidence.Total(Arm{New: true, Route: route}).Results()
	}
	return sum
}

// comparer runs the tests and keeps the comparison with the strongest evidence
// against the new version.
type comparer struct {
	in Input
	// routeGroups is the number of groups that are tested: each route, and all
	// routes together.
	routeGroups float64
	worst       Comparison
	// excess is the amount by which the worst comparison exceeds its
	// threshold. The test is significant if it is positive.
	excess float64
}

// versionCounts holds the counts of both versions over the same time, on one
// route or on all.
type versionCounts struct{ newVersion, oldVersion Counts }

// plus adds the counts of another route.
func (v versionCounts) plus(other versionCounts) versionCounts {
	return versionCounts{newVersion: v.newVersion.plus(other.newVersion), oldVersion: v.oldVersion.plus(other.oldVersion)}
}

// newComparer runs all tests over the whole move and over recent windows.
func newComparer(in Input) *comparer {
	c := &comparer{in: in, worst: Comparison{LogRatio: math.Inf(-1)}, excess: math.Inf(-1)}
	c.routeGroups = float64(len(in.Evidence.Routes()) + 1)
	c.compare(in.Evidence.Total, falsePositiveRate*wholeMoveSignificanceShare/c.routeGroups)
	significance := falsePositiveRate * (1 - wholeMoveSignificanceShare) / c.routeGroups / windowsInMove
	for windowsBack := uint64(1); windowsBack <= recentWindows && windowsBack <= in.Window; windowsBack *= 2 {
		recent := func(arm Arm) Counts { return in.Evidence.CountsAfter(arm, in.Window-windowsBack) }
		c.compare(recent, significance)
	}
	return c
}

// compare runs the tests over one time span, for each route and for all routes
// together. The significance level bounds the probability of a false positive
// on each of these groups.
func (c *comparer) compare(counts func(Arm) Counts, significance float64) {
	all, allOfMove := versionCounts{}, Counts{}
	for _, route := range c.in.Evidence.Routes() {
		newVersion := counts(Arm{New: true, Route: route})
		if newVersion == (Counts{}) {
			continue
		}
		counted := versionCounts{newVersion: newVersion, oldVersion: counts(Arm{Route: route})}
		wholeMove := c.in.Evidence.Total(Arm{Route: route})
		c.test(route, counted, wholeMove, significance)
		all, allOfMove = all.plus(counted), allOfMove.plus(wholeMove)
	}
	c.test(AllRoutes, all, allOfMove, significance)
}

// test runs the tests over one time span on one route, or on all routes
// together.
func (c *comparer) test(route string, counted versionCounts, wholeMove Counts, significance float64) {
	for _, t := range sequentialTests {
		comparison := Comparison{
			Route:   route,
			Measure: t.measure,
			New:     t.sample(counted.newVersion),
			Old:     t.sample(counted.oldVersion),
		}
		comparison.NullRate = nullRate(comparison.Old, t.sample(wholeMove), t.minNullRate)
		if comparison.New.Rate() <= comparison.NullRate {
			continue
		}
		comparison.LogRatio = logLikelihoodRatio(comparison.New, comparison.NullRate)
		excess := comparison.LogRatio + math.Log(significance*t.significanceShare)
		if excess > c.excess {
			c.worst, c.excess = comparison, excess
		}
	}
}
