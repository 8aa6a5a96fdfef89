package dispatch

import (
	"time"

	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fleet"
)

// matchWaitShare is the share of its longest wait for which a queued request leaves
// slots alone that it does not fit. From then on it takes any slot.
const matchWaitShare = 0.5

// placeArrival assigns a free endpoint to a request that arrives, ahead of the queued
// ones if it may be. It returns nil if there is none. The caller holds mu.
func (d *Dispatcher) placeArrival(queue *waitQueue, job *Job, now time.Time) *Lease {
	mayBypass := d.canBypassQueue(queue, job, now)
	if !d.options.MatchSlots || job.IsRetry {
		if !mayBypass {
			return nil
		}
		return d.place(job, nil, now)
	}
	if queue.Len() == 0 && d.countContendingHosts(job.Service, now) == 0 {
		return d.place(job, nil, now)
	}
	// A slot that is still free then fits none of the queued requests.
	d.matchQueue(queue, nil, now)
	return d.placeWhere(job, arrivalDemand(job), nil, true, now)
}

// placeAnywhere assigns a free endpoint to a request that would be refused otherwise. It
// returns nil if there is none. The caller holds mu.
func (d *Dispatcher) placeAnywhere(queue *waitQueue, job *Job, now time.Time) *Lease {
	if !d.options.MatchSlots || !d.canBypassQueue(queue, job, now) {
		return nil
	}
	return d.place(job, nil, now)
}

// arrivalDemand is selectionDemand without a target that a returning caller's request
// has missed.
func arrivalDemand(job *Job) choose.Demand {
	demand := selectionDemand(job)
	if job.PreviouslyRefused {
		demand.TargetLatency = 0
	}
	return demand
}

// remainingDemand is the demand of a queued request with the time that is left.
func (p *pendingJob) remainingDemand(now time.Time) choose.Demand {
	demand, waited := selectionDemand(p.job), now.Sub(p.queuedAt)
	if p.waiter.Late || demand.TargetLatency <= waited {
		demand.TargetLatency = 0
	} else {
		demand.TargetLatency -= waited
	}
	if demand.TimeLeft > 0 {
		demand.TimeLeft = max(demand.TimeLeft-waited, time.Millisecond)
	}
	return demand
}

// isChoosy reports whether a queued request still leaves slots alone that it does not
// fit.
func (p *pendingJob) isChoosy(now time.Time) bool {
	longestWait := p.waiter.ExpiresAt.Sub(p.queuedAt)
	return now.Sub(p.queuedAt) < time.Duration(float64(longestWait)*matchWaitShare)
}

// blockUnfit blocks the candidates that the demand does not fit. If it would fit none of
// them idle, waiting is in vain, and none is blocked.
func blockUnfit(candidates []choose.Candidate, demand choose.Demand) {
	fitsSome := false
	for _, c := range candidates {
		c.Busy, c.PendingTokens = 0, 0
		if !c.Blocked && choose.Fits(c, demand) {
			fitsSome = true
			break
		}
	}
	if !fitsSome {
		return
	}
	for i, c := range candidates {
		if !choose.Fits(c, demand) {
			candidates[i].Blocked = true
		}
	}
}

// matchQueue assigns free endpoints to the queued requests that fit them, the first of
// each kind in queue order. The caller holds mu.
func (d *Dispatcher) matchQueue(queue *waitQueue, freed *fleet.Endpoint, now time.Time) {
	for queue.Len() > 0 {
		pending, lease := d.matchNext(queue, freed, now)
		if lease == nil {
			return
		}
		freed = nil
		d.grant(queue, pending, lease, now)
	}
}

// matchNext assigns an endpoint to one queued request and returns both, or a nil lease.
func (d *Dispatcher) matchNext(queue *waitQueue, freed *fleet.Endpoint, now time.Time) (*pendingJob, *Lease) {
	queue.Expire(now) // awaitLease refuses them when their timers fire
	for i, waiter := range queue.Heads() {
		pending := waiter.Data.(*pendingJob)
		isChoosy := pending.isChoosy(now)
		lease := d.placeWhere(pending.job, pending.remainingDemand(now), freed, isChoosy, now)
		if lease == nil {
			continue
		}
		if i > 0 {
			d.counters.outOfOrder.Inc(1)
		}
		if !isChoosy {
			d.counters.anySlot.Inc(1)
		}
		return pending, lease
	}
	return nil, nil
}

// grant removes a request from the queue and hands it its lease.
func (d *Dispatcher) grant(queue *waitQueue, pending *pendingJob, lease *Lease, now time.Time) {
	queue.Remove(pending.waiter)
	queue.dequeueRate.dequeued += pending.waiter.SlotTime
	d.recordServed(queue, pending.job, now)
	pending.lease = lease
	pending.result <- lease
}
