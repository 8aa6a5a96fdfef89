package admission

import (
	"math"
	"time"
)

// Demand describes a request for which no endpoint is free.
type Demand struct {
	// Kind names requests that are alike.
	Kind string
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	// TargetLatency is the time from arrival to the first response within which
	// the request has its full value. FirstResponseTime is the expected part of
	// it between the start and the first response.
	TargetLatency, FirstResponseTime time.Duration
	// AbandonTimeout is how long the caller waits for a first response.
	AbandonTimeout time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// PreviouslyRefused is set if the caller comes back after a refusal.
	PreviouslyRefused bool
	// OverShare is set if the request's team is over its fair share of slot time.
	OverShare bool
	// SlotTime is the expected time that the request occupies a slot.
	SlotTime time.Duration
	// MeanSlotTime is the mean of that time for the kind of request.
	MeanSlotTime time.Duration
}

// NewWaiter returns the waiter for a request.
func NewWaiter(demand Demand, isLate bool, queue *Queue, now time.Time) *Waiter {
	w := &Waiter{
		Kind: demand.Kind, Urgent: demand.Rank == 0, Late: isLate, OverShare: demand.OverShare, SlotTime: demand.SlotTime, index: -1,
		StartBy: now.Add(demand.TargetLatency - demand.FirstResponseTime),
		Value:   Value(demand.Rank, isLate, demand.MeanSlotTime),
	}
	if !isLate && !demand.OverShare && queue.Shares.IsStarved(demand.Kind) {
		w.Value = math.Inf(1)
	}
	return w
}

// Capacity is the throughput that this host can expect from a service's
// endpoints.
type Capacity struct {
	// Slots is the slot time available per unit of time: this host's share of
	// the usable endpoints' slots, or less if queued requests are dispatched
	// more slowly.
	Slots float64
	// Jitter is a random number in [0, 1) that spreads the callers' retries.
	Jitter float64
}

// Decision is the result of admission control.
type Decision struct {
	// Waiter is nil if the request is refused.
	Waiter *Waiter
	// PredictedWait is the predicted time until the request starts.
	PredictedWait time.Duration
	// RetryAfter is the delay after which a refused caller should try again.
	RetryAfter time.Duration
}

const (
	// usableTargetShare is the share of the target latency that queueing and
	// the first response may use. The rest allows for prediction errors.
	usableTargetShare = 0.9
	// lateAbandonShare is the share of the caller's abandon timeout or
	// remaining time that a late request may use.
	lateAbandonShare = 0.6
	// maxLateWait limits the wait of a late request: a caller whose request is
	// held in vain cannot try elsewhere.
	maxLateWait = 1500 * time.Millisecond
	// maxRetryShare is the largest retry delay as a share of the caller's
	// remaining time. Callers ignore delays of more than a third.
	maxRetryShare = 0.32
	// minRetryShare is the smallest retry delay as a share of the caller's
	// remaining time. Callers' initial timeouts differ by as much, so with a
	// smaller delay a returning caller could not be told from a new one.
	minRetryShare = 0.16
)

// Decide returns whether a request is queued or refused.
func Decide(demand Demand, queue *Queue, capacity Capacity, now time.Time) Decision {
	w := NewWaiter(demand, false, queue, now)
	decision := Decision{PredictedWait: queue.predictWait(w, capacity, now)}
	waitBudget := time.Duration(float64(demand.TargetLatency)*usableTargetShare) - demand.FirstResponseTime
	isUnattainable := waitBudget <= 0
	if !demand.PreviouslyRefused && decision.PredictedWait <= waitBudget {
		w.ExpiresAt = now.Add(waitBudget + demand.FirstResponseTime/2)
		decision.Waiter = w
		return decision
	}
	w = NewWaiter(demand, true, queue, now)
	decision.PredictedWait = queue.predictWait(w, capacity, now)
	lateWait := min(time.Duration(float64(min(demand.AbandonTimeout, demand.TimeLeft))*lateAbandonShare)-demand.FirstResponseTime, maxLateWait)
	if (demand.PreviouslyRefused || isUnattainable && w.Urgent) && decision.PredictedWait <= lateWait {
		w.ExpiresAt = now.Add(lateWait)
		decision.Waiter = w
		return decision
	}
	decision.RetryAfter = RetryDelay(demand.TimeLeft, decision.PredictedWait, capacity.Jitter)
	return decision
}

// minRemainingCapacity is the least share of the capacity that is expected to
// remain for a waiter whatever precedes it.
const minRemainingCapacity = 0.1

// predictWait returns the predicted time until a new waiter is served. Requests
// that precede it will go on arriving and take the part of the capacity that they
// took lately.
func (q *Queue) predictWait(w *Waiter, capacity Capacity, now time.Time) time.Duration {
	slots := capacity.Slots * max(1-q.Shares.precedingWork(w, now), minRemainingCapacity)
	if slots <= 0 {
		return time.Hour
	}
	return time.Duration(float64(q.SlotTimeAhead(w)+w.SlotTime) / slots)
}

// RetryDelay returns when a refused caller should try again: spread evenly
// between the time at which the current queue is done and the latest time that
// callers comply with.
func RetryDelay(timeLeft, predictedWait time.Duration, jitter float64) time.Duration {
	latest := time.Duration(float64(timeLeft) * maxRetryShare)
	earliest := min(max(predictedWait, time.Duration(float64(timeLeft)*minRetryShare)), latest*3/4)
	return earliest + time.Duration(jitter*float64(latest-earliest))
}
