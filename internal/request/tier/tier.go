// Package tier defines the priority tiers of requests.
package tier

// Max is the maximum number of tiers in a fleet.
const Max = 8

// Lowest is the lowest-priority tier that a fleet can have.
const Lowest Tier = Max - 1

// Tier is a priority class; 0 has the highest priority. It equals the tier's
// rank in the bundle minus one.
type Tier uint8

// Counts holds one count for each tier.
type Counts [Max]uint16

// FromRank converts a rank from a bundle to a tier. Ranks out of range are
// clamped.
func FromRank(rank int) Tier {
	return Tier(min(max(rank-1, 0), Max-1))
}

// Sum returns the total over all tiers.
func (c *Counts) Sum() int {
	sum := 0
	for _, n := range c {
		sum += int(n)
	}
	return sum
}

// Below returns the total over the tiers with a lower priority than t.
func (c *Counts) Below(t Tier) int {
	sum := 0
	for _, n := range c[t+1:] {
		sum += int(n)
	}
	return sum
}

// Highest returns the highest-priority tier with a count above zero, or false if
// all counts are zero.
func (c *Counts) Highest() (Tier, bool) {
	for t, n := range c {
		if n > 0 {
			return Tier(t), true
		}
	}
	return Lowest, false
}
