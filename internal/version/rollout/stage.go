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
	// StageBad gives the old version all traffic for good.
	StageBad Stage = 1 << 17
)

// Fraction is a part of traffic in units of 1/fractionUnit.
type Fraction uint64

// fractionUnit is all traffic.
const fractionUnit Fraction = 1 << 32

// thousandths gives a fraction from thousandths of the traffic.
func thousandths(n uint64) Fraction { return fractionUnit / 1000 * Fraction(n) }

// Float is the fraction as a number from 0 to 1.
func (f Fraction) Float() float64 { return float64(f) / float64(fractionUnit) }

// rung is one share of the ladder that a move climbs.
type rung struct {
	share Fraction
	// due is when the rung is reached, as a fraction of the move's time.
	due float64
}

// ladder holds the shares in order. The last one leaves the old version a
// small share as the control group of the watch at full load.
var ladder = []rung{
	{share: thousandths(15), due: 0},
	{share: thousandths(30), due: 0.20},
	{share: thousandths(60), due: 0.35},
	{share: thousandths(120), due: 0.45},
	{share: thousandths(250), due: 0.55},
	{share: thousandths(500), due: 0.65},
	{share: thousandths(980), due: 0.75},
}

// dueDone is when a move is done, as a fraction of its time.
const dueDone = 0.92

// lastRung is the stage of the watch at full load.
var lastRung = Stage(len(ladder) - 1)

// Merge is the stage that follows from both.
func (s Stage) Merge(other Stage) Stage { return max(s, other) }

// IsFinal reports whether the move has ended.
func (s Stage) IsFinal() bool { return s >= StageDone }

// Share is the new version's part of the traffic.
func (s Stage) Share() Fraction {
	switch {
	case s >= StageBad:
		return 0
	case s >= StageDone:
		return fractionUnit
	}
	return ladder[min(s, lastRung)].share
}

// next is the stage after this one, and when it is due, as a fraction of the
// move's time.
func (s Stage) next() (Stage, float64) {
	if s >= lastRung {
		return StageDone, dueDone
	}
	return s + 1, ladder[s+1].due
}

// String names the stage.
func (s Stage) String() string {
	switch {
	case s >= StageBad:
		return "taken back"
	case s >= StageDone:
		return "done"
	case s == lastRung:
		return "full load"
	}
	return "ramp"
}

// dueAfter is how long after its begin a move reaches a fraction of its time.
func dueAfter(complete time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(complete) * fraction)
}
