// Package admission decides which requests are queued for an endpoint, in which
// order, and which are refused at once. It reads no clock: the time is passed
// in.
//
// It is built for bursts of a few seconds with more work than the endpoints can
// do. A request that misses its target latency is worth little and takes the
// slot of one that could still meet it. Requests that cannot meet their target
// are therefore refused on arrival, with the delay after which they are likely
// to be served. Requests of the most urgent rank go first. The others share the
// remaining capacity in the order of their latest start times, so that no rank
// starves. A caller that comes back after a refusal is late already and will
// not try again: it is served when no queued request can still be on time, and
// may wait longer. A late request of the most urgent rank is worth about as
// much as an on-time request of another rank and is ordered among those.
package admission

import (
	"container/heap"
	"time"
)

// Waiter is a queued request.
type Waiter struct {
	// Urgent requests go before all others while they can be on time.
	Urgent bool
	// StartBy is the latest start for the request to be on time, ExpiresAt the
	// time at which it leaves the queue unserved.
	StartBy, ExpiresAt time.Time
	// Late is set if the request can no longer be on time.
	Late bool
	// SlotTime is the expected time that the request occupies a slot.
	SlotTime time.Duration
	// Data is for use by the caller of this package.
	Data any

	index    int
	sequence uint64
}

// Queue is the priority queue of one service. It is not safe for concurrent
// use.
type Queue struct {
	waiting      waiters
	lastSequence uint64
	// slotTime is the total slot time of the waiters, by class.
	slotTime [classCount]time.Duration
}

// class is the first sort key of the queue.
type class int

const (
	// classUrgent holds urgent requests that can be on time.
	classUrgent class = iota
	// classShared holds other requests that can be on time, and late urgent
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

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	q.lastSequence++
	w.sequence = q.lastSequence
	heap.Push(&q.waiting, w)
	q.addSlotTime(w, w.SlotTime)
}

// Peek returns the next waiter, or nil if the queue is empty.
func (q *Queue) Peek() *Waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Remove removes a waiter and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index < 0 || w.index >= len(q.waiting) || q.waiting[w.index] != w {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	q.addSlotTime(w, -w.SlotTime)
	return true
}

func (q *Queue) addSlotTime(w *Waiter, slotTime time.Duration) { q.slotTime[w.class()] += slotTime }

// SlotTimeAhead returns the total slot time of the waiters in the new waiter's
// class and those before it.
func (q *Queue) SlotTimeAhead(w *Waiter) time.Duration {
	sum := time.Duration(0)
	for c := classUrgent; c <= w.class(); c++ {
		sum += q.slotTime[c]
	}
	return sum
}

// Expire removes and returns the waiters whose ExpiresAt has passed.
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

// waiters implements heap.Interface in the order of service.
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
