package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/version/routing"
)

// SetEntry takes in an endpoint's entry.
func (d *Dispatcher) SetEntry(entry fleet.Entry) {
	d.mu.Lock()
	now := time.Now()
	added, replaced := d.fleet.Set(entry, now)
	if replaced != nil {
		d.drop(replaced)
	}
	var beliefs []Belief
	if added != nil {
		beliefs = append(beliefs, believe("added", added))
		d.pools[added] = upstream.NewPool(entry.Address, d.opened)
		d.shareCold(added, now)
	}
	d.pump(entry.Service, nil, now)
	d.mu.Unlock()
	d.tell(beliefs)
}

// RemoveEntry takes in that an endpoint's entry is gone.
func (d *Dispatcher) RemoveEntry(id string, afterOutage bool) {
	d.mu.Lock()
	gone := d.fleet.Remove(id, afterOutage, time.Now())
	var beliefs []Belief
	if gone != nil {
		beliefs = append(beliefs, believe("removed", gone))
		d.drop(gone)
	}
	d.mu.Unlock()
	d.tell(beliefs)
}

func (d *Dispatcher) drop(e *fleet.Endpoint) {
	if pool := d.pools[e]; pool != nil {
		pool.Close()
		delete(d.pools, e)
	}
}

// SetLeft tells which failure domains get no requests.
func (d *Dispatcher) SetLeft(domains map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetLeft(domains)
	for service := range d.queues {
		d.pump(service, nil, time.Now())
	}
}

// SetTable takes a new version of the configuration.
func (d *Dispatcher) SetTable(table *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = table
	now := time.Now()
	d.fleet.All(func(e *fleet.Endpoint) { d.shareCold(e, now) })
}

// SetHosts tells which hosts share the endpoints.
func (d *Dispatcher) SetHosts(self netip.AddrPort, links []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(links, d.links) {
		return
	}
	d.self, d.links, d.hosts = self, links, max(len(links), 1)
	now := time.Now()
	d.fleet.All(func(e *fleet.Endpoint) { d.shareCold(e, now) })
}

const (
	// coldPart is the part of a cold endpoint's rate that all hosts together
	// use; the rest covers the one request that each of them may send at once.
	coldPart = 0.7
	// coldUsers is the number of hosts that use a cold endpoint: as many as
	// leave each of them a request now and then.
	coldUsers = 8
)

// shareCold bounds this host's requests to an endpoint while it is cold.
func (d *Dispatcher) shareCold(e *fleet.Endpoint, now time.Time) {
	rate := 0.0
	if d.table != nil {
		if service := d.table.Service(e.Service); service != nil && service.ColdRateLimit > 0 {
			rate = service.ColdRateLimit
		}
	}
	switch {
	case rate == 0:
		// Nothing is known of a bound: cold endpoints are as good as warm ones.
		e.SetColdShare(1e6, 1, now)
	case d.usesCold(e):
		e.SetColdShare(rate*coldPart/float64(min(d.hosts, coldUsers)), 1, now)
	default:
		e.SetColdShare(0, 0, now)
	}
}

// usesCold reports whether this host is among the users of a cold endpoint. All
// hosts order them alike.
func (d *Dispatcher) usesCold(e *fleet.Endpoint) bool {
	if d.hosts <= coldUsers {
		return true
	}
	order := func(link netip.AddrPort) uint64 { return xxhash.Sum64String(link.String() + e.ID) }
	own, before := order(d.self), 0
	for _, link := range d.links {
		if order(link) < own {
			before++
		}
	}
	return before < coldUsers
}

// Loads are this host's loads by endpoint, and the services for which requests
// wait; both are named by their hashes.
func (d *Dispatcher) Loads() (loads map[uint32]fleet.Load, waiting []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads = map[uint32]fleet.Load{}
	d.fleet.All(func(e *fleet.Endpoint) {
		if own := e.Own(); own.Running > 0 {
			loads[e.Hash] = own
		}
	})
	for service, queue := range d.queues {
		if queue.Len() > 0 {
			waiting = append(waiting, fleet.HashOf(service))
		}
	}
	return loads, waiting
}

// Hear takes in another host's loads and the services for which requests wait
// there.
func (d *Dispatcher) Hear(host string, loads map[uint32]fleet.Load, waiting []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, rivals := range d.rivals {
		delete(rivals, host)
	}
	for _, service := range waiting {
		if d.rivals[service] == nil {
			d.rivals[service] = map[string]time.Time{}
		}
		d.rivals[service][host] = now
	}
	d.fleet.Hear(host, loads, now)
	for service := range d.queues {
		d.pump(service, nil, now)
	}
}

// Tick does what is due: it drops endpoints and connections whose time is over
// and lets waiters try endpoints whose suspension is over.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	now := time.Now()
	over := d.fleet.Settle(now)
	var beliefs []Belief
	for _, e := range over {
		beliefs = append(beliefs, believe("removed", e))
		d.drop(e)
	}
	pools := make([]*upstream.Pool, 0, len(d.pools))
	for _, pool := range d.pools {
		pools = append(pools, pool)
	}
	for service, queue := range d.queues {
		d.pump(service, nil, now)
		part, _ := d.part(service, now)
		queue.flow.measure(queue.Len() > 0, part, now)
	}
	d.mu.Unlock()
	for _, pool := range pools {
		pool.CloseExpired()
	}
	d.tell(beliefs)
}
