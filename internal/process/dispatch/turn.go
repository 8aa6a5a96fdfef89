package dispatch

import (
	"time"

	"mustarddoor/internal/process/fleet"
)

const (
	// rivalAge is the age from which a rival no longer counts; in a large fleet
	// its messages are some 200 ms old.
	rivalAge = 500 * time.Millisecond
	// turnLeast is how long a drawn turn at free slots holds, beside the age of
	// the loads: about the time in which hosts learn that a slot was taken.
	turnLeast = 30 * time.Millisecond
)

// countRivals is the number of other hosts where requests wait for a service.
func (d *Dispatcher) countRivals(service string, now time.Time) int {
	rivals := 0
	for _, at := range d.rivals[fleet.HashOf(service)] {
		if now.Sub(at) < rivalAge {
			rivals++
		}
	}
	return rivals
}

// hasTurn reports whether this host may take a slot that another host has
// freed. All hosts see the free slots at the same time; if requests wait at
// several of them, each takes its part, so that together they take about as
// many as there are.
func (d *Dispatcher) hasTurn(e *fleet.Endpoint, free int, now time.Time) bool {
	rivals := d.countRivals(e.Service, now)
	if rivals == 0 {
		return true
	}
	draw, taken := e.Turn(now, turnLeast+e.LoadAge(now), d.rand.Float64)
	return taken < int(float64(free+taken)/float64(rivals+1)+draw)
}
