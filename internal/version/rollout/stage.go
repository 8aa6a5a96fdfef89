package rollout

import "time"

// Stage is the progress of a version move. Stages merge by their maximum, so a
// rollback overrides every other stage. The zero value is the first share of
// the ramp.
type Stage uint32

// Final stages.
const (
	// StageDone gives the new version all traffic. The old version gets no
	// more requests.
	StageDone Stage = 1 << 16
	// StageRolledBack gives the old version all traffic permanently.
	StageRolledBack Stage = 1 << 17
)

// Fraction is a share of traffic in units of 1/fractionUnit.
type Fraction uint64

// fractionUnit is the Fraction of all traffic.
const fractionUnit Fraction = 1 << 32

// perMille returns the fraction n/1000.
func perMille(n uint64) Fraction { return fractionUnit / 1000 * Fraction(n) }

// Float returns the fraction as a number from 0 to 1.
func (f Fraction) Float() float64 { return float64(f) / float64(fractionUnit) }

// rampStep is one traffic share of the ramp.
type rampStep struct {
	share Fraction
	// due is the time at which the step starts, as a fraction of the move's
	// MaxDuration.
	due float64
}

// rampSteps holds the shares in ascending order. The last one leaves the old
// version a small share as the control group while the new version is observed
// at full load.
var rampSteps = []rampStep{
	{share: perMille(15), due: 0},
	{share: perMille(30), due: 0.20},
	{share: perMille(60), due: 0.35},
	{share: perMille(120), due: 0.45},
	{share: perMille(250), due: 0.55},
	{share: perMille(500), due: 0.65},
	{share: perMille(980), due: 0.75},
}

// completionDue is the time at which a move completes, as a fraction of its
// MaxDuration.
const completionDue = 0.92

// fullLoadStage is the stage at which the new version is observed at full
// load.
var fullLoadStage = Stage(len(rampSteps) - 1)

// Merge returns the higher of two stages.
func (s Stage) Merge(other Stage) Stage { return max(s, other) }

// IsFinal reports whether the move has ended.
func (s Stage) IsFinal() bool { return s >= StageDone }

// Share returns the new version's share of the traffic.
func (s Stage) Share() Fraction {
	switch {
	case s >= StageRolledBack:
		return 0
	case s >= StageDone:
		return fractionUnit
	}
	return rampSteps[min(s, fullLoadStage)].share
}

// next returns the next stage and its due time, as a fraction of the move's
// MaxDuration.
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

// dueAfter returns the time that is the given fraction of a move's maximum
// duration.
func dueAfter(maxDuration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(maxDuration) * fraction)
}
