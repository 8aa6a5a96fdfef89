// Package tier defines the urgency classes of requests as small numbers.
package tier

// Max is how many tiers a fleet may have.
const Max = 8

// Lowest is the last tier that exists in any fleet.
const Lowest Tier = Max - 1

// Tier is an urgency class; 0 is the most urgent. It is the rank in the bundle
// less one.
type Tier uint8

// Counts holds a number for each tier.
type Counts [Max]uint16

// FromRank converts a bundle's rank. Ranks out of range become the nearest
// tier.
func FromRank(rank int) Tier {
	return Tier(min(max(rank-1, 0), Max-1))
}

// Sum adds up all tiers.
func (c *Counts) Sum() int {
	sum := 0
	for _, n := range c {
		sum += int(n)
	}
	return sum
}

// Below adds up the tiers that are less urgent than t.
func (c *Counts) Below(t Tier) int {
	sum := 0
	for _, n := range c[t+1:] {
		sum += int(n)
	}
	return sum
}

// Highest returns the most urgent tier with a number above zero, or false.
func (c *Counts) Highest() (Tier, bool) {
	for t, n := range c {
		if n > 0 {
			return Tier(t), true
		}
	}
	return Lowest, false
}
