package config

import (
	"mustarddoor/internal/connection/platform"
)

// update changes the state and notifies everyone who depends on it. The function
// may change the maps of the state that it receives.
func (f *Follower) update(change func(*State)) {
	f.mu.Lock()
	changes := f.updateLocked(change)
	f.mu.Unlock()
	f.notify(changes)
}

func (f *Follower) notify(changes []Change) {
	for _, change := range changes {
		f.options.OnChange(change)
	}
}

// updateLocked changes the state and returns the changes. The caller holds the
// lock.
func (f *Follower) updateLocked(change func(*State)) []Change {
	before := f.state
	readyBefore, _ := f.readiness()
	next := before.clone()
	change(&next)
	f.state = next
	if next.InForce != nil && next.InForce.bundle != nil {
		f.serving = laterVersion(f.serving, next.InForce)
	}
	changes := f.changesSince(before)
	if len(changes) > 0 {
		f.publishView()
	}
	if ready, _ := f.readiness(); ready != readyBefore {
		changes = append(changes, Change{Kind: ChangeReady})
	}
	f.metrics.offset.Update(int64(next.Log.Offset))
	f.metrics.inForce.Update(int64(next.InForce.offset()))
	signal(f.backfillSignal)
	return changes
}

// changesSince compares the state with an earlier one and marks the changes that
// are to be pushed to peers.
func (f *Follower) changesSince(before State) []Change {
	changes := []Change{}
	if f.state.InForce.offset() != before.InForce.offset() {
		changes = append(changes, Change{Kind: ChangeInForce, Version: f.state.InForce.Info()})
	}
	for domain, mark := range f.state.Marks {
		if before.Marks[domain].ID != mark.ID {
			changes = append(changes, Change{Kind: ChangeDomain, Mark: mark})
			f.unsent.marks[domain] = true
		}
	}
	for id, move := range f.state.Moves {
		if before.Moves[id] != move {
			changes = append(changes, Change{Kind: ChangeMove, Move: MoveView{ID: id, State: move}})
			f.unsent.moves[id] = true
		}
	}
	if !f.unsent.isEmpty() {
		signal(f.pushSignal)
	}
	return changes
}

// publishView stores a view of the state and sends it to subscribers. A view that
// a subscriber has not read yet is replaced.
func (f *Follower) publishView() {
	view := newView(f.state, f.serving)
	f.view.Store(view)
	for _, reader := range f.subscribers {
		select {
		case <-reader:
		default:
		}
		reader <- view
	}
}

// signal wakes the receiver of a channel with a buffer of one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// applyEntries applies log records in order.
func (f *Follower) applyEntries(entries []platform.Record) {
	for _, entry := range entries {
		f.applyOne(func(s State) (State, Outcome) { return s.Apply(entry, f.options.Keys) })
	}
}

// applyOne applies one log record and delivers its outcome to all waiters.
func (f *Follower) applyOne(apply func(State) (State, Outcome)) Outcome {
	f.mu.Lock()
	var outcome Outcome
	changes := f.updateLocked(func(s *State) { *s, outcome = apply(*s) })
	f.deliverOutcome(outcome)
	f.mu.Unlock()
	if outcome.Result == ResultRefused || outcome.Result == ResultUnknown {
		changes = append(changes, Change{Kind: ChangeRefused, Outcome: outcome})
	}
	f.notify(changes)
	return outcome
}

// deliverOutcome counts and stores an outcome and sends it to the waiters.
func (f *Follower) deliverOutcome(outcome Outcome) {
	if outcome.Result == ResultSkipped {
		return
	}
	f.metrics.countOutcome(outcome)
	if !f.outcomes.add(outcome) {
		return
	}
	for _, waiter := range f.waiters[outcome.ID] {
		waiter <- outcome
	}
	delete(f.waiters, outcome.ID)
}

// merge merges a state that was received from a peer.
func (f *Follower) merge(other State) {
	f.update(func(s *State) { *s = Merge(*s, other).clone() })
}

// currentState returns the current state.
func (f *Follower) currentState() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// nextSequence returns the sequence of this host's next record.
func (f *Follower) nextSequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence = NextSequence(f.sequence, now())
	return f.sequence
}
