package timeline

import (
	"sync/atomic"

	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// DefaultCapacity is how many events a ring keeps.
const DefaultCapacity = 1 << 14

// Ring keeps the newest events of a process. It implements Recorder without
// locks.
type Ring struct {
	self         identity.Incarnation
	clock        *hlc.Clock
	lastSequence atomic.Uint64
	events       []atomic.Pointer[Event]
}

// NewRing makes a ring for a number of events, DefaultCapacity if zero.
func NewRing(self identity.Incarnation, clock *hlc.Clock, capacity int) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{self: self, clock: clock, events: make([]atomic.Pointer[Event], capacity)}
}

// Record implements Recorder. It sets the event's stamp, host and sequence.
func (r *Ring) Record(event Event) {
	event.Host = r.self
	event.Sequence = r.lastSequence.Add(1)
	event.Stamp = r.clock.Now()
	r.events[event.Sequence%uint64(len(r.events))].Store(&event)
}

// Page gives the recorded events that pass the filter, oldest first, from
// after the sequence number on, at most limit.
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

// SequenceBeforeNewest gives the sequence number after which a number of events pass the
// filter, or all if there are fewer.
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

// oldestSequence is the sequence number of the oldestSequence event that the ring still has.
func (r *Ring) oldestSequence(last uint64) uint64 {
	if capacity := uint64(len(r.events)); last > capacity {
		return last - capacity + 1
	}
	return 1
}

// eventAt gives the event with a sequence number, or nil if it is gone or not yet
// written.
func (r *Ring) eventAt(sequence uint64) *Event {
	event := r.events[sequence%uint64(len(r.events))].Load()
	if event == nil || event.Sequence != sequence {
		return nil
	}
	return event
}
