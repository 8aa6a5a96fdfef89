// Package admission decides which requests are queued for an endpoint, in which
// order, and which are refused at once. It reads no clock: the time is passed
// in.
//
// It is built for bursts of a few seconds with more work than the endpoints can
// do. A request that misses its target latency is worth little and takes the
// slot of one that could still meet it. Requests that cannot meet their target
// are therefore refused on arrival, with the delay after which they are likely
// to be served. Requests of the most urgent rank go first. The others go in the
// order of what they are worth for the time that they occupy a slot: refusing
// one long response of a low rank serves several short requests of a higher one.
// A caller that comes back after a refusal is late already, which lowers its
// worth. No kind of request starves: one that is served much less often than the
// others goes first until it is not. Requests of a team over its fair share yield to
// those of the other teams, if OverShare is set.
package admission

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Waiter is a queued request.
type Waiter struct {
	// Kind names requests that are alike.
	Kind string
	// Urgent requests go before all others while they can be on time.
	Urgent bool
	// OverShare is set if the request's team is over its fair share of slot time.
	// The request is then not urgent, goes after others of its kind and has no part in
	// what starving kinds get.
	OverShare bool
	// Value is what the request is worth for each second that it occupies a
	// slot, relative to a request of the most urgent rank that takes one second.
	Value float64
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
	// Shares tracks how often each kind of request is served.
	Shares Shares

	waiting      waiters
	lastSequence uint64
}

const (
	// rankFactor is how much more a request is worth than one of the next rank.
	rankFactor = 3
	// lateFactor is the share of its worth that a late response keeps.
	lateFactor = 0.3
)

// Value returns what a request is worth for the time that it occupies a slot,
// given the mean time of its kind. The time of the request itself does not
// count, as longer responses of a kind are worth more.
func Value(rank int, isLate bool, meanSlotTime time.Duration) float64 {
	value := math.Pow(rankFactor, -float64(rank)) / max(meanSlotTime, time.Millisecond).Seconds()
	if isLate {
		value *= lateFactor
	}
	return value
}

// isFirst reports whether the waiter goes before all that are not.
func (w *Waiter) isFirst() bool { return w.Urgent && !w.Late && !w.OverShare }

// Precedes reports whether the waiter goes before another one whatever their
// latest start times.
func (w *Waiter) Precedes(other *Waiter) bool {
	if w.isFirst() != other.isFirst() {
		return w.isFirst()
	}
	if !w.isFirst() && w.Value != other.Value {
		return w.Value > other.Value
	}
	return !w.OverShare && other.OverShare
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) {
	q.lastSequence++
	w.sequence = q.lastSequence
	heap.Push(&q.waiting, w)
}

// Peek returns the next waiter, or nil if the queue is empty.
func (q *Queue) Peek() *Waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Heads returns the next waiter of each kind, in the order of service.
func (q *Queue) Heads() []*Waiter {
	var heads waiters
	for _, w := range q.waiting {
		i := slices.IndexFunc(heads, func(head *Waiter) bool { return head.Kind == w.Kind })
		switch {
		case i < 0:
			heads = append(heads, w)
		case (waiters{w, heads[i]}).Less(0, 1):
			heads[i] = w
		}
	}
	slices.SortFunc(heads, func(a, b *Waiter) int {
		if (waiters{a, b}).Less(0, 1) {
			return -1
		}
		return 1
	})
	return heads
}

// Remove removes a waiter and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.index < 0 || w.index >= len(q.waiting) || q.waiting[w.index] != w {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	return true
}

// SlotTimeAhead returns the total slot time of the waiters that the new waiter
// does not precede.
func (q *Queue) SlotTimeAhead(w *Waiter) time.Duration {
	sum := time.Duration(0)
	for _, other := range q.waiting {
		if !w.Precedes(other) {
			sum += other.SlotTime
		}
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
	case a.Precedes(b), b.Precedes(a):
		return a.Precedes(b)
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
