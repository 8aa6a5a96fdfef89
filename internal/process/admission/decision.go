package admission

import "time"

// Demand is a request that no endpoint is free for.
type Demand struct {
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// TargetLatency is the time from the request's arrival to its first answer within
	// which it has its full value, FirstResponseTime the expected part of it that
	// passes after the start.
	TargetLatency, FirstResponseTime time.Duration
	// AbandonTimeout is how long the caller waits for a first answer.
	AbandonTimeout time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// PreviouslyRefused tells that the caller was refused before.
	PreviouslyRefused bool
	// SlotTime is the expected time that the request occupies a slot.
	SlotTime time.Duration
}

// Capacity is what this host can count on.
type Capacity struct {
	// Slots is the work that this host can have done in a unit of time: its
	// part of the slots of usable endpoints, or less.
	Slots float64
	// Jitter is uniform in [0, 1) and spreads the callers' returns.
	Jitter float64
}

// Decision is what to do with a demand.
type Decision struct {
	// Waiter is nil if the request is refused.
	Waiter *Waiter
	// PredictedWait is the predicted time to the start.
	PredictedWait time.Duration
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

const (
	// usableTargetShare is the part of the aim that waiting and the first answer may
	// use; predictions err.
	usableTargetShare = 0.9
	// lateAbandonShare is the part of the caller's patience for which a late
	// request may wait.
	lateAbandonShare = 0.6
	// maxLateWait bounds the wait of a late request: holding one that is not
	// served keeps its caller from turning elsewhere.
	maxLateWait = 1500 * time.Millisecond
	// maxRetryShare is the part of its time left that a caller may be told to
	// wait; callers ignore more than a third.
	maxRetryShare = 0.32
	// minRetryShare is the part of its time left that a caller is told to wait at
	// least: callers differ by as much in how long they wait at first, so that
	// one that comes back can be told from one that is new.
	minRetryShare = 0.16
)

// Decide says whether a request waits.
func Decide(demand Demand, queue *Queue, capacity Capacity, now time.Time) Decision {
	w := &Waiter{
		Urgent: demand.Rank == 0, SlotTime: demand.SlotTime, index: -1,
		StartBy: now.Add(demand.TargetLatency - demand.FirstResponseTime),
	}
	decision := Decision{PredictedWait: predictWait(queue.SlotTimeAhead(w)+demand.SlotTime, capacity)}
	waitBudget := time.Duration(float64(demand.TargetLatency)*usableTargetShare) - demand.FirstResponseTime
	isUnattainable := waitBudget <= 0
	if !demand.PreviouslyRefused && decision.PredictedWait <= waitBudget {
		w.ExpiresAt = now.Add(waitBudget + demand.FirstResponseTime/2)
		decision.Waiter = w
		return decision
	}
	w.Late = true
	decision.PredictedWait = predictWait(queue.SlotTimeAhead(w)+demand.SlotTime, capacity)
	lateWait := min(time.Duration(float64(min(demand.AbandonTimeout, demand.TimeLeft))*lateAbandonShare)-demand.FirstResponseTime, maxLateWait)
	if (demand.PreviouslyRefused || isUnattainable && w.Urgent) && decision.PredictedWait <= lateWait {
		w.ExpiresAt = now.Add(lateWait)
		decision.Waiter = w
		return decision
	}
	decision.RetryAfter = RetryDelay(demand.TimeLeft, decision.PredictedWait, capacity.Jitter)
	return decision
}

// predictWait is the predicted time until the supply has done work.
func predictWait(slotTime time.Duration, capacity Capacity) time.Duration {
	if capacity.Slots <= 0 {
		return time.Hour
	}
	return time.Duration(float64(slotTime) / capacity.Slots)
}

// RetryDelay is when a refused caller should come back: spread evenly between the
// time at which the present queue is done and the latest time that callers
// keep to.
func RetryDelay(timeLeft, predictedWait time.Duration, jitter float64) time.Duration {
	latest := time.Duration(float64(timeLeft) * maxRetryShare)
	earliest := min(max(predictedWait, time.Duration(float64(timeLeft)*minRetryShare)), latest*3/4)
	return earliest + time.Duration(jitter*float64(latest-earliest))
}
