package dispatch

import (
	"context"
	"slices"
	"time"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/reach"
)

// recordConnection records whether a new connection to an endpoint was opened. The
// caller holds mu.
func (d *Dispatcher) recordConnection(e *fleet.Endpoint, isOpen bool, now time.Time) {
	tracker := d.reach[e.Service]
	if tracker == nil {
		tracker = reach.NewTracker()
		d.reach[e.Service] = tracker
	}
	if !isOpen {
		tracker.RecordFailure(e.ID, now)
		return
	}
	if tracker.RecordSuccess(e.ID, now) {
		e.ClearSuspension() // the endpoint was not at fault
		d.serveQueue(e.Service, nil, now)
	}
}

// isOutOfReach reports whether the last new connection to an endpoint failed. The caller
// holds mu.
func (d *Dispatcher) isOutOfReach(e *fleet.Endpoint) bool {
	tracker := d.reach[e.Service]
	return tracker != nil && tracker.IsOutOfReach(e.ID)
}

// LostServices returns the sorted names of the services of which this host can reach
// less than half of the endpoints.
func (d *Dispatcher) LostServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lost []string
	for service := range d.reach {
		if d.hasLost(service) {
			lost = append(lost, service)
		}
	}
	slices.Sort(lost)
	return lost
}

// HasLost reports whether this host can reach less than half of a service's endpoints.
func (d *Dispatcher) HasLost(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasLost(service)
}

func (d *Dispatcher) hasLost(service string) bool {
	tracker, endpoints := d.reach[service], len(d.fleet.ByService(service))
	return tracker != nil && endpoints > 0 && tracker.IsLost(endpoints, time.Now())
}

// Probe is an endpoint to open a connection to, to learn whether its service can be
// reached.
type Probe struct {
	dispatcher *Dispatcher
	endpoint   *fleet.Endpoint
	pool       *upstream.Pool
}

// Probes returns the endpoints to connect to, to learn whether they are in reach.
func (d *Dispatcher) Probes() []Probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	due := d.silent
	d.silent = map[*fleet.Endpoint]bool{}
	for service, tracker := range d.reach {
		var ids []string
		for _, e := range d.fleet.ByService(service) {
			ids = append(ids, e.ID)
		}
		d.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range tracker.Probes(ids, now) {
			due[d.fleet.Get(id)] = true
		}
	}
	var probes []Probe
	for e := range due {
		if pool := d.pools[e]; pool != nil && d.fleet.IsUsable(e) {
			probes = append(probes, Probe{dispatcher: d, endpoint: e, pool: pool})
		}
	}
	return probes
}

// maxProbeLateness is how long after its deadline a probe of a process that runs may fail.
const maxProbeLateness = 100 * time.Millisecond

// Run opens the connection and records whether that succeeded. A failure long after the
// deadline is not recorded, because this process did not run.
func (p Probe) Run(ctx context.Context) {
	isOpen := p.pool.OpenIdle(ctx) == nil
	if deadline, found := ctx.Deadline(); !isOpen && found && time.Since(deadline) > maxProbeLateness {
		return
	}
	p.dispatcher.mu.Lock()
	defer p.dispatcher.mu.Unlock()
	if p.dispatcher.pools[p.endpoint] != nil {
		p.dispatcher.recordConnection(p.endpoint, isOpen, time.Now())
	}
}

// RecordConnection records whether a new connection for the request was opened.
func (l *Lease) RecordConnection(isOpen bool) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	if l.dispatcher.pools[l.endpoint] != nil {
		l.dispatcher.recordConnection(l.endpoint, isOpen, time.Now())
	}
}
