package slot

import (
	"slices"
	"time"

	"mustarddoor/internal/request/tier"
)

const (
	// MaxHolders is the maximum number of holders of one endpoint.
	MaxHolders = 64
	// maxPendingGrants is the maximum number of grants recorded for each holder
	// until it acknowledges them.
	maxPendingGrants = 8
	// maxSampleAge is how long a load report can be used. It is shorter than
	// the window of the holders' reports, which must cover the time of the load
	// report.
	maxSampleAge = MinUsedWindow - time.Second
)

// pendingGrant is a grant that its holder may not have applied yet.
type pendingGrant struct {
	number  uint64
	slots   int
	unused  int
	maxIdle int
	floor   tier.Tier
}

// holderState is what a ledger knows about one holder.
type holderState struct {
	report Report
	// grants holds the last acknowledged grant, followed by all later ones.
	grants []pendingGrant
	expiry time.Time
	// expired is true if the holder can no longer start requests. Those that it
	// may have started count as orphaned until the endpoint's load shows that
	// they have ended.
	expired bool
	// orphaned is the maximum number of slots that requests of an expired
	// holder may still use.
	orphaned int
}

// acknowledge removes the grants before the one that the holder has applied.
func (h *holderState) acknowledge(number uint64) {
	h.grants = slices.DeleteFunc(h.grants, func(g pendingGrant) bool { return g.number < number })
}

// expire marks the holder as unable to start requests.
func (h *holderState) expire(now time.Time) {
	if h.expired {
		return
	}
	h.orphaned = h.maxSlots()
	h.expired = true
	h.expiry = now
}

// maxSlots returns the maximum number of slots that the holder may use, now or
// later.
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

// maxIdle returns the maximum number of unused slots that the holder may keep
// when its requests end.
func (h *holderState) maxIdle() int {
	idle := 0
	for _, g := range h.grants {
		idle = max(idle, g.maxIdle)
	}
	return idle
}

// maxUnused returns the maximum number of unused slots that the holder may
// have, now or later.
func (h *holderState) maxUnused() int {
	unused := max(h.report.Allowed-h.report.Used.Sum(), h.maxIdle())
	for _, g := range h.grants {
		if g.number > h.report.Grant {
			unused = max(unused, g.unused)
		}
	}
	return unused
}

// mayStartBelow reports whether the holder may start a request of a lower tier
// than t without a further grant.
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

// needsGrant reports whether the holder must be sent a grant with a new number
// of slots or a new priority floor.
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

// recordGrant adds a grant. If there are too many, the two oldest are merged
// into one that covers both.
func (h *holderState) recordGrant(g pendingGrant) {
	h.grants = append(h.grants, g)
	if len(h.grants) <= maxPendingGrants {
		return
	}
	h.grants[1].slots = max(h.grants[0].slots, h.grants[1].slots)
	h.grants[1].unused = max(h.grants[0].unused, h.grants[1].unused)
	h.grants[1].maxIdle = max(h.grants[0].maxIdle, h.grants[1].maxIdle)
	h.grants[1].floor = max(h.grants[0].floor, h.grants[1].floor)
	h.grants = slices.Delete(h.grants, 0, 1)
}
