package dispatch

import (
	"time"

	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/version/canary"
)

// versions says which versions a request may go to.
type versions struct {
	// move is nil if any version will do.
	move       *canary.Move
	toNew, old bool
}

// versions looks at a service's move. Before the new version has endpoints,
// and after the old one has none, the move binds nothing.
func (d *Dispatcher) versions(service string, endpoints []*fleet.Endpoint) versions {
	move := d.moves[service]
	if move == nil {
		return versions{}
	}
	isNew, isOld := false, false
	for _, e := range endpoints {
		if d.fleet.MayUse(e) {
			isNew = isNew || e.Version == move.Target
			isOld = isOld || e.Version != move.Target
		}
	}
	toNew, old := move.AllowedVersions(d.hosts)
	if !old && !isNew && isOld {
		// The new version has gone; its order stands, but callers need answers.
		return versions{}
	}
	return versions{move: move, toNew: toNew, old: old}
}

func (v versions) allow(version string) bool {
	if v.move == nil {
		return true
	}
	if version == v.move.Target {
		return v.toNew
	}
	return v.old
}

// pick picks an endpoint, of the new version first if its trial is due.
func (v versions) pick(endpoints []*fleet.Endpoint, candidates []choose.Candidate, demand choose.Demand, draw float64) int {
	if v.move != nil && v.toNew && v.move.PrefersNewVersion() {
		trial := make([]choose.Candidate, len(candidates))
		copy(trial, candidates)
		for i, e := range endpoints {
			trial[i].Blocked = trial[i].Blocked || e.Version != v.move.Target
		}
		if index := choose.Pick(trial, demand, draw); index >= 0 {
			return index
		}
	}
	return choose.Pick(candidates, demand, draw)
}

// noteVersion takes a result in as evidence of a move. The caller holds mu.
func (d *Dispatcher) noteVersion(l *Lease, result fleet.Result, now time.Time) {
	move := d.moves[l.job.Service]
	if move == nil || move.Stage().IsFinal() {
		return
	}
	switch result {
	case fleet.ResultGood:
		move.RecordResult(l.endpoint.Version, true, now.Sub(l.begun), expectedHold(l.job))
	case fleet.ResultFailed, fleet.ResultBroken, fleet.ResultSilent:
		move.RecordResult(l.endpoint.Version, false, 0, 0)
	}
}

// SetOrders tells which moves are ordered. A move that goes on keeps its state;
// one that the order no longer names ends.
func (d *Dispatcher) SetOrders(orders []canary.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]*canary.Move{}
	for _, order := range orders {
		if move := d.moves[order.Service]; move != nil && move.Order == order {
			next[order.Service] = move
			continue
		}
		next[order.Service] = canary.NewMove(order, time.Now())
	}
	d.moves = next
}

// MoveState is a move as this host sees it.
type MoveState struct {
	Order    canary.Order
	Stage    canary.Stage
	Evidence canary.Evidence
	// All is the evidence of all hosts, and Raised tells that the stage is
	// news.
	All    canary.Evidence
	Raised bool
}

// JudgeMoves raises the stages that are due and describes all moves.
func (d *Dispatcher) JudgeMoves() []MoveState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []MoveState
	for _, move := range d.moves {
		raised := move.Evaluate(time.Now())
		states = append(states, MoveState{Order: move.Order, Stage: move.Stage(), Evidence: move.LocalEvidence(), All: move.TotalEvidence(), Raised: raised})
	}
	return states
}

// HearMove takes in what another host says of a move and reports whether its
// stage is news.
func (d *Dispatcher) HearMove(host, service, target string, stage canary.Stage, evidence canary.Evidence) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	move := d.moves[service]
	if move == nil || move.Target != target {
		return false
	}
	if host != "" {
		move.SetHostEvidence(host, evidence)
	}
	return move.AdvanceTo(stage)
}
