package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/pause"
)

// KindEvidence is the kind of mesh messages that carry a list of Delta.
const KindEvidence mesh.Kind = "rollout.evidence"

// Intervals and timeouts of the controller.
const (
	// stepInterval is the time between two steps unless a failure wakes the
	// controller earlier.
	stepInterval = 250 * time.Millisecond
	// sendInterval is the minimum time between two broadcasts unless the new
	// version failed.
	sendInterval = 200 * time.Millisecond
	// wakeDelay is the time between a wakeup and the step, in which further
	// failures are batched.
	wakeDelay = 20 * time.Millisecond
	// refreshInterval is the time between two broadcasts of all counters,
	// which make up for lost messages.
	refreshInterval = 2 * time.Second
	// announceDuration is how long a new stage is broadcast repeatedly.
	announceDuration = 3 * time.Second
	// proposeInterval is the minimum time between two proposals of a stage by
	// one host.
	proposeInterval = time.Second
	// proposeJitter spreads the proposals of a raise across hosts, because one
	// of them is enough.
	proposeJitter    = 2 * time.Second
	broadcastTimeout = time.Second
	proposeTimeout   = 5 * time.Second
)

// StepOutput holds what a step asks to be sent.
type StepOutput struct {
	Deltas    []Delta
	Proposals []Proposal
}

// Step reads this host's counters, decides on all moves and returns what is to
// be sent. Run calls it; tests may call it directly.
func (c *Controller) Step(now time.Time) StepOutput {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out StepOutput
	for _, m := range c.table.Load().moves {
		reports := []Report(nil)
		if !Stage(m.stage.Load()).IsFinal() {
			reports = c.collectReports(m, now)
			c.decide(m, now)
		}
		if len(reports) > 0 || now.Before(m.announceUntil) {
			delta := Delta{Move: m.move.MoveID, Stage: Stage(m.stage.Load()), Reason: m.reason, Reports: reports}
			out.Deltas = append(out.Deltas, delta)
		}
		if proposal, due := c.dueProposal(m, now); due {
			out.Proposals = append(out.Proposals, proposal)
		}
	}
	return out
}

// collectReports merges this host's counters into the evidence and returns the
// reports to send to other hosts now.
func (c *Controller) collectReports(m *moveState, now time.Time) []Report {
	refresh := now.Sub(m.refreshedAt) >= refreshInterval
	send := refresh || m.hasUnsentFailure.Swap(false) || now.Sub(m.sentAt) >= sendInterval
	var reports []Report
	for name, route := range *m.routes.Load() {
		for _, report := range c.collectRoute(m, name, route, now) {
			if !refresh {
				report.FirstToken, report.PerToken = nil, nil
			}
			if refresh || report.Counts != m.lastSent[report.Arm] {
				reports = append(reports, report)
			}
		}
	}
	if !send {
		return nil
	}
	m.sentAt = now
	for _, report := range reports {
		m.lastSent[report.Arm] = report.Counts
	}
	if refresh {
		m.refreshedAt = now
	}
	m.setLimits(refresh)
	return reports
}

// collectRoute merges this host's counters of one route into the evidence and
// returns the nonzero ones.
func (c *Controller) collectRoute(m *moveState, name string, route *routeState, now time.Time) []Report {
	var reports []Report
	for _, arm := range []Arm{{New: true, Route: name}, {Route: name}} {
		counters := &route.oldArm
		if arm.New {
			counters = &route.newArm
		}
		report := Report{Host: c.config.Self, Arm: arm, Window: m.windowAt(now), Counts: counters.read()}
		if report.Counts == (Counts{}) {
			continue
		}
		report.FirstToken = counters.firstToken.histogram()
		report.PerToken = counters.perToken.histogram()
		c.merge(m, report)
		reports = append(reports, report)
	}
	return reports
}

// setLimits sets the slowdowns above which requests are late. With renew it
// also replaces limits that are already set.
func (m *moveState) setLimits(renew bool) {
	for name, route := range *m.routes.Load() {
		old := Arm{Route: name}
		if renew || route.firstTokenLimit.load() == 0 {
			route.firstTokenLimit.store(lateLimit(m.evidence.FirstToken(old)))
		}
		if renew || route.perTokenLimit.load() == 0 {
			route.perTokenLimit.store(lateLimit(m.evidence.PerToken(old)))
		}
	}
}

// lateLimit returns the slowdown above which a request is late, or zero if
// there are too few timings of the old version.
func lateLimit(old *Histogram) float64 {
	if old.Count() < minTimingsForLimit {
		return 0
	}
	return lateFactor * old.Quantile(baselineQuantile)
}

// decide decides on a move and adopts the resulting stage.
func (c *Controller) decide(m *moveState, now time.Time) {
	decision := Decide(Input{
		MaxDuration:  m.move.MaxDuration,
		Stage:        Stage(m.stage.Load()),
		Elapsed:      now.Sub(m.move.Began),
		StageElapsed: now.Sub(m.stageSince),
		Window:       m.windowAt(now),
		StageWindow:  m.stageWindow,
		Evidence:     m.evidence,
	})
	c.adoptStage(m, decision.Stage, decision.String(), now)
	if decision.Elapsed >= m.move.MaxDuration {
		c.reportDeadlineExceeded(m, decision)
	}
}

// reportDeadlineExceeded notifies, once, that a move has not ended by its
// deadline.
func (c *Controller) reportDeadlineExceeded(m *moveState, decision Decision) {
	if m.deadlineExceeded || decision.Stage.IsFinal() {
		return
	}
	m.deadlineExceeded = true
	c.counters.deadlineExceeded.Inc(1)
	c.config.Notify(Event{
		Move:             m.move.MoveID,
		Stage:            decision.Stage,
		DeadlineExceeded: true,
		Share:            decision.Stage.Share().Float(),
		Reason:           "overdue: " + decision.String(),
	})
}

// dueProposal returns the stage that the configuration does not have yet, if
// it is time to propose it. A rollback is proposed immediately, other stages
// after a delay that differs between hosts.
func (c *Controller) dueProposal(m *moveState, now time.Time) (Proposal, bool) {
	stage := Stage(m.stage.Load())
	if c.config.Proposer == nil || stage <= m.configStage {
		return Proposal{}, false
	}
	wait := time.Duration(0)
	if stage < StageRolledBack {
		wait = time.Duration(phaseOf(c.config.Self, m.reason).Float() * float64(proposeJitter))
	}
	if now.Before(m.stageSince.Add(wait)) || now.Before(m.proposedAt.Add(proposeInterval)) {
		return Proposal{}, false
	}
	m.proposedAt = now
	return Proposal{Move: m.move.MoveID, Stage: stage, Reason: m.reason}, true
}

// merge adds a report to the evidence.
func (c *Controller) merge(m *moveState, report Report) {
	if err := m.evidence.Merge(report); err != nil {
		c.counters.reportsRefused.Inc(1)
	}
}

// Merge adds the deltas of another host. Deltas of moves that this host does
// not know are dropped; later broadcasts repeat them.
func (c *Controller) Merge(from identity.Incarnation, deltas []Delta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	for _, delta := range deltas {
		m := c.table.Load().moves[delta.Move.Service]
		if m == nil || m.move.MoveID != delta.Move {
			continue
		}
		hasNewFailures := false
		for _, report := range delta.Reports {
			report.Host = from
			hasNewFailures = m.hasNewFailures(report) || hasNewFailures
			c.merge(m, report)
		}
		c.adoptStage(m, delta.Stage, delta.Reason, now)
		if hasNewFailures {
			c.wake()
		}
	}
}

// hasNewFailures reports whether a report counts failures of the new version
// that this host does not know.
func (m *moveState) hasNewFailures(report Report) bool {
	known := m.evidence.latest(report.Arm, report.Host)
	return report.Arm.New && (report.Counts.Failed > known.Failed || report.Counts.Lost > known.Lost)
}

// HandleEvidence is the mesh handler of KindEvidence.
func (c *Controller) HandleEvidence(_ context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error) {
	var deltas []Delta
	if err := cbor.Unmarshal(body, &deltas); err != nil {
		return nil, eris.Wrap(err, "decode deltas")
	}
	c.Merge(from, deltas)
	return struct{}{}, nil
}

// Run executes steps until the context ends, then waits for pending broadcasts
// and proposals.
func (c *Controller) Run(ctx context.Context) error {
	var sending sync.WaitGroup
	defer sending.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.wakeups:
			if !pause.For(ctx, wakeDelay) {
				return nil
			}
		}
		c.send(ctx, &sending, c.Step(c.config.Now()))
	}
}

// send starts the broadcasts and proposals of a step without waiting for them.
func (c *Controller) send(ctx context.Context, sending *sync.WaitGroup, out StepOutput) {
	if len(out.Deltas) > 0 && c.config.Exchange != nil {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
			defer cancel()
			c.config.Exchange.Broadcast(ctx, out.Deltas)
		})
	}
	for _, proposal := range out.Proposals {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			if err := c.config.Proposer.Propose(ctx, proposal); err != nil {
				c.counters.proposeFailed.Inc(1)
			}
		})
	}
}
