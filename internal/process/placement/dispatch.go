package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

const (
	// minPatience and maxPatience bound how long a request waits for a slot of
	// one endpoint before any other will do. patienceShare is the part of the
	// time to its deadline that it may spend on that.
	minPatience     = 10 * time.Millisecond
	maxPatience     = 30 * time.Second
	patienceShare   = 2
	patienceReserve = time.Second
	// worthWaiting is the least number of cached tokens to wait for.
	worthWaiting = 200
	// manyWaiting is the largest demand of one tier that is reported; homes
	// need not know more.
	manyWaiting = 64
	// retryAfterShed and retryAfterFull are what refused callers are told.
	retryAfterShed = time.Second
	retryAfterFull = 5 * time.Second
	// settleRounds bounds how often one flush lets grants of local homes lead
	// to new reports.
	settleRounds = 4
)

// quick places a job without waiting, if nothing else waits and a slot is at
// hand. It returns nothing if the job must go the long way. It takes no lock.
func (c *core) quick(now time.Time, j *job) (*ticket, *Refusal) {
	if c.leaving.Load() {
		return nil, &Refusal{Reason: ReasonLeaving, RetryAfter: retryAfterShed}
	}
	p := c.state.Load().pools[j.route.service]
	if p == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull}
	}
	if p.line.waiting.Load() > 0 {
		return nil, nil
	}
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionNoCandidate:
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull}
	case scheduler.ActionDeadlineUnreachable:
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: retryAfterShed}
	case scheduler.ActionDispatch:
		return c.dispatch(now, p, j, d), nil
	default:
		return nil, nil
	}
}

// dispatch takes the slot that a decision found, or returns nil if it is gone.
func (c *core) dispatch(now time.Time, p *pool, j *job, d scheduler.Decision) *ticket {
	s := p.endpoints[d.Endpoint]
	if !s.holder.TryAcquire(now, j.ask.Tier) {
		return nil
	}
	t := &ticket{
		core:     c,
		state:    s,
		job:      j,
		endpoint: &p.plan.Endpoints()[d.Endpoint],
		estimate: d.Estimate,
		at:       now,
		sendBy:   s.holder.Expiry(),
		prefill:  max(j.ask.PromptTokens-d.Estimate.CachedTokens, 0),
	}
	s.live.AddPendingTokens(t.prefill)
	s.dirty.Store(true)
	for _, prefix := range j.ask.Prefixes {
		c.index.Add(now, s.id, prefix.Hash)
	}
	c.budget.Dispatched()
	return t
}

// wait puts a job into its line. The job is settled later, perhaps at once.
func (c *core) wait(now time.Time, j *job) {
	p := c.state.Load().pools[j.route.service]
	if p == nil {
		j.settle(nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull})
		return
	}
	j.line = p.line
	j.item = queue.Item{
		Tier:       j.ask.Tier,
		Team:       j.request.Team,
		Cost:       float64(j.ask.PromptTokens)/costRatio + float64(j.ask.OutputTokens) + 1,
		Bytes:      j.request.Bytes,
		EnqueuedAt: now,
		Deadline:   j.ask.Deadline,
		Value:      j,
	}
	evicted, err := p.line.queue.Push(&j.item)
	if err != nil {
		j.settle(nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: retryAfterFull})
		return
	}
	p.line.waiting.Add(1)
	for _, old := range evicted {
		c.refuse(old.Value.(*job), Refusal{Reason: ReasonQueueFull, RetryAfter: retryAfterFull})
	}
	c.rate(now, p, j)
	c.pump(now, p)
}

// costRatio is how many prompt tokens cost a team as much as one output token.
const costRatio = 20

// leaveLine takes a job out of the demand; its item is out of the queue.
func (j *job) leaveLine() {
	j.withdraw()
	j.line.waiting.Add(-1)
}

// refuse settles a job whose item is out of the queue.
func (c *core) refuse(j *job, refusal Refusal) {
	j.leaveLine()
	j.settle(nil, &refusal)
}

// cancel takes a job out that no longer wants to wait. It returns false if the
// job was settled before.
func (c *core) cancel(j *job) bool {
	if j.line == nil || !j.line.queue.Remove(&j.item) {
		return false
	}
	j.leaveLine()
	return true
}

// pump dispatches what waits for a pool, the highest tiers first, as far as
// there are slots.
func (c *core) pump(now time.Time, p *pool) {
	if p.line.waiting.Load() == 0 {
		return
	}
	for t := range tier.Tier(tier.Max) {
		for c.dispatchNext(now, p, t) {
		}
	}
}

// dispatchNext dispatches the best waiting request of a tier, if any can go.
func (c *core) dispatchNext(now time.Time, p *pool, t tier.Tier) bool {
	item := p.line.queue.Best(t, func(item *queue.Item) float64 {
		return c.rate(now, p, item.Value.(*job))
	})
	if item == nil {
		return false
	}
	j := item.Value.(*job)
	if j.late && c.confirmed(now, p, j) {
		p.line.queue.Remove(item)
		c.refuse(j, Refusal{Reason: ReasonCapacity, RetryAfter: retryAfterShed})
		return true
	}
	d := c.decide(now, p, j)
	if d.Action != scheduler.ActionDispatch {
		return false
	}
	dispatched := c.dispatch(now, p, j, d)
	if dispatched == nil {
		return false
	}
	p.line.queue.Serve(item)
	j.leaveLine()
	j.settle(dispatched, nil)
	return true
}

const (
	// notNow is the rating of a request that cannot be dispatched now.
	notNow = -1
	// ageWeight is the rating that a second of waiting adds; a second of
	// prefill saved adds one.
	ageWeight = 0.1
)

// rate tells how much a waiting job deserves a slot now, and keeps its demand.
func (c *core) rate(now time.Time, p *pool, j *job) float64 {
	j.ask.LocalSlotsOnly = !j.askUntil.IsZero() && !now.Before(j.askUntil)
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionDispatch:
		if j.late {
			return 0
		}
		saved := float64(d.Estimate.CachedTokens) / scheduler.DefaultPrefillSpeed
		return saved + ageWeight*now.Sub(j.item.EnqueuedAt).Seconds()
	case scheduler.ActionRequestSlot:
		c.ask(now, j, p.endpoints[d.Endpoint], d.Estimate)
	case scheduler.ActionDeadlineUnreachable:
		c.markLate(now, j)
	default:
		j.demand(now, nil)
	}
	return notNow
}

// ask registers a demand at one endpoint; if that brings nothing soon, any endpoint
// will do.
func (c *core) ask(now time.Time, j *job, s *endpointState, e scheduler.Estimate) {
	if j.counted {
		return
	}
	j.demand(now, s)
	j.askUntil = now.Add(j.patience(now, e))
	if c.recheck.IsZero() || j.askUntil.Before(c.recheck) {
		c.recheck = j.askUntil
	}
}

// patience is how long a job waits for one endpoint: longer if that saves the
// prefill of what is cached there, and never a great part of what is left to
// the deadline.
func (j *job) patience(now time.Time, e scheduler.Estimate) time.Duration {
	if e.CachedTokens < worthWaiting {
		return minPatience
	}
	if j.ask.Deadline.IsZero() {
		return maxPatience
	}
	left := j.ask.Deadline.Sub(now)
	return min(max(left-patienceReserve, left/patienceShare, minPatience), maxPatience)
}
