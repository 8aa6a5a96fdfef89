package rollout

import (
	"fmt"
	"time"
)

// Action is what a decision does with a move.
type Action string

// The actions.
const (
	ActionHold     Action = "hold"
	ActionRaise    Action = "raise"
	ActionComplete Action = "complete"
	ActionRollBack Action = "take back"
)

// Cause is why a decision was taken.
type Cause string

// The causes.
const (
	// CauseNotDue holds a move that is not due yet.
	CauseNotDue Cause = "not due yet"
	// CauseTooFewResults holds a move whose new version has too few results.
	CauseTooFewResults Cause = "too few results"
	// CausePossibleRegression holds a move whose new version looks worse, not yet
	// surely.
	CausePossibleRegression Cause = "new version looks worse"
	// CauseHealthy raises or completes a move.
	CauseHealthy Cause = "new version is sound so far"
	// CauseDeadline raises a move with less evidence than usual, because its
	// time runs out.
	CauseDeadline Cause = "sound so far, and time runs out"
	// CauseRegression takes a move back.
	CauseRegression Cause = "new version is worse"
	// CauseEnded holds a move that has ended.
	CauseEnded Cause = "move has ended"
)

// Measure is what a sequential test compares.
type Measure string

// The measures.
const (
	MeasureFailed             Measure = "failed requests"
	MeasureLost               Measure = "lost endpoints"
	MeasureLateFirstToken     Measure = "late first tokens"
	MeasureVeryLateFirstToken Measure = "very late first tokens"
	MeasureSlowTokens         Measure = "slow answers"
	MeasureVerySlowTokens     Measure = "very slow answers"
)

// AllRoutes stands in a Comparison for all routes together.
const AllRoutes = "(all)"

// Comparison is one sequential test's view of the new version.
type Comparison struct {
	Route   string  `json:"route"`
	Measure Measure `json:"measure"`
	New     Sample  `json:"new"`
	Old     Sample  `json:"old"`
	// NullRate is the rate that a sound version may have.
	NullRate float64 `json:"null"`
	// LogRatio is the logarithm of the likelihood ratio against it.
	LogRatio float64 `json:"-"`
}

// String tells the comparison to operators.
func (c Comparison) String() string {
	return fmt.Sprintf("route %s: %s %d of %d, old version %d of %d, allowed %.3f",
		c.Route, c.Measure, c.New.Hits, c.New.Trials, c.Old.Hits, c.Old.Trials, c.NullRate)
}

// Decision is what to do with a move and why.
type Decision struct {
	Action Action
	Cause  Cause
	// Stage is the move's stage after the decision.
	Stage Stage
	// Elapsed is the time since the move's begin.
	Elapsed time.Duration
	// Results is how many results the new version has had at its stage.
	Results uint64
	// Worst is the comparison that speaks most against the new version; its
	// trials are zero if there was none.
	Worst Comparison
}

// String tells the decision to operators.
func (d Decision) String() string {
	text := fmt.Sprintf("%s after %s: %s", d.Action, d.Elapsed.Round(time.Second), d.Cause)
	if d.Action == ActionRollBack || d.Cause == CausePossibleRegression {
		return text + ": " + d.Worst.String()
	}
	return fmt.Sprintf("%s (%d results at this stage)", text, d.Results)
}
