package dispatch

import (
	"math"
	"slices"
	"time"

	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/version/canary"
)

// versionFilter decides which versions of a service a request may use.
type versionFilter struct {
	// move is nil if there is no restriction.
	move               *canary.Move
	allowNew, allowOld bool
}

// versionFilter returns the filter that the service's move imposes on a request.
func (d *Dispatcher) versionFilter(job *Job, endpoints []*fleet.Endpoint) versionFilter {
	move := d.moves[job.Service]
	if move == nil {
		return versionFilter{}
	}
	hasNew, hasOld := false, false
	for _, e := range endpoints {
		if d.fleet.IsUsable(e) {
			hasNew = hasNew || e.Version == move.Target
			hasOld = hasOld || e.Version != move.Target
		}
	}
	move.SetOldGone(isOldGone(move, endpoints))
	allowNew, allowOld := move.AllowedVersions(d.hostCount)
	if !allowOld && !hasNew && hasOld {
		// The endpoints of the new version are gone. The order still stands,
		// but requests are served by the old version meanwhile.
		return versionFilter{}
	}
	if job.IsRetry && allowOld && hasOld {
		// The new version may have failed the request, and is not to fail it again.
		allowNew = false
	}
	return versionFilter{move: move, allowNew: allowNew, allowOld: allowOld}
}

// isOldGone reports whether no endpoint of another version than the move's target is
// left. Those out of service for a time still count, since they come back.
func isOldGone(move *canary.Move, endpoints []*fleet.Endpoint) bool {
	hasNew := false
	for _, e := range endpoints {
		if e.Version != move.Target && !e.IsLeaving() {
			return false
		}
		hasNew = hasNew || e.Version == move.Target
	}
	return hasNew
}

func (f versionFilter) allows(version string) bool {
	if f.move == nil {
		return true
	}
	if version == f.move.Target {
		return f.allowNew
	}
	return f.allowOld
}

// pick selects an endpoint. If a trial request is due, it prefers the new
// version.
func (f versionFilter) pick(endpoints []*fleet.Endpoint, candidates []choose.Candidate, demand choose.Demand, draw float64) int {
	if f.move == nil || !f.allowNew {
		return choose.Pick(candidates, demand, draw)
	}
	if f.move.PrefersNewVersion() {
		if index := choose.Pick(f.trialCandidates(endpoints, candidates), demand, draw); index >= 0 {
			return index
		}
	}
	if f.move.IsLoadTest() {
		candidates = blockWhere(candidates, func(i int) bool { return endpoints[i].Version == f.move.Target })
	}
	return choose.Pick(candidates, demand, draw)
}

// trialCandidates returns the candidates for a request to the new version. During the load
// test, these are the first of its endpoints in an order on which all hosts agree.
func (f versionFilter) trialCandidates(endpoints []*fleet.Endpoint, candidates []choose.Candidate) []choose.Candidate {
	var hashes []uint32
	for _, e := range endpoints {
		if e.Version == f.move.Target {
			hashes = append(hashes, e.Hash)
		}
	}
	last := uint32(math.MaxUint32)
	if f.move.IsLoadTest() && len(hashes) > 0 {
		slices.Sort(hashes)
		last = hashes[int(math.Ceil(canary.LoadTestEndpoints*float64(len(hashes))))-1]
	}
	return blockWhere(candidates, func(i int) bool { return endpoints[i].Version != f.move.Target || endpoints[i].Hash > last })
}

// blockWhere returns the candidates with those blocked that meet a condition.
func blockWhere(candidates []choose.Candidate, isBlocked func(index int) bool) []choose.Candidate {
	blocked := slices.Clone(candidates)
	for i := range blocked {
		blocked[i].Blocked = blocked[i].Blocked || isBlocked(i)
	}
	return blocked
}

// recordMoveResult adds a result to the evidence of the service's move. The
// caller holds mu.
func (d *Dispatcher) recordMoveResult(l *Lease, result fleet.Result, now time.Time) {
	move := d.moves[l.job.Service]
	if move == nil || move.Stage().IsFinal() {
		return
	}
	switch result {
	case fleet.ResultSuccess:
		move.RecordResult(l.endpoint.Version, true, now.Sub(l.startedAt), defaultSlotTime(l.job))
	case fleet.ResultFailed, fleet.ResultIncomplete, fleet.ResultTimeout:
		move.RecordResult(l.endpoint.Version, false, 0, 0)
	}
}

// SetOrders sets the ordered moves. A move whose order is unchanged keeps its
// state; a move without an order ends.
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

// MoveState describes a service's move as this host sees it.
type MoveState struct {
	Order    canary.Order
	Stage    canary.Stage
	Evidence canary.Evidence
	// FleetEvidence is the evidence of all hosts. StageRaised is set if the
	// stage rose in the latest evaluation.
	FleetEvidence canary.Evidence
	StageRaised   bool
}

// EvaluateMoves raises the stages that are due and returns the state of all
// moves.
func (d *Dispatcher) EvaluateMoves() []MoveState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []MoveState
	for _, move := range d.moves {
		move.SetOldGone(isOldGone(move, d.fleet.ByService(move.Service)))
		raised := move.Evaluate(time.Now())
		states = append(states, MoveState{Order: move.Order, Stage: move.Stage(), Evidence: move.LocalEvidence(), FleetEvidence: move.TotalEvidence(), StageRaised: raised})
	}
	return states
}

// RecordMoveReport records another host's report of a move and reports whether
// it raised the stage. If host is empty, only the stage is recorded.
func (d *Dispatcher) RecordMoveReport(host, service, target string, stage canary.Stage, evidence canary.Evidence) bool {
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
