package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

const (
	// minTargetWait and maxTargetWait bound how long a job waits for a slot of
	// its target endpoint before it accepts any other. With a deadline, the
	// wait is the larger of two values: the time left less targetWaitReserve,
	// and the time left divided by targetWaitDivisor.
	minTargetWait     = 10 * time.Millisecond
	maxTargetWait     = 30 * time.Second
	targetWaitDivisor = 2
	targetWaitReserve = time.Second
	// minCachedTokensToWait is the minimum number of cached prompt tokens that
	// justify waiting longer than minTargetWait for an endpoint.
	minCachedTokensToWait = 200
	// maxReportedWaiting caps the number of waiting requests that are reported
	// for each tier. Homes need no higher count.
	maxReportedWaiting = 64
	// shortRetryAfter and longRetryAfter are the retry delays returned to
	// refused callers.
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
	// maxFlushRounds limits how often one flush repeats when grants from homes
	// on this host trigger new reports.
	maxFlushRounds = 4
)

// tryPlace places a job at once if no request is queued and a slot is free. It
// returns nil, nil if the job must be queued. It takes no lock.
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
	case scheduler.ActionNoCandidate:
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter}
	case scheduler.ActionDeadlineUnreachable:
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: shortRetryAfter}
	case scheduler.ActionDispatch:
		return c.dispatch(now, p, j, d), nil
	default:
		return nil, nil
	}
}

// dispatch acquires the slot that the scheduler selected. It returns nil if the
// slot has been taken in the meantime.
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
		sendDeadline:  s.holder.Expiry(),
		prefillTokens: max(j.query.PromptTokens-d.Estimate.CachedTokens, 0),
	}
	s.live.AddPendingTokens(a.prefillTokens)
	s.dirty.Store(true)
	for _, prefix := range j.query.Prefixes {
		c.prefixIndex.Add(now, s.id, prefix.Hash)
	}
	c.retryBudget.RecordDispatch()
	return a
}

// enqueue adds a job to the wait queue of its service. The result arrives
// through onResult, possibly before enqueue returns.
func (c *core) enqueue(now time.Time, j *job) {
	p := c.snapshot.Load().pools[j.route.service]
	if p == nil {
		j.onResult(nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter})
		return
	}
	j.waitQueue = p.waitQueue
	j.item = queue.Item{
		Tier:       j.query.Tier,
		Team:       j.request.Team,
		Cost:       float64(j.query.PromptTokens)/promptTokensPerOutputToken + float64(j.query.OutputTokens) + 1,
		Bytes:      j.request.Bytes,
		EnqueuedAt: now,
		Deadline:   j.query.Deadline,
		Value:      j,
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

// promptTokensPerOutputToken is the number of prompt tokens that cost a team as
// much as one output token in fair queueing.
const promptTokensPerOutputToken = 20

// leaveQueue removes a job from the demand and from the count of waiting
// requests. Its item must already be out of the queue.
func (j *job) leaveQueue() {
	j.clearDemand()
	j.waitQueue.waiting.Add(-1)
}

// refuse ends a job whose item has already been removed from the queue.
func (c *core) refuse(j *job, refusal Refusal) {
	j.leaveQueue()
	j.onResult(nil, &refusal)
}

// cancel removes a job whose result is no longer needed. It returns false if the
// job already has a result.
func (c *core) cancel(j *job) bool {
	if j.waitQueue == nil || !j.waitQueue.requests.Remove(&j.item) {
		return false
	}
	j.leaveQueue()
	return true
}

// dispatchWaiting dispatches the waiting requests of a pool, highest tier first,
// until no further one can be dispatched.
func (c *core) dispatchWaiting(now time.Time, p *pool) {
	if p.waitQueue.waiting.Load() == 0 {
		return
	}
	for t := range tier.Tier(tier.Max) {
		for c.dispatchNext(now, p, t) {
		}
	}
}

// dispatchNext dispatches or sheds the highest-scoring waiting request of a
// tier. It returns false if nothing can be done.
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
	p.waitQueue.requests.Serve(item)
	j.leaveQueue()
	j.onResult(a, nil)
	return true
}

const (
	// notDispatchable is the score of a request that cannot be dispatched now.
	notDispatchable = -1
	// scorePerSecondWaited is the score added for each second of waiting. A
	// second of prefill saved by the cache adds 1.
	scorePerSecondWaited = 0.1
)

// score returns the score of a waiting job and updates the demand that is
// registered for it. Within a tier, the highest score is dispatched first.
func (c *core) score(now time.Time, p *pool, j *job) float64 {
	j.query.LocalSlotsOnly = !j.targetUntil.IsZero() && !now.Before(j.targetUntil)
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionDispatch:
		if j.late {
			return 0
		}
		saved := float64(d.Estimate.CachedTokens) / scheduler.DefaultPrefillSpeed
		return saved + scorePerSecondWaited*now.Sub(j.item.EnqueuedAt).Seconds()
	case scheduler.ActionRequestSlot:
		c.requestSlot(now, j, p.endpoints[d.Endpoint], d.Estimate)
	case scheduler.ActionDeadlineUnreachable:
		c.markLate(now, j)
	default:
		j.setDemand(now, nil)
	}
	return notDispatchable
}

// requestSlot registers the job's demand at one endpoint. When targetUntil
// passes without a slot, the job accepts any endpoint.
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

// targetWait returns how long a job waits for its target endpoint. The wait is
// longer if the endpoint has much of the prompt cached, and is limited by the
// time left to the deadline.
func (j *job) targetWait(now time.Time, e scheduler.Estimate) time.Duration {
	if e.CachedTokens < minCachedTokensToWait {
		return minTargetWait
	}
	if j.query.Deadline.IsZero() {
		return maxTargetWait
	}
	left := j.query.Deadline.Sub(now)
	return min(max(left-targetWaitReserve, left/targetWaitDivisor, minTargetWait), maxTargetWait)
}
