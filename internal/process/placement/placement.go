package placement

import (
	"context"
	"time"
)

// Placement is a slot at an endpoint, reserved for one request.
type Placement struct {
	// Endpoint is the endpoint's name in the bundle.
	Endpoint string
	// Address is the endpoint's address, as IP:port.
	Address string
	// Version is the endpoint's version.
	Version string
	// Domain is the endpoint's failure domain.
	Domain string
	// Deadline is when the first token is due; zero means never.
	Deadline time.Time
	// SendDeadline is when the grant behind the slot expires. Sending the request
	// later may exceed the endpoint's limit.
	SendDeadline time.Time
	// Tier is the name of the request's tier.
	Tier string
	// PrefillTokens is the estimated number of prompt tokens that the endpoint
	// must prefill before the first token, including those of requests ahead of
	// this one.
	PrefillTokens int
	// Cold is set if the endpoint is cold.
	Cold bool

	placer       *Placer
	attempt      *attempt
	overdueTimer *time.Timer
}

// newPlacement creates the placement for a dispatch attempt.
func (p *Placer) newPlacement(a *attempt) *Placement {
	p.stats.placed.Inc(1)
	e := a.endpoint
	return &Placement{
		Endpoint:     e.Name,
		Address:      e.Address,
		Version:      e.Version,
		Domain:       e.Domain,
		Deadline:     a.job.deadline,
		SendDeadline: a.sendDeadline,
		Tier:         a.job.route.tierName,

		PrefillTokens: a.prefillTokens + a.estimate.BacklogTokens,
		Cold:          a.endpointState.live.IsCold(),

		placer:       p,
		attempt:      a,
		overdueTimer: time.AfterFunc(a.overdueTimeout(), func() { a.recordOverdue(); p.signal() }),
	}
}

// FirstToken records the arrival of the first byte of the response. Only the
// first call has an effect.
func (p *Placement) FirstToken() {
	p.attempt.recordFirstToken(p.placer.config.Now())
	p.placer.signal()
}

// Done ends the placement and releases its slot. Only the first call has an
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
// on another endpoint if possible. It refuses if the retry budget is exhausted.
func (p *Placement) Retry(ctx context.Context) (*Placement, *Refusal) {
	p.Done(Result{Outcome: OutcomeNotStarted, CachedTokens: -1})
	if !p.placer.core.retryBudget.TryTake() {
		return nil, p.placer.countRefusal(&Refusal{Reason: ReasonRetryBudget, RetryAfter: shortRetryAfter})
	}
	p.placer.stats.retried.Inc(1)
	retry := *p.attempt.job
	retry.query.Avoid = int(p.attempt.endpointState.id)
	retry.query.Deadline = retry.deadline
	retry.late, retry.inDemand, retry.target, retry.targetUntil = false, false, nil, time.Time{}
	return p.placer.place(ctx, &retry)
}
