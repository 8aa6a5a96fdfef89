package slot

import (
	"math"
	"sync/atomic"
	"time"

	"mustarddoor/internal/request/tier"
)

// LocalSlots holds the slots that are granted to this host. It is the part of a
// Holder on the request path: its methods are lock-free and safe for concurrent
// use.
type LocalSlots struct {
	epoch time.Time
	// state is a packed slotState.
	state atomic.Uint64
	// expiry is when the grant expires, in nanoseconds since epoch.
	expiry atomic.Int64
	// used counts the slots in use by tier. It is never below the true number.
	used [tier.Max]atomic.Int32
	// windowMin and prevWindowMin are the minimum numbers of slots in use in
	// the current and the previous window.
	windowMin, prevWindowMin atomic.Int32
}

// slotState is the unpacked form of LocalSlots.state.
type slotState struct {
	allowed uint16
	used    uint16
	maxIdle uint16
	floor   tier.Tier
}

func unpack(bits uint64) slotState {
	return slotState{
		allowed: uint16(bits),
		used:    uint16(bits >> 16),
		maxIdle: uint16(bits >> 32),
		floor:   tier.Tier(bits >> 48),
	}
}

func (s slotState) pack() uint64 {
	return uint64(s.allowed) | uint64(s.used)<<16 | uint64(s.maxIdle)<<32 | uint64(s.floor)<<48
}

// update applies change atomically, retrying if another update intervened. It
// returns false if change does.
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

// HasFree reports whether a request of tier t could acquire a slot now.
func (l *LocalSlots) HasFree(now time.Time, t tier.Tier) bool {
	state := unpack(l.state.Load())
	return state.used < state.allowed && t <= state.floor && now.Before(l.Expiry())
}

// TryAcquire acquires a slot for a request of tier t, if the grant allows it.
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

// Release releases the slot of a request of tier t. The slot goes back to the
// home unless the grant lets the holder keep it.
func (l *LocalSlots) Release(t tier.Tier) {
	used := uint16(0)
	l.update(func(s *slotState) bool {
		s.used--
		used = s.used
		if s.allowed > s.used+s.maxIdle {
			s.allowed = max(s.allowed-1, s.used)
		}
		return true
	})
	l.used[t].Add(-1)
	l.updateWindowMin(int32(used))
}

// updateWindowMin lowers the minimum of the current window to used.
func (l *LocalSlots) updateWindowMin(used int32) {
	for {
		current := l.windowMin.Load()
		if used >= current || l.windowMin.CompareAndSwap(current, used) {
			return
		}
	}
}

// startWindow starts a new window.
func (l *LocalSlots) startWindow() {
	l.prevWindowMin.Store(l.windowMin.Swap(math.MaxInt32))
	l.updateWindowMin(int32(l.Used()))
}

// minUsed returns the minimum number of slots in use in the last two windows.
func (l *LocalSlots) minUsed() int { return int(min(l.windowMin.Load(), l.prevWindowMin.Load())) }

// ReleaseUnused gives back all unused slots beyond keep. It returns false if
// there are none.
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

// Expiry returns when the grant expires.
func (l *LocalSlots) Expiry() time.Time { return l.epoch.Add(time.Duration(l.expiry.Load())) }

// Used returns the number of slots in use.
func (l *LocalSlots) Used() int { return int(unpack(l.state.Load()).used) }

// Allowed returns the number of slots that the holder may use.
func (l *LocalSlots) Allowed() int { return int(unpack(l.state.Load()).allowed) }

// Unused returns the number of free slots.
func (l *LocalSlots) Unused() int {
	state := unpack(l.state.Load())
	return int(state.allowed) - min(int(state.used), int(state.allowed))
}

// usedByTier returns the number of slots in use by tier.
func (l *LocalSlots) usedByTier() tier.Counts {
	var counts tier.Counts
	for t := range l.used {
		counts[t] = uint16(max(l.used[t].Load(), 0))
	}
	return counts
}

// LowerFloor stops the holder from starting requests of a lower tier than t
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
