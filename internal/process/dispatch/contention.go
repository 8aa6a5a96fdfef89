package dispatch

import (
	"time"

	"mustarddoor/internal/process/fleet"
)

const (
	// maxContentionAge is the age from which a rival no longer counts; in a large fleet
	// its messages are some 200 ms old.
	maxContentionAge = 500 * time.Millisecond
	// minDrawLifetime is how long a drawn turn at free slots holds, beside the age of
	// the loads: about the time in which hosts learn that a slot was taken.
	minDrawLifetime = 30 * time.Millisecond
)

// countContendingHosts is the number of other hosts where requests wait for a service.
func (d *Dispatcher) countContendingHosts(service string, now time.Time) int {
	contending := 0
	for _, reportedAt := range d.contendingHosts[fleet.HashID(service)] {
		if now.Sub(reportedAt) < maxContentionAge {
			contending++
		}
	}
	return contending
}

// mayTakeFreeSlot reports whether this host may take a slot that another host has
// freed. All hosts see the free slots at the same time; if requests wait at
// several of them, each takes its part, so that together they take about as
// many as there are.
func (d *Dispatcher) mayTakeFreeSlot(e *fleet.Endpoint, free int, now time.Time) bool {
	contending := d.countContendingHosts(e.Service, now)
	if contending == 0 {
		return true
	}
	draw, taken := e.SlotDraw(now, minDrawLifetime+e.LoadAge(now), d.rand.Float64)
	return taken < int(float64(free+taken)/float64(contending+1)+draw)
}
