package slot

import "mustarddoor/internal/request/tier"

// claim is the state of one holder in an allocation, and its result.
type claim struct {
	// maxSlots is the maximum number of slots that the holder may have.
	maxSlots int
	// used is the number of slots that it reported in use.
	used int
	// unused is the maximum number of unused slots that it may have.
	unused int
	// waiting and oldest are the reported demand.
	waiting tier.Counts
	oldest  [tier.Max]uint32
	// target is the result: the number of slots that the holder should have.
	target int
}

// unusedAllowance returns how many unused slots the target leaves the holder:
// at most those that it may already have plus those that it gains.
func (c *claim) unusedAllowance() int {
	return max(min(c.target-c.used, c.unused+max(c.target-c.maxSlots, 0)), 0)
}

// allocate sets the target of each claim. The sum of the targets exceeds that
// of maxSlots by at most free, and the number of unused slots grows by at most
// spare.
//
// Slots go to the highest waiting tier and, within it, to the request that has
// waited longest. If none is free, holders that have unused slots and no demand
// of that tier or higher give theirs back. If no request waits, half of the
// spare slots are spread over the holders, starting at offset.
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

// sumUnused returns the total number of unused slots.
func sumUnused(claims []claim) int {
	sum := 0
	for i := range claims {
		sum += claims[i].unused
	}
	return sum
}

// allocateTier allocates slots to one tier and returns the remaining budget.
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

// longestWaiting returns the index of the claim whose request of tier t has
// waited longest and is not yet covered by its target, or -1.
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

// spread gives one unused slot each to holders that have none, until the budget
// is used up.
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
