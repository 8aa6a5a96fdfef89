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
	self  identity.Incarnation
	clock *hlc.Clock
	last  atomic.Uint64
	slots []atomic.Pointer[Event]
}

// NewRing makes a ring for a number of events, DefaultCapacity if zero.
func NewRing(self identity.Incarnation, clock *hlc.Clock, capacity int) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{self: self, clock: clock, slots: make([]atomic.Pointer[Event], capacity)}
}

// Record implements Recorder. It sets the event's stamp, host and sequence.
func (r *Ring) Record(event Event) {
	event.Host = r.self
	event.Sequence = r.last.Add(1)
	event.Stamp = r.clock.Now()
	r.slots[event.Sequence%uint64(len(r.slots))].Store(&event)
}

// Slice gives the recorded events that pass the filter, oldest first, from
// after the sequence number on, at most limit.
func (r *Ring) Slice(filter Filter, after uint64, limit int) Slice {
	last := r.last.Load()
	oldest := r.oldest(last)
	slice := Slice{Host: r.self, Dropped: oldest - 1, Next: last}
	for sequence := max(oldest, after+1); sequence <= last; sequence++ {
		event := r.at(sequence)
		if event == nil || !filter.Matches(event) {
			continue
		}
		slice.Events = append(slice.Events, *event)
		if len(slice.Events) == limit && sequence < last {
			slice.Next = sequence
			slice.More = true
			return slice
		}
	}
	return slice
}

// Before gives the sequence number after which a number of events pass the
// filter, or all if there are fewer.
func (r *Ring) Before(filter Filter, newest int) uint64 {
	last := r.last.Load()
	oldest := r.oldest(last)
	for sequence := last; sequence >= oldest; sequence-- {
		event := r.at(sequence)
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

// oldest is the sequence number of the oldest event that the ring still has.
func (r *Ring) oldest(last uint64) uint64 {
	if capacity := uint64(len(r.slots)); last > capacity {
		return last - capacity + 1
	}
	return 1
}

// at gives the event with a sequence number, or nil if it is gone or not yet
// written.
func (r *Ring) at(sequence uint64) *Event {
	event := r.slots[sequence%uint64(len(r.slots))].Load()
	if event == nil || event.Sequence != sequence {
		return nil
	}
	return event
}
