package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

// markLate records that a job can no longer meet its deadline. Until it may be
// shed, it can still be served, after all other jobs of its tier.
func (c *core) markLate(now time.Time, j *job) {
	j.late = true
	j.query.Deadline = time.Time{}
	j.setDemand(now, nil)
}

// isShedConfirmed reports whether a job may be shed. The reachable home of
// every matching endpoint must have confirmed, in reply to a report sent after
// the job was added to the demand, that no lower tier is being served.
func (c *core) isShedConfirmed(now time.Time, p *pool, j *job) bool {
	if !j.inDemand || j.target != nil {
		return false
	}
	for _, s := range p.endpoints {
		if !j.selector().matches(s) || !s.isHomeReachable(now) {
			continue
		}
		grant, _ := s.holder.LastGrant()
		if !s.holder.AckedReportSentAt().After(j.demandSince) || !grant.AllowsShedding(j.query.Tier) {
			return false
		}
	}
	return true
}

// shed marks the jobs of a pool that have become late and refuses those that
// may be shed or that no endpoint can serve by their deadline.
func (c *core) shed(now time.Time, p *pool) {
	for t := range tier.Tier(tier.Max) {
		p.waitQueue.requests.Each(t, func(item *queue.Item) bool {
			c.shedOne(now, p, item.Value.(*job))
			return true
		})
	}
}

func (c *core) shedOne(now time.Time, p *pool, j *job) {
	if !j.deadline.IsZero() && now.After(j.deadline) && p.scheduler.Decide(now, &j.query).Action == scheduler.ActionNoCandidate {
		p.waitQueue.requests.Remove(&j.item)
		c.refuse(j, Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter})
		return
	}
	if !j.late && j.query.Deadline.IsZero() {
		return
	}
	if !j.late {
		c.score(now, p, j)
	}
	if !j.late || !c.isShedConfirmed(now, p, j) {
		return
	}
	p.waitQueue.requests.Remove(&j.item)
	c.refuse(j, Refusal{Reason: ReasonCapacity, RetryAfter: shortRetryAfter})
}
