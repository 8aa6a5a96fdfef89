package slot

import "mustarddoor/internal/request/tier"

// claim is one holder's standing in an allocation.
type claim struct {
	// maxSlots is the most slots that the holder may have in hand.
	maxSlots int
	// used is how many it reported in use.
	used int
	// unused is the most slots that it may have unused.
	unused int
	// waiting and oldest are its demand.
	waiting tier.Counts
	oldest  [tier.Max]uint32
	// target is the outcome: how many slots it should have.
	target int
}

// unusedAllowance is how many unused slots the target leaves the holder: what it may
// have already, and what it gains.
func (c *claim) unusedAllowance() int {
	return max(min(c.target-c.used, c.unused+max(c.target-c.maxSlots, 0)), 0)
}

// allocate sets each claim's target. The sum of targets exceeds the sum of
// bounds by no more than free, and that of unused slots stays within spare
// beyond the present one.
//
// Slots go to the highest waiting tier, within it to the request that waits
// longest. If none is free, holders that have unused slots and nothing waiting
// of that tier give theirs back. If nobody waits, half of the
// spare slots are spread over the holders from turn on.
func allocate(claims []claim, free, spare, offset int) {
	for i := range claims {
		claims[i].target = claims[i].maxSlots
	}
	budget := min(free, spare)
	for t := range tier.Tier(tier.Max) {
		budget = allocateTier(claims, t, budget)
	}
	if reserve := (spare + sumUnused(claims)) / 2; budget > reserve {
		spread(claims, budget-reserve, offset)
	}
}

// sumUnused sums up the slots in hands that are not in use.
func sumUnused(claims []claim) int {
	sum := 0
	for i := range claims {
		sum += claims[i].unused
	}
	return sum
}

// allocateTier serves one tier and returns what is left of the budget.
func allocateTier(claims []claim, t tier.Tier, budget int) int {
	for {
		next := longestWaiting(claims, t)
		if next < 0 {
			return budget
		}
		if budget <= 0 {
			recallUnused(claims, t)
			return budget
		}
		claims[next].target++
		budget--
	}
}

// longestWaiting returns the claim whose request of tier t has waited longest and is
// not yet covered, or -1.
func longestWaiting(claims []claim, t tier.Tier) int {
	best := -1
	for i := range claims {
		c := &claims[i]
		covered := max(c.target-c.used, 0)
		demand := 0
		for u := range t + 1 {
			demand += int(c.waiting[u])
		}
		if c.waiting[t] == 0 || covered >= demand {
			continue
		}
		if best < 0 || c.oldest[t] > claims[best].oldest[t] {
			best = i
		}
	}
	return best
}

// recallUnused takes back unused slots from holders without demand of tier t or
// higher.
func recallUnused(claims []claim, t tier.Tier) {
	for i := range claims {
		c := &claims[i]
		demand := 0
		for u := range t + 1 {
			demand += int(c.waiting[u])
		}
		c.target = min(c.target, max(c.used+demand, c.used))
	}
}

// spread hands out unused slots one by one to holders that have none.
func spread(claims []claim, budget, offset int) {
	for k := range claims {
		c := &claims[(offset+k)%len(claims)]
		if budget == 0 {
			return
		}
		if c.target > c.used {
			continue
		}
		c.target++
		budget--
	}
}
