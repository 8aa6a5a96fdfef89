package dispatch

import (
	"time"

	"mustarddoor/internal/process/fleet"
)

const (
	// maxContentionAge is the age at which a host's report of queued requests
	// expires. In a large fleet, reports are about 200 ms old.
	maxContentionAge = 500 * time.Millisecond
	// minDrawLifetime is added to the age of the load reports to get the
	// lifetime of a slot draw. Hosts learn within about this time that a slot
	// was taken.
	minDrawLifetime = 30 * time.Millisecond
)

// countContendingHosts returns the number of other hosts that have queued
// requests for the service.
func (d *Dispatcher) countContendingHosts(service string, now time.Time) int {
	contending := 0
	for _, reportedAt := range d.contendingHosts[fleet.HashID(service)] {
		if now.Sub(reportedAt) < maxContentionAge {
			contending++
		}
	}
	return contending
}

// mayTakeFreeSlot reports whether this host may take a slot that another host
// has freed. All hosts see free slots at the same time. When several have
// queued requests, each takes only its share, randomly rounded, so that
// together they take about as many slots as are free.
func (d *Dispatcher) mayTakeFreeSlot(e *fleet.Endpoint, free int, now time.Time) bool {
	contending := d.countContendingHosts(e.Service, now)
	if contending == 0 {
		return true
	}
	draw, taken := e.SlotDraw(now, minDrawLifetime+e.LoadAge(now), d.rand.Float64)
	return taken < int(float64(free+taken)/float64(contending+1)+draw)
}
