package witness

import (
	"context"
	"sync"
	"time"

	"mustarddoor/internal/process/identity"
)

// Limits of the queue of outcomes.
const (
	// maxPendingOutcomes is the maximum length of the queue. Beyond it the oldest
	// outcomes are dropped, and their witnesses continue to report the intent.
	maxPendingOutcomes = 16384
	// maxOutcomeBatch is the maximum number of outcomes per message. It keeps a
	// message with the longest responses well under a megabyte.
	maxOutcomeBatch = 128
	// maxOutcomeSends is how often an outcome is sent before it is dropped.
	maxOutcomeSends = 4
)

// pendingOutcome is an outcome that waits to be sent.
type pendingOutcome struct {
	outcome Outcome
	sends   int
}

// outcomeQueue holds pending outcomes, oldest first.
type outcomeQueue struct {
	mu      sync.Mutex
	pending []pendingOutcome
}

func (q *outcomeQueue) add(added ...pendingOutcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, added...)
	if excess := len(q.pending) - maxPendingOutcomes; excess > 0 {
		q.pending = append([]pendingOutcome(nil), q.pending[excess:]...)
	}
}

func (q *outcomeQueue) takeAll() []pendingOutcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
}

// RecordOutcome queues an outcome for its key's witness. It never blocks.
func (s *Sender) RecordOutcome(outcome Outcome) {
	if outcome.Key.Session.Witness.IsZero() {
		s.config.Local.RecordOutcome(outcome)
		return
	}
	s.outcomes.add(pendingOutcome{outcome: outcome})
}

// Run sends queued outcomes until the context is canceled, and then once more.
func (s *Sender) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.config.OutcomeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Flush(ctx)
		case <-ctx.Done():
			s.Flush(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// Flush sends all queued outcomes once and waits for the replies.
func (s *Sender) Flush(ctx context.Context) {
	byWitness := make(map[identity.Incarnation][]pendingOutcome)
	for _, pending := range s.outcomes.takeAll() {
		witness := pending.outcome.Key.Session.Witness
		byWitness[witness] = append(byWitness[witness], pending)
	}
	var group sync.WaitGroup
	for witness, pending := range byWitness {
		group.Go(func() { s.sendOutcomes(ctx, witness, pending) })
	}
	group.Wait()
}

func (s *Sender) sendOutcomes(ctx context.Context, witness identity.Incarnation, pending []pendingOutcome) {
	host, known := s.config.Hosts.Find(witness)
	if !known {
		return
	}
	for len(pending) > 0 {
		count := min(len(pending), maxOutcomeBatch)
		s.sendOutcomeBatch(ctx, host.MeshAddress, pending[:count])
		pending = pending[count:]
	}
}

func (s *Sender) sendOutcomeBatch(ctx context.Context, address string, batch []pendingOutcome) {
	ctx, cancel := context.WithTimeout(ctx, s.config.IntentTimeout)
	defer cancel()
	request := OutcomeRequest{Outcomes: make([]Outcome, len(batch))}
	for i, pending := range batch {
		request.Outcomes[i] = pending.outcome
	}
	var reply OutcomeReply
	if err := s.config.Caller.Call(ctx, address, KindOutcome, request, &reply); err != nil {
		s.requeue(batch)
	}
}

// requeue queues the outcomes again that have not been sent too often.
func (s *Sender) requeue(batch []pendingOutcome) {
	var again []pendingOutcome
	for _, pending := range batch {
		pending.sends++
		if pending.sends < maxOutcomeSends {
			again = append(again, pending)
		}
	}
	s.outcomes.add(again...)
}
