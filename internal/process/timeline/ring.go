package timeline

import (
	"sync/atomic"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// DefaultCapacity is the default number of events that a ring keeps.
const DefaultCapacity = 1 << 14

// Ring is a ring buffer of the newest events of a process. It is lock-free and
// implements Recorder.
type Ring struct {
	self         identity.Incarnation
	clock        *hlc.Clock
	lastSequence atomic.Uint64
	events       []atomic.Pointer[Event]
}

// NewRing returns a ring that keeps capacity events, or DefaultCapacity if
// capacity is not positive.
func NewRing(self identity.Incarnation, clock *hlc.Clock, capacity int) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{self: self, clock: clock, events: make([]atomic.Pointer[Event], capacity)}
}

// Record implements Recorder. It sets the stamp, host and sequence number of the
// event.
func (r *Ring) Record(event Event) {
	event.Host = r.self
	event.Sequence = r.lastSequence.Add(1)
	event.Stamp = r.clock.Now()
	r.events[event.Sequence%uint64(len(r.events))].Store(&event)
}

// Page returns at most limit recorded events that match the filter, oldest
// first, starting after a sequence number.
func (r *Ring) Page(filter Filter, after uint64, limit int) Page {
	last := r.lastSequence.Load()
	oldest := r.oldestSequence(last)
	page := Page{Host: r.self, Dropped: oldest - 1, Next: last}
	for sequence := max(oldest, after+1); sequence <= last; sequence++ {
		event := r.eventAt(sequence)
		if event == nil || !filter.Matches(event) {
			continue
		}
		page.Events = append(page.Events, *event)
		if len(page.Events) == limit && sequence < last {
			page.Next = sequence
			page.More = true
			return page
		}
	}
	return page
}

// SequenceBeforeNewest returns the sequence number after which exactly newest
// recorded events match the filter, or the one before the oldest event if fewer
// match.
func (r *Ring) SequenceBeforeNewest(filter Filter, newest int) uint64 {
	last := r.lastSequence.Load()
	oldest := r.oldestSequence(last)
	for sequence := last; sequence >= oldest; sequence-- {
		event := r.eventAt(sequence)
		if event == nil || !filter.Matches(event) {
			continue
		}
		if newest == 0 {
			return sequence
		}
		newest--
	}
	return oldest - 1
}

// oldestSequence returns the sequence number of the oldest event in the ring.
func (r *Ring) oldestSequence(last uint64) uint64 {
	if capacity := uint64(len(r.events)); last > capacity {
		return last - capacity + 1
	}
	return 1
}

// eventAt returns the event with a sequence number, or nil if it has been
// overwritten or is not yet written.
func (r *Ring) eventAt(sequence uint64) *Event {
	event := r.events[sequence%uint64(len(r.events))].Load()
	if event == nil || event.Sequence != sequence {
		return nil
	}
	return event
}
