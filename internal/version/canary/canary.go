// Package canary rolls a service over to another version of its endpoints and
// rolls it back if the new version is bad. It does no I/O, and the time is
// passed in.
//
// A new version may return errors or be slow, from the start or only later,
// while other endpoints fail or slow down for unrelated reasons. The new
// version receives a small share of the requests until shortly before the end
// of the ordered duration, so that its exposure stays bounded however late it
// turns bad. Each host enforces that share independently. The decision
// compares the results of both versions over the same period, summed over all
// hosts.
package canary

import (
	"math"
	"time"
)

// Order is the operator's order to move a service's requests to a target
// version.
type Order struct {
	Service, Target string
	// Duration is the time within which the move should be complete.
	Duration time.Duration
}

// Stage is the progress of a move. It never decreases.
type Stage uint8

// Stages of a move.
const (
	// StageTrial sends a small share of the requests to the new version.
	StageTrial Stage = iota + 1
	// StageShift sends all requests to the new version, while the old one
	// completes its running requests.
	StageShift
	// StageDone completes the move; the old version may be removed.
	StageDone
	// StageBad rolls back to the old version.
	StageBad
)

// String returns the stage's name in logs.
func (s Stage) String() string {
	return [...]string{"none", "trial", "shift", "done", "bad"}[s]
}

// IsFinal reports whether the move has ended.
func (s Stage) IsFinal() bool { return s >= StageDone }

// Results are the results of one version since the start of the move, on one
// host or on all.
type Results struct {
	_                 struct{} `cbor:",toarray"`
	Succeeded, Failed int
	// For the successful requests, LogSlowdownSum is the sum of ln(actual time
	// / expected time), and LogSlowdownSquareSum the sum of the squares.
	LogSlowdownSum, LogSlowdownSquareSum float64
	// Slowdowns counts the successful requests by their slowdown. Hosts send it
	// apart, because those of an earlier version expect four elements.
	Slowdowns Histogram `cbor:"-"`
}

func (c Results) add(other Results) Results {
	return Results{
		Succeeded: c.Succeeded + other.Succeeded, Failed: c.Failed + other.Failed,
		LogSlowdownSum: c.LogSlowdownSum + other.LogSlowdownSum, LogSlowdownSquareSum: c.LogSlowdownSquareSum + other.LogSlowdownSquareSum,
		Slowdowns: c.Slowdowns.add(other.Slowdowns),
	}
}

func (c Results) total() int { return c.Succeeded + c.Failed }

func (c Results) failureRate() float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Failed) / float64(c.total())
}

// meanLogSlowdown returns the mean logarithm of the slowdown and the variance
// of that mean.
func (c Results) meanLogSlowdown() (mean, variance float64) {
	if c.Succeeded < 2 {
		return 0, 0
	}
	n := float64(c.Succeeded)
	mean = c.LogSlowdownSum / n
	return mean, max(c.LogSlowdownSquareSum/n-mean*mean, 0) / (n - 1)
}

// Evidence is the results of both versions.
type Evidence struct {
	_        struct{} `cbor:",toarray"`
	New, Old Results
}

const (
	// trialShare is the share of requests that the new version receives during
	// the trial. It is half of the smallest share that operators allow, which
	// leaves room for the requests of StageShift.
	trialShare = 0.05
	// trialBurst is the number of requests that all hosts together may send to
	// the new version beyond that share. It lets hosts with few requests
	// contribute results.
	trialBurst = 20.0
	// shiftDuration is how long StageShift lasts.
	shiftDuration = 600 * time.Millisecond
	// StageDone follows completionShare of the ordered duration before its end,
	// within the limits below. Hosts see an order late when the log is
	// disturbed, and the report takes time too.
	completionShare     = 0.2
	minCompletionMargin = 500 * time.Millisecond
	maxCompletionMargin = 2500 * time.Millisecond
	// minTrialResults is the number of results of the new version that a move
	// needs to proceed beyond the trial.
	minTrialResults = 12
)

// Move is the state of a move on one host.
type Move struct {
	Order
	startedAt time.Time
	stage     Stage
	// isOldGone is set while the old version has no endpoints.
	isOldGone bool
	// requests counts this host's requests to the service, trials those of
	// them that went to the new version.
	requests, trials int
	loadTest         loadTest
	// local is the evidence of this host, byHost that of the others.
	local  Evidence
	byHost map[string]Evidence
}

// NewMove starts a move in StageTrial.
func NewMove(order Order, now time.Time) *Move {
	return &Move{Order: order, startedAt: now, stage: StageTrial, byHost: map[string]Evidence{}}
}

// Stage returns the current stage.
func (m *Move) Stage() Stage { return m.stage }

// AdvanceTo advances the move to a stage reported elsewhere and reports
// whether the stage changed.
func (m *Move) AdvanceTo(stage Stage) bool {
	if stage <= m.stage {
		return false
	}
	m.stage = stage
	return true
}

// SetOldGone sets whether the old version has no endpoints left. The platform removes
// them all once the move is completed, which a process that starts later may not find
// in the reports: there is nothing to compare with then, nor to roll back to.
func (m *Move) SetOldGone(isGone bool) { m.isOldGone = isGone }

// AllowedVersions returns which versions the next request may go to. hosts is
// the number of hosts that take part in the move.
func (m *Move) AllowedVersions(hosts int) (newVersion, oldVersion bool) {
	switch m.stage {
	case StageShift, StageDone:
		return true, false
	case StageBad:
		return false, true
	}
	if m.isOldGone {
		return true, true
	}
	if m.loadTest.isRunning {
		return m.loadTest.allowsTrial(), true
	}
	allowed := trialShare*float64(m.requests+1) + min(trialBurst/float64(max(hosts, 1)), 1)
	return float64(m.trials+1) <= allowed, true
}

// PrefersNewVersion reports whether the next request should go to the new
// version if that has capacity.
func (m *Move) PrefersNewVersion() bool {
	if m.IsLoadTest() {
		return m.loadTest.allowsTrial()
	}
	return m.stage == StageTrial && float64(m.trials) < trialShare*float64(m.requests+1)
}

// RecordSent records that a request was sent to a version.
func (m *Move) RecordSent(version string) {
	m.requests++
	m.loadTest.requests++
	if version == m.Target {
		m.trials++
		m.loadTest.trials++
	}
}

// RecordResult records the result of a request. The times apply to successful
// requests; if one of them is 0, the latency is ignored.
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
		counts.Slowdowns.record(logSlowdown)
	}
}

// LocalEvidence returns the results on this host.
func (m *Move) LocalEvidence() Evidence { return m.local }

// SetHostEvidence replaces the results on another host since the start of the
// move.
func (m *Move) SetHostEvidence(host string, evidence Evidence) { m.byHost[host] = evidence }

// TotalEvidence returns the results on all hosts.
func (m *Move) TotalEvidence() Evidence {
	sum := m.local
	for _, other := range m.byHost {
		sum.New, sum.Old = sum.New.add(other.New), sum.Old.add(other.Old)
	}
	return sum
}

// Evaluate advances the stage according to the elapsed time and the evidence,
// and reports whether it changed.
func (m *Move) Evaluate(now time.Time) bool {
	if m.stage.IsFinal() {
		return false
	}
	all := m.TotalEvidence()
	if m.looksBad(all, atAnyTime) {
		return m.AdvanceTo(StageBad)
	}
	m.updateLoadTest(all, now)
	next, isDue := m.dueStage(now.Sub(m.startedAt))
	if !isDue || all.New.total() < minTrialResults {
		return false
	}
	if m.looksBad(all, whenDue) {
		return m.AdvanceTo(StageBad)
	}
	return m.AdvanceTo(next)
}

// dueStage returns the stage that a sound version reaches after the elapsed time.
func (m *Move) dueStage(elapsed time.Duration) (stage Stage, isDue bool) {
	end := m.Duration - completionMargin(m.Duration)
	switch {
	case elapsed >= end && m.stage == StageShift:
		return StageDone, true
	case elapsed >= end-shiftDuration && m.stage < StageShift:
		return StageShift, true
	}
	return m.stage, false
}

// completionMargin returns how long before the end of the ordered duration a move
// is completed.
func completionMargin(duration time.Duration) time.Duration {
	share := time.Duration(completionShare * float64(duration))
	return min(max(share, minCompletionMargin), maxCompletionMargin)
}
