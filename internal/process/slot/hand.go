package slot

import (
	"math"
	"sync/atomic"
	"time"

	"mustarddoor/internal/request/tier"
)

// Hand is the part of a holder that requests touch. Its methods are safe for
// concurrent use and take no lock.
type Hand struct {
	base  time.Time
	state atomic.Uint64
	// lapse is when the grant lapses, in nanoseconds since base.
	lapse atomic.Int64
	// used counts by tier. It is never below the true number.
	used [tier.Max]atomic.Int32
	// low and lowBefore are the least number of slots in use in this window
	// and the one before.
	low, lowBefore atomic.Int32
}

// handState is the unpacked form of Hand.state.
type handState struct {
	allowed uint16
	used    uint16
	idle    uint16
	floor   tier.Tier
}

func unpack(bits uint64) handState {
	return handState{
		allowed: uint16(bits),
		used:    uint16(bits >> 16),
		idle:    uint16(bits >> 32),
		floor:   tier.Tier(bits >> 48),
	}
}

func (s handState) pack() uint64 {
	return uint64(s.allowed) | uint64(s.used)<<16 | uint64(s.idle)<<32 | uint64(s.floor)<<48
}

// update applies change until no other update came between.
func (h *Hand) update(change func(*handState) bool) bool {
	for {
		bits := h.state.Load()
		state := unpack(bits)
		if !change(&state) {
			return false
		}
		if h.state.CompareAndSwap(bits, state.pack()) {
			return true
		}
	}
}

// HasFree reports whether a request of tier t could take a slot now.
func (h *Hand) HasFree(now time.Time, t tier.Tier) bool {
	state := unpack(h.state.Load())
	return state.used < state.allowed && t <= state.floor && now.Before(h.Lapse())
}

// TryAcquire takes a slot for a request of tier t, if the grant allows it.
func (h *Hand) TryAcquire(now time.Time, t tier.Tier) bool {
	if !now.Before(h.Lapse()) {
		return false
	}
	h.used[t].Add(1)
	taken := h.update(func(s *handState) bool {
		if s.used >= s.allowed || t > s.floor {
			return false
		}
		s.used++
		return true
	})
	if !taken {
		h.used[t].Add(-1)
	}
	return taken
}

// Release ends the use of a slot for a request of tier t. The slot goes back to
// the home unless the grant lets the holder keep it.
func (h *Hand) Release(t tier.Tier) {
	used := uint16(0)
	h.update(func(s *handState) bool {
		s.used--
		used = s.used
		if s.allowed > s.used+s.idle {
			s.allowed = max(s.allowed-1, s.used)
		}
		return true
	})
	h.used[t].Add(-1)
	h.noteLow(int32(used))
}

// noteLow keeps the least number of slots in use.
func (h *Hand) noteLow(used int32) {
	for {
		low := h.low.Load()
		if used >= low || h.low.CompareAndSwap(low, used) {
			return
		}
	}
}

// turnLow begins a new window.
func (h *Hand) turnLow() {
	h.lowBefore.Store(h.low.Swap(math.MaxInt32))
	h.noteLow(int32(h.Used()))
}

// least is the least number of slots in use in the last two windows.
func (h *Hand) least() int { return int(min(h.low.Load(), h.lowBefore.Load())) }

// Surrender gives back all unused slots beyond keep. It returns false if there
// are none.
func (h *Hand) Surrender(keep int) bool {
	return h.update(func(s *handState) bool {
		kept := s.used + uint16(keep)
		if s.allowed <= kept {
			return false
		}
		s.allowed = kept
		return true
	})
}

// Lapse is when the grant lapses.
func (h *Hand) Lapse() time.Time { return h.base.Add(time.Duration(h.lapse.Load())) }

// Used is how many slots are in use.
func (h *Hand) Used() int { return int(unpack(h.state.Load()).used) }

// Allowed is how many slots the holder considers its own.
func (h *Hand) Allowed() int { return int(unpack(h.state.Load()).allowed) }

// Unused is how many slots are free.
func (h *Hand) Unused() int {
	state := unpack(h.state.Load())
	return int(state.allowed) - min(int(state.used), int(state.allowed))
}

// usedByTier copies the counts.
func (h *Hand) usedByTier() tier.Counts {
	var counts tier.Counts
	for t := range h.used {
		counts[t] = uint16(max(h.used[t].Load(), 0))
	}
	return counts
}

// LowerFloor keeps the holder from starting requests of a lower tier than t
// until its next grant.
func (h *Hand) LowerFloor(t tier.Tier) {
	h.update(func(s *handState) bool {
		if s.floor <= t {
			return false
		}
		s.floor = t
		return true
	})
}
