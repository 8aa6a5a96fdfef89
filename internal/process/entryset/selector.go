package entryset

import (
	"math"
	"time"
)

// Selector selects sets over time. A rise of the load counts at once and a fall
// only slowly, so that the set grows when needed and callers keep their
// connections.
type Selector struct {
	demand    Resources
	updatedAt time.Time
}

// demandDecay is the time in which a demand that is no longer measured falls to
// 1/e.
const demandDecay = 30 * time.Second

// Select returns the hosts to send callers to.
func (s *Selector) Select(hosts []Host, now time.Time) []Host {
	measured := Resources{}
	for _, h := range hosts {
		measured = measured.Add(h.Used)
	}
	decay := math.Exp(-max(0, now.Sub(s.updatedAt).Seconds()) / demandDecay.Seconds())
	s.demand, s.updatedAt = measured.Max(s.demand.Scale(decay)), now
	return Select(hosts, s.demand)
}

// Demand returns what callers need of all hosts together.
func (s *Selector) Demand() Resources { return s.demand }
