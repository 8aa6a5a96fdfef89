// Package admission decides which requests wait for an endpoint, in which
// order, and which are turned away at once. It is pure: the time is passed in.
//
// The load that it answers: more work than the endpoints can do, in bursts of a
// few seconds. A request that waits past its aim is worth little and takes the
// slot of one that could still be on time, so requests that cannot be on time
// are turned away as they come, with the time at which they are likely to be
// served. The most urgent rank goes first; the others share what is left in
// the order in which they must start, so that none of them starves. A caller
// that comes back after a refusal is late already and has no further try: it is
// served when no request could still be on time, and waits longer. A late
// request of the most urgent rank is worth about as much as one of the others
// that is on time, and shares with those.
package admission

import (
	"container/heap"
	"time"
)

// Waiter is a request that waits.
type Waiter struct {
	// Urgent requests go before all others.
	Urgent bool
	// StartBy is when the request must start to be on time, ExpiresAt when it is
	// given up.
	StartBy, ExpiresAt time.Time
	// Late tells that the request cannot be on time any more.
	Late bool
	// SlotTime is the expected time that the request occupies a slot.
	SlotTime time.Duration
	// Data is the caller's own.
	Data any

	index    int
	sequence uint64
}

// Queue holds the waiters of one service. It is not safe for concurrent use.
type Queue struct {
	waiting      waiters
	lastSequence uint64
	// slotTime is the sum of the waiters' slotTime by class.
	slotTime [classCount]time.Duration
}

// class orders waiters before their other properties do.
type class int

const (
	// classUrgent holds urgent requests that can be on time.
	classUrgent class = iota
	// classShared holds other requests that can be on time, and urgent late
	// ones.
	classShared
	// classLate holds late requests that are not urgent.
	classLate
	classCount
)

func (w *Waiter) class() class {
	switch {
	case w.Late && !w.Urgent:
		return classLate
	case w.Late || !w.Urgent:
		return classShared
	}
	return classUrgent
}

// Len is the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	q.lastSequence++
	w.sequence = q.lastSequence
	heap.Push(&q.waiting, w)
	q.addSlotTime(w, w.SlotTime)
}

// Peek is the waiter that is next, or nil.
func (q *Queue) Peek() *Waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Remove takes a waiter out and reports whether it was in.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index < 0 || w.index >= len(q.waiting) || q.waiting[w.index] != w {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	q.addSlotTime(w, -w.SlotTime)
	return true
}

func (q *Queue) addSlotTime(w *Waiter, slotTime time.Duration) { q.slotTime[w.class()] += slotTime }

// SlotTimeAhead is the work that goes before a new waiter.
func (q *Queue) SlotTimeAhead(w *Waiter) time.Duration {
	sum := time.Duration(0)
	for c := classUrgent; c <= w.class(); c++ {
		sum += q.slotTime[c]
	}
	return sum
}

// Expire takes out and returns the waiters whose time is over.
func (q *Queue) Expire(now time.Time) []*Waiter {
	var expired []*Waiter
	for _, w := range q.waiting {
		if !now.Before(w.ExpiresAt) {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		q.Remove(w)
	}
	return expired
}

// waiters is a heap in the order of service.
type waiters []*Waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	a, b := w[i], w[j]
	switch {
	case a.class() != b.class():
		return a.class() < b.class()
	case !a.StartBy.Equal(b.StartBy):
		return a.StartBy.Before(b.StartBy)
	}
	return a.sequence < b.sequence
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	added := x.(*Waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*w = old[:len(old)-1]
	return last
}
