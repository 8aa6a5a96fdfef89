package rollout

import "time"

// Stage is how far a version move has come. Stages merge by their maximum, so
// that a bad verdict beats every other stage. The zero stage is the first
// share.
type Stage uint32

// The stages beyond the shares.
const (
	// StageDone gives the new version all traffic; the old one is let go.
	StageDone Stage = 1 << 16
	// StageRolledBack gives the old version all traffic for good.
	StageRolledBack Stage = 1 << 17
)

// Fraction is a part of traffic in units of 1/fractionUnit.
type Fraction uint64

// fractionUnit is all traffic.
const fractionUnit Fraction = 1 << 32

// perMille gives a fraction from perMille of the traffic.
func perMille(n uint64) Fraction { return fractionUnit / 1000 * Fraction(n) }

// Float is the fraction as a number from 0 to 1.
func (f Fraction) Float() float64 { return float64(f) / float64(fractionUnit) }

// rampStep is one share of the ladder that a move climbs.
type rampStep struct {
	share Fraction
	// due is when the rung is reached, as a fraction of the move's time.
	due float64
}

// rampSteps holds the shares in order. The last one leaves the old version a
// small share as the control group of the watch at full load.
var rampSteps = []rampStep{
	{share: perMille(15), due: 0},
	{share: perMille(30), due: 0.20},
	{share: perMille(60), due: 0.35},
	{share: perMille(120), due: 0.45},
	{share: perMille(250), due: 0.55},
	{share: perMille(500), due: 0.65},
	{share: perMille(980), due: 0.75},
}

// completionDue is when a move is done, as a fraction of its time.
const completionDue = 0.92

// fullLoadStage is the stage of the watch at full load.
var fullLoadStage = Stage(len(rampSteps) - 1)

// Merge is the stage that follows from both.
func (s Stage) Merge(other Stage) Stage { return max(s, other) }

// IsFinal reports whether the move has ended.
func (s Stage) IsFinal() bool { return s >= StageDone }

// Share is the new version's part of the traffic.
func (s Stage) Share() Fraction {
	switch {
	case s >= StageRolledBack:
		return 0
	case s >= StageDone:
		return fractionUnit
	}
	return rampSteps[min(s, fullLoadStage)].share
}

// next is the stage after this one, and when it is due, as a fraction of the
// move's time.
func (s Stage) next() (Stage, float64) {
	if s >= fullLoadStage {
		return StageDone, completionDue
	}
	return s + 1, rampSteps[s+1].due
}

// String names the stage.
func (s Stage) String() string {
	switch {
	case s >= StageRolledBack:
		return "taken back"
	case s >= StageDone:
		return "done"
	case s == fullLoadStage:
		return "full load"
	}
	return "ramp"
}

// dueAfter is how long after its begin a move reaches a fraction of its time.
func dueAfter(maxDuration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(maxDuration) * fraction)
}
