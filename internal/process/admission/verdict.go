package admission

import "time"

// Demand is a request that no endpoint is free for.
type Demand struct {
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Aim is the time from the request's arrival to its first answer within
	// which it has its full value, FirstAnswer the expected part of it that
	// passes after the start.
	Aim, FirstAnswer time.Duration
	// Patience is how long the caller waits for a first answer.
	Patience time.Duration
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Returned tells that the caller was refused before.
	Returned bool
	// Work is the expected time that the request occupies a slot.
	Work time.Duration
}

// Supply is what this host can count on.
type Supply struct {
	// Slots is the work that this host can have done in a unit of time: its
	// part of the slots of usable endpoints, or less.
	Slots float64
	// Draw is uniform in [0, 1) and spreads the callers' returns.
	Draw float64
}

// Verdict is what to do with a demand.
type Verdict struct {
	// Waiter is nil if the request is refused.
	Waiter *Waiter
	// Wait is the predicted time to the start.
	Wait time.Duration
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

const (
	// safety is the part of the aim that waiting and the first answer may
	// use; predictions err.
	safety = 0.9
	// latePatience is the part of the caller's patience for which a late
	// request may wait.
	latePatience = 0.6
	// lateMost bounds the wait of a late request: holding one that is not
	// served keeps its caller from turning elsewhere.
	lateMost = 1500 * time.Millisecond
	// returnPart is the part of its time left that a caller may be told to
	// wait; callers ignore more than a third.
	returnPart = 0.32
	// returnLeast is the part of its time left that a caller is told to wait at
	// least: callers differ by as much in how long they wait at first, so that
	// one that comes back can be told from one that is new.
	returnLeast = 0.16
)

// Decide says whether a request waits.
func Decide(d Demand, q *Queue, s Supply, now time.Time) Verdict {
	w := &Waiter{
		Urgent: d.Rank == 0, Work: d.Work, index: -1,
		StartBy: now.Add(d.Aim - d.FirstAnswer),
	}
	v := Verdict{Wait: wait(q.Ahead(w)+d.Work, s)}
	budget := time.Duration(float64(d.Aim)*safety) - d.FirstAnswer
	hopeless := budget <= 0
	if !d.Returned && v.Wait <= budget {
		w.Until = now.Add(budget + d.FirstAnswer/2)
		v.Waiter = w
		return v
	}
	w.Late = true
	v.Wait = wait(q.Ahead(w)+d.Work, s)
	late := min(time.Duration(float64(min(d.Patience, d.Left))*latePatience)-d.FirstAnswer, lateMost)
	if (d.Returned || hopeless && w.Urgent) && v.Wait <= late {
		w.Until = now.Add(late)
		v.Waiter = w
		return v
	}
	v.RetryAfter = Return(d.Left, v.Wait, s.Draw)
	return v
}

// wait is the predicted time until the supply has done work.
func wait(work time.Duration, s Supply) time.Duration {
	if s.Slots <= 0 {
		return time.Hour
	}
	return time.Duration(float64(work) / s.Slots)
}

// Return is when a refused caller should come back: spread evenly between the
// time at which the present queue is done and the latest time that callers
// keep to.
func Return(left, wait time.Duration, draw float64) time.Duration {
	latest := time.Duration(float64(left) * returnPart)
	first := min(max(wait, time.Duration(float64(left)*returnLeast)), latest*3/4)
	return first + time.Duration(draw*float64(latest-first))
}
