package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/fleet"
)

// awaitLease blocks until the queued request gets a lease, expires or is
// canceled.
func (d *Dispatcher) awaitLease(ctx context.Context, queue *waitQueue, pending *pendingJob, queuedAt time.Time, decision admission.Decision) (*Lease, error) {
	timer := time.NewTimer(time.Until(pending.waiter.ExpiresAt))
	defer timer.Stop()
	select {
	case lease := <-pending.result:
		lease.QueueWait = time.Since(queuedAt)
		return lease, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	lease := d.leaveQueue(queue, pending, ctx.Err() == nil)
	if ctx.Err() != nil {
		if lease != nil {
			lease.Release(fleet.ResultNeutral)
		}
		return nil, ErrCanceled
	}
	if lease != nil {
		lease.QueueWait = time.Since(queuedAt)
		return lease, nil
	}
	timeLeft := pending.job.TimeLeft - time.Since(queuedAt)
	return nil, &Refusal{
		Reason: ReasonExpired, QueueWait: time.Since(queuedAt), PredictedWait: decision.PredictedWait,
		RetryAfter: admission.RetryDelay(timeLeft, 0, rand.Float64()),
	}
}

// leaveQueue removes a request whose wait has ended from the queue, and returns its
// lease, if any. An endpoint that has become available since the queue was last served
// is still assigned to a request that is next and whose caller waits.
func (d *Dispatcher) leaveQueue(queue *waitQueue, pending *pendingJob, isAwaited bool) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pending.lease == nil && isAwaited && queue.Peek() == pending.waiter {
		now := time.Now()
		if lease := d.place(pending.job, nil, now); lease != nil {
			d.grant(queue, pending, lease, now)
		}
	}
	queue.Remove(pending.waiter)
	return pending.lease
}
