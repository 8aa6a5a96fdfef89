package dispatch

import (
	"math"
	"time"
)

// ServiceDemand is what this host's callers need of a service's endpoints.
type ServiceDemand struct {
	// Slots is the slot time that arriving requests need per time, whether they are
	// served or refused.
	Slots float64
	// Queued is the number of requests that wait.
	Queued int
}

// DomainEndpoints counts the endpoints of a service in a failure domain, in use or not.
type DomainEndpoints struct {
	// Ready endpoints accept requests, Cold ones do so at a limited rate. Leaving ones
	// accept none.
	Ready, Cold, Leaving int
	// Slots are those of the ready and the cold endpoints.
	Slots int
}

// demandWindow is the time in which the weight of a request in the demand falls to 1/e. It
// is short compared with a burst.
const demandWindow = time.Second

// demandMeter measures the slot time that requests need per time, with exponentially
// decaying weight.
type demandMeter struct {
	// work is in seconds.
	work      float64
	updatedAt time.Time
}

func (m *demandMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.work *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		m.updatedAt = now
	}
}

func (m *demandMeter) record(slotTime time.Duration, now time.Time) {
	m.decay(now)
	m.work += slotTime.Seconds()
}

func (m *demandMeter) slots(now time.Time) float64 {
	m.decay(now)
	return m.work / demandWindow.Seconds()
}

// Demands returns what this host's callers need of each service.
func (d *Dispatcher) Demands() map[string]ServiceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, demands := time.Now(), map[string]ServiceDemand{}
	for service, queue := range d.queues {
		demands[service] = ServiceDemand{Slots: queue.demand.slots(now), Queued: queue.Len()}
	}
	return demands
}

// EndpointsByDomain counts the endpoints of a service by failure domain.
func (d *Dispatcher) EndpointsByDomain(service string) map[string]DomainEndpoints {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, domains := time.Now(), map[string]DomainEndpoints{}
	for _, e := range d.fleet.ByService(service) {
		domain := domains[e.Domain]
		switch {
		case !d.fleet.IsServing(e):
			domain.Leaving++
		case e.IsCold(now):
			domain.Cold++
			domain.Slots += e.Slots
		default:
			domain.Ready++
			domain.Slots += e.Slots
		}
		domains[e.Domain] = domain
	}
	return domains
}

// IsExcluded reports whether a failure domain must receive no requests.
func (d *Dispatcher) IsExcluded(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.IsExcluded(domain)
}

// HasOpenMove reports whether a service is moving to another version.
func (d *Dispatcher) HasOpenMove(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	move := d.moves[service]
	return move != nil && !move.Stage().IsFinal()
}
