package slot

import (
	"math"
	"sync/atomic"
	"time"

	"mustarddoor/internal/request/tier"
)

// LocalSlots is the part of a holder that requests touch. Its methods are safe for
// concurrent use and take no lock.
type LocalSlots struct {
	epoch time.Time
	state atomic.Uint64
	// expiry is when the grant lapses, in nanoseconds since base.
	expiry atomic.Int64
	// used counts by tier. It is never below the true number.
	used [tier.Max]atomic.Int32
	// windowMin and prevWindowMin are the least number of slots in use in this window
	// and the one before.
	windowMin, prevWindowMin atomic.Int32
}

// slotState is the unpacked form of Hand.state.
type slotState struct {
	allowed uint16
	used    uint16
	idle    uint16
	floor   tier.Tier
}

func unpack(bits uint64) slotState {
	return slotState{
		allowed: uint16(bits),
		used:    uint16(bits >> 16),
		idle:    uint16(bits >> 32),
		floor:   tier.Tier(bits >> 48),
	}
}

func (s slotState) pack() uint64 {
	return uint64(s.allowed) | uint64(s.used)<<16 | uint64(s.idle)<<32 | uint64(s.floor)<<48
}

// update applies change until no other update came between.
func (l *LocalSlots) update(change func(*slotState) bool) bool {
	for {
		bits := l.state.Load()
		state := unpack(bits)
		if !change(&state) {
			return false
		}
		if l.state.CompareAndSwap(bits, state.pack()) {
			return true
		}
	}
}

// HasFree reports whether a request of tier t could take a slot now.
func (l *LocalSlots) HasFree(now time.Time, t tier.Tier) bool {
	state := unpack(l.state.Load())
	return state.used < state.allowed && t <= state.floor && now.Before(l.Expiry())
}

// TryAcquire takes a slot for a request of tier t, if the grant allows it.
func (l *LocalSlots) TryAcquire(now time.Time, t tier.Tier) bool {
	if !now.Before(l.Expiry()) {
		return false
	}
	l.used[t].Add(1)
	acquired := l.update(func(s *slotState) bool {
		if s.used >= s.allowed || t > s.floor {
			return false
		}
		s.used++
		return true
	})
	if !acquired {
		l.used[t].Add(-1)
	}
	return acquired
}

// Release ends the use of a slot for a request of tier t. The slot goes back to
// the home unless the grant lets the holder keep it.
func (l *LocalSlots) Release(t tier.Tier) {
	used := uint16(0)
	l.update(func(s *slotState) bool {
		s.used--
		used = s.used
		if s.allowed > s.used+s.idle {
			s.allowed = max(s.allowed-1, s.used)
		}
		return true
	})
	l.used[t].Add(-1)
	l.updateWindowMin(int32(used))
}

// updateWindowMin keeps the least number of slots in use.
func (l *LocalSlots) updateWindowMin(used int32) {
	for {
		current := l.windowMin.Load()
		if used >= current || l.windowMin.CompareAndSwap(current, used) {
			return
		}
	}
}

// startWindow begins a new window.
func (l *LocalSlots) startWindow() {
	l.prevWindowMin.Store(l.windowMin.Swap(math.MaxInt32))
	l.updateWindowMin(int32(l.Used()))
}

// minUsed is the minUsed number of slots in use in the last two windows.
func (l *LocalSlots) minUsed() int { return int(min(l.windowMin.Load(), l.prevWindowMin.Load())) }

// ReleaseUnused gives back all unused slots beyond keep. It returns false if there
// are none.
func (l *LocalSlots) ReleaseUnused(keep int) bool {
	return l.update(func(s *slotState) bool {
		kept := s.used + uint16(keep)
		if s.allowed <= kept {
			return false
		}
		s.allowed = kept
		return true
	})
}

// Expiry is when the grant lapses.
func (l *LocalSlots) Expiry() time.Time { return l.epoch.Add(time.Duration(l.expiry.Load())) }

// Used is how many slots are in use.
func (l *LocalSlots) Used() int { return int(unpack(l.state.Load()).used) }

// Allowed is how many slots the holder considers its own.
func (l *LocalSlots) Allowed() int { return int(unpack(l.state.Load()).allowed) }

// Unused is how many slots are free.
func (l *LocalSlots) Unused() int {
	state := unpack(l.state.Load())
	return int(state.allowed) - min(int(state.used), int(state.allowed))
}

// usedByTier copies the counts.
func (l *LocalSlots) usedByTier() tier.Counts {
	var counts tier.Counts
	for t := range l.used {
		counts[t] = uint16(max(l.used[t].Load(), 0))
	}
	return counts
}

// LowerFloor keeps the holder from starting requests of a lower tier than t
// until its next grant.
func (l *LocalSlots) LowerFloor(t tier.Tier) {
	l.update(func(s *slotState) bool {
		if s.floor <= t {
			return false
		}
		s.floor = t
		return true
	})
}
