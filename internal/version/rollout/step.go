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

// KindEvidence is the mesh message that carries a list of Delta.
const KindEvidence mesh.Kind = "rollout.evidence"

// Intervals of the judge's work.
const (
	// stepInterval is the time between two steps without news.
	stepInterval = 250 * time.Millisecond
	// sendInterval is the least time between two sendings without news.
	sendInterval = 200 * time.Millisecond
	// wakeDelay gathers news before a step.
	wakeDelay = 20 * time.Millisecond
	// refreshInterval is the time between two sendings of all counters, which
	// make good for lost messages.
	refreshInterval = 2 * time.Second
	// announceTime is how long a new stage is sent again and again.
	announceTime = 3 * time.Second
	// proposeInterval is the time between two tries to propose a verdict.
	proposeInterval = time.Second
	// proposeSpread spreads the hosts' proposals of a raise, of which one is
	// enough.
	proposeSpread = 2 * time.Second
	// broadcastTimeout bounds one broadcast.
	broadcastTimeout = time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
)

// Output is what a step asks to be sent.
type Output struct {
	Deltas   []Delta
	Verdicts []Verdict
}

// Step reads this host's counters, judges all moves and returns what is to be
// sent. Run calls it; tests may call it themselves.
func (j *Judge) Step(now time.Time) Output {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out Output
	for _, m := range j.table.Load().moves {
		cells := []Cell(nil)
		if !Stage(m.stage.Load()).IsFinal() {
			cells = j.observe(m, now)
			j.judge(m, now)
		}
		if len(cells) > 0 || now.Before(m.announceTo) {
			delta := Delta{Move: m.move.MoveID, Stage: Stage(m.stage.Load()), Reason: m.reason, Cells: cells}
			out.Deltas = append(out.Deltas, delta)
		}
		if verdict, due := j.propose(m, now); due {
			out.Verdicts = append(out.Verdicts, verdict)
		}
	}
	return out
}

// observe merges this host's counters into the evidence and returns the cells
// that other hosts need now.
func (j *Judge) observe(m *moveState, now time.Time) []Cell {
	refresh := now.Sub(m.refreshedAt) >= refreshInterval
	send := refresh || m.hasNews.Swap(false) || now.Sub(m.sentAt) >= sendInterval
	var cells []Cell
	for name, route := range *m.routes.Load() {
		for _, cell := range j.readRoute(m, name, route, now) {
			if !refresh {
				cell.FirstToken, cell.PerToken = nil, nil
			}
			if refresh || cell.Counts != m.sent[cell.Arm] {
				cells = append(cells, cell)
			}
		}
	}
	if !send {
		return nil
	}
	m.sentAt = now
	for _, cell := range cells {
		m.sent[cell.Arm] = cell.Counts
	}
	if refresh {
		m.refreshedAt = now
	}
	m.setLimits(refresh)
	return cells
}

// readRoute merges this host's counters of one route into the evidence and
// returns them, without those that are zero.
func (j *Judge) readRoute(m *moveState, name string, route *routeState, now time.Time) []Cell {
	var cells []Cell
	for _, arm := range []Arm{{New: true, Route: name}, {Route: name}} {
		counter := &route.old
		if arm.New {
			counter = &route.fresh
		}
		cell := Cell{Host: j.config.Self, Arm: arm, Window: m.windowAt(now), Counts: counter.read()}
		if cell.Counts == (Counts{}) {
			continue
		}
		cell.FirstToken = counter.firstToken.histogram()
		cell.PerToken = counter.perToken.histogram()
		j.merge(m, cell)
		cells = append(cells, cell)
	}
	return cells
}

// setLimits sets the times from which requests are late; renew sets also those
// that are set already.
func (m *moveState) setLimits(renew bool) {
	for name, route := range *m.routes.Load() {
		old := Arm{Route: name}
		if renew || route.firstToken.load() == 0 {
			route.firstToken.store(lateLimit(m.evidence.FirstToken(old)))
		}
		if renew || route.perToken.load() == 0 {
			route.perToken.store(lateLimit(m.evidence.PerToken(old)))
		}
	}
}

// lateLimit is the pace from which a request is late, or zero if too little is
// known of the old version.
func lateLimit(old *Histogram) float64 {
	if old.Count() < timingsForLimits {
		return 0
	}
	return lateFactor * old.Quantile(usualQuantile)
}

// judge decides on a move and adopts the stage.
func (j *Judge) judge(m *moveState, now time.Time) {
	decision := Decide(Input{
		Complete:    m.move.Complete,
		Stage:       Stage(m.stage.Load()),
		Elapsed:     now.Sub(m.move.Began),
		AtStage:     now.Sub(m.stageSince),
		Window:      m.windowAt(now),
		StageWindow: m.stageWindow,
		Evidence:    m.evidence,
	})
	j.adopt(m, decision.Stage, decision.String(), now)
	if decision.Elapsed >= m.move.Complete {
		j.noteOverdue(m, decision)
	}
}

// noteOverdue tells, once, that a move's time is over before its end.
func (j *Judge) noteOverdue(m *moveState, decision Decision) {
	if m.isOverdue || decision.Stage.IsFinal() {
		return
	}
	m.isOverdue = true
	j.counters.overdue.Inc(1)
	j.config.Notify(Event{
		Move:    m.move.MoveID,
		Stage:   decision.Stage,
		Overdue: true,
		Share:   decision.Stage.Share().Float(),
		Reason:  "overdue: " + decision.String(),
	})
}

// propose returns the verdict that the configuration lacks, if it is due. A
// verdict against a version is due at once, a raise after a time that differs
// between hosts.
func (j *Judge) propose(m *moveState, now time.Time) (Verdict, bool) {
	stage := Stage(m.stage.Load())
	if j.config.Proposer == nil || stage <= m.configStage {
		return Verdict{}, false
	}
	wait := time.Duration(0)
	if stage < StageBad {
		wait = time.Duration(phaseOf(j.config.Self, m.reason).Float() * float64(proposeSpread))
	}
	if now.Before(m.stageSince.Add(wait)) || now.Before(m.proposedAt.Add(proposeInterval)) {
		return Verdict{}, false
	}
	m.proposedAt = now
	return Verdict{Move: m.move.MoveID, Stage: stage, Reason: m.reason}, true
}

// merge takes a cell into the evidence.
func (j *Judge) merge(m *moveState, cell Cell) {
	if err := m.evidence.Merge(cell); err != nil {
		j.counters.cellsRefused.Inc(1)
	}
}

// Merge takes another host's deltas in. Deltas of moves that this host does
// not know are dropped; they come again.
func (j *Judge) Merge(from identity.Incarnation, deltas []Delta) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.config.Now()
	for _, delta := range deltas {
		m := j.table.Load().moves[delta.Move.Service]
		if m == nil || m.move.MoveID != delta.Move {
			continue
		}
		isNews := false
		for _, cell := range delta.Cells {
			cell.Host = from
			isNews = m.isNews(cell) || isNews
			j.merge(m, cell)
		}
		j.adopt(m, delta.Stage, delta.Reason, now)
		if isNews {
			j.wake()
		}
	}
}

// isNews reports whether a cell counts failures of the new version that this
// host does not know.
func (m *moveState) isNews(cell Cell) bool {
	known := m.evidence.last(cell.Arm, cell.Host)
	return cell.Arm.New && (cell.Counts.Failed > known.Failed || cell.Counts.Lost > known.Lost)
}

// HandleEvidence is the mesh handler of KindEvidence.
func (j *Judge) HandleEvidence(_ context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error) {
	var deltas []Delta
	if err := cbor.Unmarshal(body, &deltas); err != nil {
		return nil, eris.Wrap(err, "decode deltas")
	}
	j.Merge(from, deltas)
	return struct{}{}, nil
}

// Run steps until the context ends, and waits for what is being sent.
func (j *Judge) Run(ctx context.Context) error {
	var sending sync.WaitGroup
	defer sending.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-j.urgent:
			if !pause.For(ctx, wakeDelay) {
				return nil
			}
		}
		j.carryOut(ctx, &sending, j.Step(j.config.Now()))
	}
}

// carryOut sends what a step asks for, without waiting.
func (j *Judge) carryOut(ctx context.Context, sending *sync.WaitGroup, out Output) {
	if len(out.Deltas) > 0 && j.config.Exchange != nil {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
			defer cancel()
			j.config.Exchange.Broadcast(ctx, out.Deltas)
		})
	}
	for _, verdict := range out.Verdicts {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			if err := j.config.Proposer.Propose(ctx, verdict); err != nil {
				j.counters.proposeFailed.Inc(1)
			}
		})
	}
}
