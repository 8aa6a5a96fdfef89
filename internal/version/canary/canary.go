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

// Results are what one host, or all, saw of one version since a move began.
type Results struct {
	_                 struct{} `cbor:",toarray"`
	Succeeded, Failed int
	// LogSlowdownSum is the sum of the logarithms of the times taken over the times
	// expected, of the good ones, and LogSlowdownSquareSum that of their squares.
	LogSlowdownSum, LogSlowdownSquareSum float64
}

func (c Results) add(other Results) Results {
	return Results{Succeeded: c.Succeeded + other.Succeeded, Failed: c.Failed + other.Failed, LogSlowdownSum: c.LogSlowdownSum + other.LogSlowdownSum, LogSlowdownSquareSum: c.LogSlowdownSquareSum + other.LogSlowdownSquareSum}
}

func (c Results) total() int { return c.Succeeded + c.Failed }

func (c Results) failureRate() float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Failed) / float64(c.total())
}

// meanLogSlowdown is the mean of the logarithms and the variance of that mean.
func (c Results) meanLogSlowdown() (mean, variance float64) {
	if c.Succeeded < 2 {
		return 0, 0
	}
	n := float64(c.Succeeded)
	mean = c.LogSlowdownSum / n
	return mean, max(c.LogSlowdownSquareSum/n-mean*mean, 0) / (n - 1)
}

// Evidence is what a host saw of both versions.
type Evidence struct {
	_        struct{} `cbor:",toarray"`
	New, Old Results
}

const (
	// trialShare is the part of the requests that the new version gets: half of
	// the least share that operators allow, which leaves room for the shift.
	trialShare = 0.05
	// trialBurst is the number of requests that all hosts together may send
	// beside that share; it lets hosts with few requests take part.
	trialBurst = 20.0
	// shiftDuration is how long all requests go to the new version before the old
	// one is let go, and endMargin how long before the order's time that is.
	shiftDuration    = 600 * time.Millisecond
	completionMargin = 500 * time.Millisecond
	// minTrialResults is how many results of the new version a move needs to be
	// done.
	minTrialResults = 12
	// minFailures is the number of failures from which a version can be bad.
	// It is, if there are more than so many deviations over what failuresTimes
	// the old version's share and failuresOver would give.
	minFailures       = 4
	failureRateFactor = 1.5
	failureRateMargin = 0.03
	// minLatencySamples and slowTimes say the same of slow answers: bad versions are
	// several times slower.
	minLatencySamples = 10
	slowdownFactor    = 2.0
	// minDeviations is how many standard minDeviations a verdict needs. Versions are
	// compared many times in a move, so that few would be exceeded by chance.
	minDeviations = 4.0
)

// Move is a move as one host sees it.
type Move struct {
	Order
	startedAt time.Time
	stage     Stage
	// requests counts this host's requests to the service, trials those of them
	// that the new version got.
	requests, trials int
	local            Evidence
	byHost           map[string]Evidence
}

// NewMove begins a move.
func NewMove(order Order, now time.Time) *Move {
	return &Move{Order: order, startedAt: now, stage: StageTrial, byHost: map[string]Evidence{}}
}

// Stage is how far the move has come.
func (m *Move) Stage() Stage { return m.stage }

// AdvanceTo takes a stage that is known from elsewhere and reports whether it is
// news.
func (m *Move) AdvanceTo(stage Stage) bool {
	if stage <= m.stage {
		return false
	}
	m.stage = stage
	return true
}

// AllowedVersions says which versions the next request may go to, with the number of hosts
// that share the move.
func (m *Move) AllowedVersions(hosts int) (newVersion, oldVersion bool) {
	switch m.stage {
	case StageShift, StageDone:
		return true, false
	case StageBad:
		return false, true
	}
	allowed := trialShare*float64(m.requests+1) + min(trialBurst/float64(max(hosts, 1)), 1)
	return float64(m.trials+1) <= allowed, true
}

// PrefersNewVersion reports whether the next request should go to the new version if
// it has room.
func (m *Move) PrefersNewVersion() bool {
	return m.stage == StageTrial && float64(m.trials) < trialShare*float64(m.requests+1)
}

// RecordSent notes that a request went to a version.
func (m *Move) RecordSent(version string) {
	m.requests++
	if version == m.Target {
		m.trials++
	}
}

// RecordResult notes how a request ended. The times are for good ones; an expected
// time of 0 leaves the time out.
func (m *Move) RecordResult(version string, succeeded bool, took, expected time.Duration) {
	counts := &m.local.Old
	if version == m.Target {
		counts = &m.local.New
	}
	if !succeeded {
		counts.Failed++
		return
	}
	counts.Succeeded++
	if took > 0 && expected > 0 {
		logSlowdown := math.Log(float64(took) / float64(expected))
		counts.LogSlowdownSum += logSlowdown
		counts.LogSlowdownSquareSum += logSlowdown * logSlowdown
	}
}

// LocalEvidence is what this host saw.
func (m *Move) LocalEvidence() Evidence { return m.local }

// SetHostEvidence takes in what another host has seen since the move began.
func (m *Move) SetHostEvidence(host string, evidence Evidence) { m.byHost[host] = evidence }

// TotalEvidence is what all hosts saw.
func (m *Move) TotalEvidence() Evidence {
	sum := m.local
	for _, other := range m.byHost {
		sum.New, sum.Old = sum.New.add(other.New), sum.Old.add(other.Old)
	}
	return sum
}

// Evaluate raises the stage as time and evidence tell, and reports whether it did.
func (m *Move) Evaluate(now time.Time) bool {
	if m.stage.IsFinal() {
		return false
	}
	all := m.TotalEvidence()
	if isBad(all) {
		return m.AdvanceTo(StageBad)
	}
	elapsed, end := now.Sub(m.startedAt), m.Duration-completionMargin
	if all.New.total() < minTrialResults {
		return false
	}
	switch {
	case elapsed >= end && m.stage == StageShift:
		return m.AdvanceTo(StageDone)
	case elapsed >= end-shiftDuration:
		return m.AdvanceTo(StageShift)
	}
	return false
}

// isBad compares the versions.
func isBad(e Evidence) bool {
	baseline := min(failureRateFactor*e.Old.failureRate()+failureRateMargin, 1)
	n := float64(e.New.total())
	if e.New.Failed >= minFailures && float64(e.New.Failed) > n*baseline+minDeviations*math.Sqrt(n*baseline*(1-baseline)) {
		return true
	}
	if e.New.Succeeded < minLatencySamples || e.Old.Succeeded < minLatencySamples {
		return false
	}
	newMean, newVariance := e.New.meanLogSlowdown()
	oldMean, oldVariance := e.Old.meanLogSlowdown()
	return newMean-oldMean > math.Log(slowdownFactor)+minDeviations*math.Sqrt(newVariance+oldVariance)
}
