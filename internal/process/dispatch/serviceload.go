package dispatch

import (
	"time"

	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fleet"
)

// ServiceLoad is the load of a service as this host knows it.
type ServiceLoad struct {
	// Busy and Slots count the slots of the usable endpoints, Queued the requests that
	// wait on this host.
	Busy, Slots, Queued int
}

// ServiceLoad returns the load of a service.
func (d *Dispatcher) ServiceLoad(service string) ServiceLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := ServiceLoad{Queued: d.queue(service).Len()}
	d.forEachUsable(service, time.Now(), func(_ *fleet.Endpoint, c choose.Candidate) {
		load.Busy += c.Busy
		load.Slots += c.Slots
	})
	return load
}
