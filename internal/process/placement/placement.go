package placement

import (
	"context"
	"time"
)

// Placement is an endpoint with a slot for one request.
type Placement struct {
	// Endpoint is the endpoint's name in the bundle.
	Endpoint string
	// Address is IP:port.
	Address string
	// Version is the endpoint version.
	Version string
	// Domain is the endpoint's failure domain.
	Domain string
	// Deadline is when the first token is due; zero means never.
	Deadline time.Time
	// SendBy is when the right to send the request lapses. Whoever sends later
	// may overrun the endpoint.
	SendBy time.Time
	// Tier is the request's tier.
	Tier string
	// PrefillTokens are the prompt tokens that the endpoint is believed to
	// prefill before the first token, those of other requests included.
	PrefillTokens int
	// Cold tells that the endpoint is cold.
	Cold bool

	placer       *Placer
	attempt      *attempt
	overdueTimer *time.Timer
}

// newPlacement makes the placement of a ticket.
func (p *Placer) newPlacement(a *attempt) *Placement {
	p.stats.placed.Inc(1)
	e := a.endpoint
	return &Placement{
		Endpoint: e.Name,
		Address:  e.Address,
		Version:  e.Version,
		Domain:   e.Domain,
		Deadline: a.job.deadline,
		SendBy:   a.sendBy,
		Tier:     a.job.route.tierName,

		PrefillTokens: a.prefillTokens + a.estimate.Backlog,
		Cold:          a.endpointState.live.IsCold(),

		placer:       p,
		attempt:      a,
		overdueTimer: time.AfterFunc(a.overdueTimeout(), func() { a.recordOverdue(); p.signal() }),
	}
}

// FirstToken tells that the first byte of the answer has arrived. Calls after
// the first have no effect.
func (p *Placement) FirstToken() {
	p.attempt.recordFirstToken(p.placer.config.Now())
	p.placer.signal()
}

// Done ends the placement and frees its slot. Calls after the first have no
// effect.
func (p *Placement) Done(result Result) {
	now := p.placer.config.Now()
	p.overdueTimer.Stop()
	if !p.attempt.end(now, result) {
		return
	}
	if result.Outcome != OutcomeDone {
		p.placer.mu.Lock()
		p.attempt.recordAbnormalEnd(now, result.Outcome)
		p.placer.mu.Unlock()
	}
	p.placer.signal()
}

// Retry ends the placement as OutcomeNotStarted and places the request again,
// elsewhere if possible, within the retry budget.
func (p *Placement) Retry(ctx context.Context) (*Placement, *Refusal) {
	p.Done(Result{Outcome: OutcomeNotStarted, CachedTokens: -1})
	if !p.placer.core.retryBudget.Allow() {
		return nil, p.placer.countRefusal(&Refusal{Reason: ReasonRetryBudget, RetryAfter: shortRetryAfter})
	}
	p.placer.stats.retried.Inc(1)
	retry := *p.attempt.job
	retry.query.Avoid = int(p.attempt.endpointState.id)
	retry.query.Deadline = retry.deadline
	retry.late, retry.inDemand, retry.target, retry.targetUntil = false, false, nil, time.Time{}
	return p.placer.place(ctx, &retry)
}
