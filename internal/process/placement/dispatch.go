package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

const (
	// minTargetWait and maxPatience bound how long a request waits for a slot of
	// one endpoint before any other will do. patienceShare is the part of the
	// time to its deadline that it may spend on that.
	minTargetWait     = 10 * time.Millisecond
	maxTargetWait     = 30 * time.Second
	targetWaitDivisor = 2
	targetWaitReserve = time.Second
	// minCachedTokensToWait is the least number of cached tokens to wait for.
	minCachedTokensToWait = 200
	// maxReportedWaiting is the largest demand of one tier that is reported; homes
	// need not know more.
	maxReportedWaiting = 64
	// shortRetryAfter and retryAfterFull are what refused callers are told.
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
	// maxFlushRounds bounds how often one flush lets grants of local homes lead
	// to new reports.
	maxFlushRounds = 4
)

// tryPlace places a job without waiting, if nothing else waits and a slot is at
// hand. It returns nothing if the job must go the long way. It takes no lock.
func (c *core) tryPlace(now time.Time, j *job) (*attempt, *Refusal) {
	if c.leaving.Load() {
		return nil, &Refusal{Reason: ReasonLeaving, RetryAfter: shortRetryAfter}
	}
	p := c.snapshot.Load().pools[j.route.service]
	if p == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter}
	}
	if p.waitQueue.waiting.Load() > 0 {
		return nil, nil
	}
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionNone:
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter}
	case scheduler.ActionLate:
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: shortRetryAfter}
	case scheduler.ActionDispatch:
		return c.dispatch(now, p, j, d), nil
	default:
		return nil, nil
	}
}

// dispatch takes the slot that a decision found, or returns nil if it is gone.
func (c *core) dispatch(now time.Time, p *pool, j *job, d scheduler.Decision) *attempt {
	s := p.endpoints[d.Endpoint]
	if !s.holder.TryAcquire(now, j.query.Tier) {
		return nil
	}
	a := &attempt{
		core:          c,
		endpointState: s,
		job:           j,
		endpoint:      &p.scheduler.Endpoints()[d.Endpoint],
		estimate:      d.Estimate,
		dispatchedAt:  now,
		sendBy:        s.holder.Lapse(),
		prefillTokens: max(j.query.PromptTokens-d.Estimate.Cached, 0),
	}
	s.live.AddPending(a.prefillTokens)
	s.dirty.Store(true)
	for _, prefix := range j.query.Prefixes {
		c.prefixIndex.Add(now, s.id, prefix.Hash)
	}
	c.retryBudget.Dispatched()
	return a
}

// enqueue puts a job into its line. The job is settled later, perhaps at once.
func (c *core) enqueue(now time.Time, j *job) {
	p := c.snapshot.Load().pools[j.route.service]
	if p == nil {
		j.onResult(nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter})
		return
	}
	j.waitQueue = p.waitQueue
	j.item = queue.Item{
		Tier:     j.query.Tier,
		Team:     j.request.Team,
		Cost:     float64(j.query.PromptTokens)/promptTokensPerOutputToken + float64(j.query.OutputTokens) + 1,
		Bytes:    j.request.Bytes,
		Since:    now,
		Deadline: j.query.Deadline,
		Value:    j,
	}
	evicted, err := p.waitQueue.requests.Push(&j.item)
	if err != nil {
		j.onResult(nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: longRetryAfter})
		return
	}
	p.waitQueue.waiting.Add(1)
	for _, item := range evicted {
		c.refuse(item.Value.(*job), Refusal{Reason: ReasonQueueFull, RetryAfter: longRetryAfter})
	}
	c.score(now, p, j)
	c.dispatchWaiting(now, p)
}

// promptTokensPerOutputToken is how many prompt tokens cost a team as much as one output token.
const promptTokensPerOutputToken = 20

// leaveQueue takes a job out of the demand; its item is out of the queue.
func (j *job) leaveQueue() {
	j.clearDemand()
	j.waitQueue.waiting.Add(-1)
}

// refuse settles a job whose item is out of the queue.
func (c *core) refuse(j *job, refusal Refusal) {
	j.leaveQueue()
	j.onResult(nil, &refusal)
}

// cancel takes a job out that no longer wants to wait. It returns false if the
// job was settled before.
func (c *core) cancel(j *job) bool {
	if j.waitQueue == nil || !j.waitQueue.requests.Remove(&j.item) {
		return false
	}
	j.leaveQueue()
	return true
}

// dispatchWaiting dispatches what waits for a pool, the highest tiers first, as far as
// there are slots.
func (c *core) dispatchWaiting(now time.Time, p *pool) {
	if p.waitQueue.waiting.Load() == 0 {
		return
	}
	for t := range tier.Tier(tier.Max) {
		for c.dispatchNext(now, p, t) {
		}
	}
}

// dispatchNext dispatches the best waiting request of a tier, if any can go.
func (c *core) dispatchNext(now time.Time, p *pool, t tier.Tier) bool {
	item := p.waitQueue.requests.Best(t, func(item *queue.Item) float64 {
		return c.score(now, p, item.Value.(*job))
	})
	if item == nil {
		return false
	}
	j := item.Value.(*job)
	if j.late && c.isShedConfirmed(now, p, j) {
		p.waitQueue.requests.Remove(item)
		c.refuse(j, Refusal{Reason: ReasonCapacity, RetryAfter: shortRetryAfter})
		return true
	}
	d := c.decide(now, p, j)
	if d.Action != scheduler.ActionDispatch {
		return false
	}
	a := c.dispatch(now, p, j, d)
	if a == nil {
		return false
	}
	p.waitQueue.requests.Take(item)
	j.leaveQueue()
	j.onResult(a, nil)
	return true
}

const (
	// notDispatchable is the rating of a request that cannot be dispatched now.
	notDispatchable = -1
	// scorePerSecondWaited is the rating that a second of waiting adds; a second of
	// prefill saved adds one.
	scorePerSecondWaited = 0.1
)

// score tells how much a waiting job deserves a slot now, and keeps its demand.
func (c *core) score(now time.Time, p *pool, j *job) float64 {
	j.query.HeldOnly = !j.targetUntil.IsZero() && !now.Before(j.targetUntil)
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionDispatch:
		if j.late {
			return 0
		}
		saved := float64(d.Estimate.Cached) / scheduler.DefaultPrefill
		return saved + scorePerSecondWaited*now.Sub(j.item.Since).Seconds()
	case scheduler.ActionAsk:
		c.requestSlot(now, j, p.endpoints[d.Endpoint], d.Estimate)
	case scheduler.ActionLate:
		c.markLate(now, j)
	default:
		j.setDemand(now, nil)
	}
	return notDispatchable
}

// requestSlot registers a demand at one endpoint; if that brings nothing soon, any endpoint
// will do.
func (c *core) requestSlot(now time.Time, j *job, s *endpointState, e scheduler.Estimate) {
	if j.inDemand {
		return
	}
	j.setDemand(now, s)
	j.targetUntil = now.Add(j.targetWait(now, e))
	if c.recheckAt.IsZero() || j.targetUntil.Before(c.recheckAt) {
		c.recheckAt = j.targetUntil
	}
}

// targetWait is how long a job waits for one endpoint: longer if that saves the
// prefill of what is cached there, and never a great part of what is left to
// the deadline.
func (j *job) targetWait(now time.Time, e scheduler.Estimate) time.Duration {
	if e.Cached < minCachedTokensToWait {
		return minTargetWait
	}
	if j.query.Deadline.IsZero() {
		return maxTargetWait
	}
	left := j.query.Deadline.Sub(now)
	return min(max(left-targetWaitReserve, left/targetWaitDivisor, minTargetWait), maxTargetWait)
}
