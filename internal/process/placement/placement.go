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

	placer *Placer
	ticket *ticket
	late   *time.Timer
}

// placed makes the placement of a ticket.
func (p *Placer) placed(t *ticket) *Placement {
	p.stats.placed.Inc(1)
	e := t.endpoint
	return &Placement{
		Endpoint: e.Name,
		Address:  e.Address,
		Version:  e.Version,
		Domain:   e.Domain,
		Deadline: t.job.deadline,
		SendBy:   t.sendBy,
		Tier:     t.job.route.tierName,

		PrefillTokens: t.prefill + t.estimate.BacklogTokens,
		Cold:          t.state.live.IsCold(),

		placer: p,
		ticket: t,
		late:   time.AfterFunc(t.overdueAfter(), func() { t.overdue(); p.signal() }),
	}
}

// FirstToken tells that the first byte of the answer has arrived. Calls after
// the first have no effect.
func (p *Placement) FirstToken() {
	p.ticket.firstToken(p.placer.config.Now())
	p.placer.signal()
}

// Done ends the placement and frees its slot. Calls after the first have no
// effect.
func (p *Placement) Done(result Result) {
	now := p.placer.config.Now()
	p.late.Stop()
	if !p.ticket.end(now, result) {
		return
	}
	if result.Outcome != OutcomeDone {
		p.placer.mu.Lock()
		p.ticket.settle(now, result.Outcome)
		p.placer.mu.Unlock()
	}
	p.placer.signal()
}

// Retry ends the placement as OutcomeNotStarted and places the request again,
// elsewhere if possible, within the retry budget.
func (p *Placement) Retry(ctx context.Context) (*Placement, *Refusal) {
	p.Done(Result{Outcome: OutcomeNotStarted, CachedTokens: -1})
	if !p.placer.core.budget.Allow() {
		return nil, p.placer.refused(&Refusal{Reason: ReasonRetryBudget, RetryAfter: retryAfterShed})
	}
	p.placer.stats.retried.Inc(1)
	again := *p.ticket.job
	again.ask.Avoid = int(p.ticket.state.id)
	again.ask.Deadline = again.deadline
	again.late, again.counted, again.target, again.askUntil = false, false, nil, time.Time{}
	return p.placer.place(ctx, &again)
}
