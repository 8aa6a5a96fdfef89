// Package canary moves a service to another version of its endpoints and takes
// the version back if it is bad. It is pure: the time is passed in.
//
// The load that it answers: a version whose answers fail or are slow, from the
// start or later, among endpoints that fail and slow down for other reasons. A
// new version gets a small part of the requests until the order's time is
// nearly over, so that the bound on its share holds however late it turns bad;
// each host keeps to the part on its own. What all hosts see of both versions
// in the same time is compared.
package canary

import (
	"math"
	"time"
)

// Order asks for a service's requests to move to a version.
type Order struct {
	Service, Target string
	// Duration is the time in which the move should be done.
	Duration time.Duration
}

// Stage is how far a move has come. Stages only rise.
type Stage uint8

// The stages.
const (
	// StageTrial gives the new version a small part of the requests.
	StageTrial Stage = iota + 1
	// StageShift gives it all of them; the old one ends what it has.
	StageShift
	// StageDone lets the old version go.
	StageDone
	// StageBad takes the new version back.
	StageBad
)

// String names the stage for logs.
func (s Stage) String() string {
	return [...]string{"none", "trial", "shift", "done", "bad"}[s]
}

// IsFinal reports whether the move has ended.
func (s Stage) IsFinal() bool { return s >= StageDone }

// Counts are what one host, or all, saw of one version since a move began.
type Counts struct {
	_            struct{} `cbor:",toarray"`
	Good, Failed int
	// Slowness is the sum of the logarithms of the times taken over the times
	// expected, of the good ones, and Squares that of their squares.
	Slowness, Squares float64
}

func (c Counts) plus(other Counts) Counts {
	return Counts{Good: c.Good + other.Good, Failed: c.Failed + other.Failed, Slowness: c.Slowness + other.Slowness, Squares: c.Squares + other.Squares}
}

func (c Counts) all() int { return c.Good + c.Failed }

func (c Counts) failedShare() float64 {
	if c.all() == 0 {
		return 0
	}
	return float64(c.Failed) / float64(c.all())
}

// slowness is the mean of the logarithms and the variance of that mean.
func (c Counts) slowness() (mean, variance float64) {
	if c.Good < 2 {
		return 0, 0
	}
	n := float64(c.Good)
	mean = c.Slowness / n
	return mean, max(c.Squares/n-mean*mean, 0) / (n - 1)
}

// Evidence is what a host saw of both versions.
type Evidence struct {
	_        struct{} `cbor:",toarray"`
	New, Old Counts
}

const (
	// trialShare is the part of the requests that the new version gets: half of
	// the least share that operators allow, which leaves room for the shift.
	trialShare = 0.05
	// freeTrials is the number of requests that all hosts together may send
	// beside that share; it lets hosts with few requests take part.
	freeTrials = 20.0
	// shiftTime is how long all requests go to the new version before the old
	// one is let go, and endMargin how long before the order's time that is.
	shiftTime = 600 * time.Millisecond
	endMargin = 500 * time.Millisecond
	// leastTrials is how many results of the new version a move needs to be
	// done.
	leastTrials = 12
	// leastFailures is the number of failures from which a version can be bad.
	// It is, if there are more than so many deviations over what failuresTimes
	// the old version's share and failuresOver would give.
	leastFailures = 4
	failuresTimes = 1.5
	failuresOver  = 0.03
	// leastSlow and slowTimes say the same of slow answers: bad versions are
	// several times slower.
	leastSlow = 10
	slowTimes = 2.0
	// deviations is how many standard deviations a verdict needs. Versions are
	// compared many times in a move, so that few would be exceeded by chance.
	deviations = 4.0
)

// Move is a move as one host sees it.
type Move struct {
	Order
	begun time.Time
	stage Stage
	// asked counts this host's requests to the service, tried those of them
	// that the new version got.
	asked, tried int
	own          Evidence
	others       map[string]Evidence
}

// NewMove begins a move.
func NewMove(order Order, now time.Time) *Move {
	return &Move{Order: order, begun: now, stage: StageTrial, others: map[string]Evidence{}}
}

// Stage is how far the move has come.
func (m *Move) Stage() Stage { return m.stage }

// Raise takes a stage that is known from elsewhere and reports whether it is
// news.
func (m *Move) Raise(stage Stage) bool {
	if stage <= m.stage {
		return false
	}
	m.stage = stage
	return true
}

// Gate says which versions the next request may go to, with the number of hosts
// that share the move.
func (m *Move) Gate(hosts int) (newVersion, oldVersion bool) {
	switch m.stage {
	case StageShift, StageDone:
		return true, false
	case StageBad:
		return false, true
	}
	allowed := trialShare*float64(m.asked+1) + min(freeTrials/float64(max(hosts, 1)), 1)
	return float64(m.tried+1) <= allowed, true
}

// WantsTrial reports whether the next request should go to the new version if
// it has room.
func (m *Move) WantsTrial() bool {
	return m.stage == StageTrial && float64(m.tried) < trialShare*float64(m.asked+1)
}

// Sent notes that a request went to a version.
func (m *Move) Sent(version string) {
	m.asked++
	if version == m.Target {
		m.tried++
	}
}

// Result notes how a request ended. The times are for good ones; an expected
// time of 0 leaves the time out.
func (m *Move) Result(version string, good bool, took, expected time.Duration) {
	counts := &m.own.Old
	if version == m.Target {
		counts = &m.own.New
	}
	if !good {
		counts.Failed++
		return
	}
	counts.Good++
	if took > 0 && expected > 0 {
		slowness := math.Log(float64(took) / float64(expected))
		counts.Slowness += slowness
		counts.Squares += slowness * slowness
	}
}

// Own is what this host saw.
func (m *Move) Own() Evidence { return m.own }

// Hear takes in what another host has seen since the move began.
func (m *Move) Hear(host string, evidence Evidence) { m.others[host] = evidence }

// All is what all hosts saw.
func (m *Move) All() Evidence {
	sum := m.own
	for _, other := range m.others {
		sum.New, sum.Old = sum.New.plus(other.New), sum.Old.plus(other.Old)
	}
	return sum
}

// Judge raises the stage as time and evidence tell, and reports whether it did.
func (m *Move) Judge(now time.Time) bool {
	if m.stage.IsFinal() {
		return false
	}
	all := m.All()
	if isBad(all) {
		return m.Raise(StageBad)
	}
	elapsed, end := now.Sub(m.begun), m.Duration-endMargin
	if all.New.all() < leastTrials {
		return false
	}
	switch {
	case elapsed >= end && m.stage == StageShift:
		return m.Raise(StageDone)
	case elapsed >= end-shiftTime:
		return m.Raise(StageShift)
	}
	return false
}

// isBad compares the versions.
func isBad(e Evidence) bool {
	usual := min(failuresTimes*e.Old.failedShare()+failuresOver, 1)
	n := float64(e.New.all())
	if e.New.Failed >= leastFailures && float64(e.New.Failed) > n*usual+deviations*math.Sqrt(n*usual*(1-usual)) {
		return true
	}
	if e.New.Good < leastSlow || e.Old.Good < leastSlow {
		return false
	}
	fresh, freshVariance := e.New.slowness()
	old, oldVariance := e.Old.slowness()
	return fresh-old > math.Log(slowTimes)+deviations*math.Sqrt(freshVariance+oldVariance)
}
