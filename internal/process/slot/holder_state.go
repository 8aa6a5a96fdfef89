package slot

import (
	"slices"
	"time"

	"mustarddoor/internal/request/tier"
)

const (
	// MaxHolders bounds the holders of one endpoint.
	MaxHolders = 64
	// maxOutstanding bounds the grants that are remembered for each holder
	// until it acknowledges them.
	maxOutstanding = 8
	// maxSampleAge is how long a load report is of use; holders' reports look
	// back further.
	maxSampleAge = MinUsedWindow - time.Second
)

// pendingGrant is a grant that its holder may not have seen.
type pendingGrant struct {
	number  uint64
	slots   int
	unused  int
	maxIdle int
	floor   tier.Tier
}

// holderState is what a ledger knows of one holder.
type holderState struct {
	report Report
	// grants are those after the last acknowledged one, with it first.
	grants []pendingGrant
	expiry time.Time
	// expired tells that the holder can start nothing any more. What it may
	// have started counts until the endpoint's load shows that it is gone.
	expired  bool
	orphaned int
}

// acknowledge forgets the grants before the one that the holder has applied.
func (h *holderState) acknowledge(number uint64) {
	h.grants = slices.DeleteFunc(h.grants, func(g pendingGrant) bool { return g.number < number })
}

// expire marks the holder as unable to start anything.
func (h *holderState) expire(now time.Time) {
	if h.expired {
		return
	}
	h.orphaned = h.maxSlots()
	h.expired = true
	h.expiry = now
}

// maxSlots is the most slots that the holder may use now or later.
func (h *holderState) maxSlots() int {
	if h.expired {
		return h.orphaned
	}
	slots := h.report.Allowed
	for _, g := range h.grants {
		if g.number > h.report.Grant {
			slots = max(slots, g.slots)
		}
	}
	return slots
}

// maxIdle is how many unused slots the holder may keep when requests end.
func (h *holderState) maxIdle() int {
	idle := 0
	for _, g := range h.grants {
		idle = max(idle, g.maxIdle)
	}
	return idle
}

// maxUnused is the most slots that the holder may have maxUnused, now or later.
func (h *holderState) maxUnused() int {
	unused := max(h.report.Allowed-h.report.Used.Sum(), h.maxIdle())
	for _, g := range h.grants {
		if g.number > h.report.Grant {
			unused = max(unused, g.unused)
		}
	}
	return unused
}

// mayStartBelow tells whether the holder may start a request of a lower tier than t
// without a further grant.
func (h *holderState) mayStartBelow(t tier.Tier) bool {
	if h.expired {
		return false
	}
	floor := tier.Tier(0)
	for _, g := range h.grants {
		floor = max(floor, g.floor)
	}
	return floor > t && (h.maxIdle() > 0 || h.maxSlots() > h.report.Used.Sum())
}

// needsGrant tells whether a holder must hear of its standing.
func (h *holderState) needsGrant(target int, floor tier.Tier) bool {
	if len(h.grants) == 0 {
		return true
	}
	last := h.grants[len(h.grants)-1]
	if target != h.maxSlots() {
		return last.slots != target
	}
	return last.floor > floor && h.mayStartBelow(floor)
}

// recordGrant adds a grant; when there are too many, the oldest two become one
// that covers both.
func (h *holderState) recordGrant(g pendingGrant) {
	h.grants = append(h.grants, g)
	if len(h.grants) <= maxOutstanding {
		return
	}
	h.grants[1].slots = max(h.grants[0].slots, h.grants[1].slots)
	h.grants[1].unused = max(h.grants[0].unused, h.grants[1].unused)
	h.grants[1].maxIdle = max(h.grants[0].maxIdle, h.grants[1].maxIdle)
	h.grants[1].floor = max(h.grants[0].floor, h.grants[1].floor)
	h.grants = slices.Delete(h.grants, 0, 1)
}
