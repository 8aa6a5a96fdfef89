package rollout

import (
	"fmt"
	"time"
)

// Action is what a decision does with a move.
type Action string

// Actions of a decision.
const (
	ActionHold     Action = "hold"
	ActionRaise    Action = "raise"
	ActionComplete Action = "complete"
	ActionRollBack Action = "take back"
)

// Cause is the reason for a decision.
type Cause string

// Causes of a decision.
const (
	// CauseNotDue holds a move whose next stage is not due yet.
	CauseNotDue Cause = "not due yet"
	// CauseTooFewResults holds a move whose new version has too few results.
	CauseTooFewResults Cause = "too few results"
	// CausePossibleRegression holds a move whose new version looks worse, but
	// not significantly.
	CausePossibleRegression Cause = "new version looks worse"
	// CauseHealthy raises or completes a move.
	CauseHealthy Cause = "new version is sound so far"
	// CauseDeadline raises a move with less evidence than usual because its
	// deadline is near.
	CauseDeadline Cause = "sound so far, and time runs out"
	// CauseRegression rolls a move back.
	CauseRegression Cause = "new version is worse"
	// CauseEnded holds a move that has ended.
	CauseEnded Cause = "move has ended"
)

// Measure is the quantity that a sequential test compares.
type Measure string

// Measures of the sequential tests.
const (
	MeasureFailed             Measure = "failed requests"
	MeasureLost               Measure = "lost endpoints"
	MeasureLateFirstToken     Measure = "late first tokens"
	MeasureVeryLateFirstToken Measure = "very late first tokens"
	MeasureSlowTokens         Measure = "slow answers"
	MeasureVerySlowTokens     Measure = "very slow answers"
)

// AllRoutes is the Route of a Comparison over all routes together.
const AllRoutes = "(all)"

// Comparison is the result of one sequential test of the new version.
type Comparison struct {
	Route   string  `json:"route"`
	Measure Measure `json:"measure"`
	New     Sample  `json:"new"`
	Old     Sample  `json:"old"`
	// NullRate is the rate that a healthy version may have.
	NullRate float64 `json:"null"`
	// LogRatio is the logarithm of the likelihood ratio against NullRate.
	LogRatio float64 `json:"-"`
}

// String describes the comparison for operators.
func (c Comparison) String() string {
	return fmt.Sprintf("route %s: %s %d of %d, old version %d of %d, allowed %.3f",
		c.Route, c.Measure, c.New.Hits, c.New.Trials, c.Old.Hits, c.Old.Trials, c.NullRate)
}

// Decision is the action to take on a move and the reason for it.
type Decision struct {
	Action Action
	Cause  Cause
	// Stage is the move's stage after the decision.
	Stage Stage
	// Elapsed is the time since the move started.
	Elapsed time.Duration
	// Results is the number of results of the new version at its current
	// stage.
	Results uint64
	// Worst is the comparison with the strongest evidence against the new
	// version. Its trials are zero if there was none.
	Worst Comparison
}

// String describes the decision for operators.
func (d Decision) String() string {
	text := fmt.Sprintf("%s after %s: %s", d.Action, d.Elapsed.Round(time.Second), d.Cause)
	if d.Action == ActionRollBack || d.Cause == CausePossibleRegression {
		return text + ": " + d.Worst.String()
	}
	return fmt.Sprintf("%s (%d results at this stage)", text, d.Results)
}
