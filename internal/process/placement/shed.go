package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

// markLate notes that a job's deadline cannot be met any more. Until it may be
// shed, it may still be served, after all others of its tier.
func (c *core) markLate(now time.Time, j *job) {
	j.late = true
	j.ask.Deadline = time.Time{}
	j.demand(now, nil)
}

// confirmed reports whether a job may be shed: every home that can be reached
// has confirmed, since it knows of the demand, that no lower tier is served.
func (c *core) confirmed(now time.Time, p *pool, j *job) bool {
	if !j.counted || j.target != nil {
		return false
	}
	for _, s := range p.endpoints {
		if !j.class().fits(s) || !s.isReachable(now) {
			continue
		}
		grant, _ := s.holder.LastGrant()
		if !s.holder.AckedReportSentAt().After(j.demandSince) || !grant.AllowsShedding(j.ask.Tier) {
			return false
		}
	}
	return true
}

// shed refuses the late jobs of a pool for which the homes have confirmed it,
// and marks those that have become late.
func (c *core) shed(now time.Time, p *pool) {
	for t := range tier.Tier(tier.Max) {
		p.line.queue.Each(t, func(item *queue.Item) bool {
			c.shedOne(now, p, item.Value.(*job))
			return true
		})
	}
}

func (c *core) shedOne(now time.Time, p *pool, j *job) {
	if !j.deadline.IsZero() && now.After(j.deadline) && p.plan.Decide(now, &j.ask).Action == scheduler.ActionNoCandidate {
		p.line.queue.Remove(&j.item)
		c.refuse(j, Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull})
		return
	}
	if !j.late && j.ask.Deadline.IsZero() {
		return
	}
	if !j.late {
		c.rate(now, p, j)
	}
	if !j.late || !c.confirmed(now, p, j) {
		return
	}
	p.line.queue.Remove(&j.item)
	c.refuse(j, Refusal{Reason: ReasonCapacity, RetryAfter: retryAfterShed})
}
