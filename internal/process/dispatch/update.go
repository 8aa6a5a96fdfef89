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

// SetEntry adds or updates an endpoint from its directory entry.
func (d *Dispatcher) SetEntry(entry fleet.Entry) {
	d.mu.Lock()
	now := time.Now()
	added, replaced := d.fleet.Set(entry, now)
	if replaced != nil {
		d.closePool(replaced)
	}
	var changes []EndpointChange
	if added != nil {
		changes = append(changes, newEndpointChange("added", added))
		d.pools[added] = upstream.NewPool(entry.Address, d.dial, d.connectionsOpened)
		d.limitColdRate(added, now)
	}
	d.serveQueue(entry.Service, nil, now)
	d.mu.Unlock()
	d.notifyAll(changes)
}

// RemoveEntry handles the removal of an endpoint's directory entry.
func (d *Dispatcher) RemoveEntry(id string, afterOutage bool) {
	d.mu.Lock()
	removed := d.fleet.Remove(id, afterOutage, time.Now())
	var changes []EndpointChange
	if removed != nil {
		changes = append(changes, newEndpointChange("removed", removed))
		d.closePool(removed)
	}
	d.mu.Unlock()
	d.notifyAll(changes)
}

// MarkUnreadable handles an entry of an endpoint that cannot be read.
func (d *Dispatcher) MarkUnreadable(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.MarkUnreadable(id)
}

func (d *Dispatcher) closePool(e *fleet.Endpoint) {
	if tracker := d.reach[e.Service]; tracker != nil {
		tracker.Forget(e.ID)
	}
	if pool := d.pools[e]; pool != nil {
		pool.Close()
		delete(d.pools, e)
	}
}

// SetExcludedDomains sets the failure domains that accept no new requests.
func (d *Dispatcher) SetExcludedDomains(domains map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetExcludedDomains(domains)
	for service := range d.queues {
		d.serveQueue(service, nil, time.Now())
	}
}

// SetRoutingTable applies a new version of the configuration.
func (d *Dispatcher) SetRoutingTable(table *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = table
	d.limitColdRates(time.Now())
}

// SetHosts sets the hosts that share the endpoints. This host may be absent: it
// then serves few requests.
func (d *Dispatcher) SetHosts(selfAddr netip.AddrPort, hostAddrs []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(hostAddrs, d.hostAddrs) {
		return
	}
	d.selfAddr, d.hostAddrs, d.hostCount = selfAddr, hostAddrs, max(len(hostAddrs), 1)
	now := time.Now()
	d.fleet.All(func(e *fleet.Endpoint) {
		d.limitColdRate(e, now)
		d.shareRateLimit(e, now)
	})
}

const (
	// coldRateShare is the share of a cold endpoint's rate that all hosts
	// together use. The rest covers the burst of one request that each host may
	// send.
	coldRateShare = 0.7
	// maxColdHosts is the number of hosts that may use a cold endpoint. It is
	// small enough for each of them to get a request now and then.
	maxColdHosts = 8
)

// HoldColdUntil keeps requests from cold endpoints whose rate is limited until a time. A
// host that starts in a running fleet does not know yet with which hosts it shares them:
// if all hosts restart at once, each would take itself for one of a few.
func (d *Dispatcher) HoldColdUntil(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldHeldUntil = until
	d.limitColdRates(time.Now())
}

// limitColdRates applies limitColdRate to all endpoints. The caller holds mu.
func (d *Dispatcher) limitColdRates(now time.Time) {
	d.fleet.All(func(e *fleet.Endpoint) { d.limitColdRate(e, now) })
}

// endColdHold lifts HoldColdUntil once its time has come. The caller holds mu.
func (d *Dispatcher) endColdHold(now time.Time) {
	if !d.coldHeldUntil.IsZero() && !now.Before(d.coldHeldUntil) {
		d.coldHeldUntil = time.Time{}
		d.limitColdRates(now)
	}
}

// limitColdRate limits the rate of this host's requests to an endpoint while it
// is cold.
func (d *Dispatcher) limitColdRate(e *fleet.Endpoint, now time.Time) {
	rate := 0.0
	if d.table != nil {
		if service := d.table.Service(e.Service); service != nil && service.ColdRateLimit > 0 {
			rate = service.ColdRateLimit
		}
	}
	switch {
	case rate == 0:
		// The configuration sets no rate: cold endpoints get as many requests
		// as warm ones.
		e.SetColdLimit(1e6, 1, now)
	case now.Before(d.coldHeldUntil):
		e.SetColdLimit(0, 0, now)
	case d.isAmongFirst(e, maxColdHosts):
		e.SetColdLimit(rate*coldRateShare/float64(min(d.hostCount, maxColdHosts)), 1, now)
	default:
		e.SetColdLimit(0, 0, now)
	}
}

// isAmongFirst reports whether this host is among a number of hosts that may use a
// limited endpoint. The hosts are selected by rendezvous hashing, so that all hosts
// agree.
func (d *Dispatcher) isAmongFirst(e *fleet.Endpoint, hosts int) bool {
	if !slices.Contains(d.hostAddrs, d.selfAddr) {
		return len(d.hostAddrs) == 0
	}
	if d.hostCount <= hosts {
		return true
	}
	score := func(addr netip.AddrPort) uint64 { return xxhash.Sum64String(addr.String() + e.ID) }
	ownScore, lower := score(d.selfAddr), 0
	for _, addr := range d.hostAddrs {
		if score(addr) < ownScore {
			lower++
		}
	}
	return lower < hosts
}

// Loads returns this host's load by hashed endpoint ID and the hashed names of
// the services for which it has queued requests.
func (d *Dispatcher) Loads() (loads map[uint32]fleet.Load, waiting []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads = map[uint32]fleet.Load{}
	d.fleet.All(func(e *fleet.Endpoint) {
		if own := e.OwnLoad(); own.Running > 0 {
			loads[e.Hash] = own
		}
	})
	for service, queue := range d.queues {
		if queue.Len() > 0 {
			waiting = append(waiting, fleet.HashID(service))
		}
	}
	return loads, waiting
}

// RecordHostLoads records another host's loads and the services for which it
// has queued requests.
func (d *Dispatcher) RecordHostLoads(host string, loads map[uint32]fleet.Load, waiting []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, contending := range d.contendingHosts {
		delete(contending, host)
	}
	for _, service := range waiting {
		if d.contendingHosts[service] == nil {
			d.contendingHosts[service] = map[string]time.Time{}
		}
		d.contendingHosts[service][host] = now
	}
	d.fleet.SetHostLoads(host, loads, now)
	for service := range d.queues {
		d.serveQueue(service, nil, now)
	}
}

// Tick does periodic work: it removes endpoints whose grace period is over,
// closes idle connections, and lets queued requests use endpoints whose
// suspension is over.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	now := time.Now()
	d.endColdHold(now)
	expired := d.fleet.ExpireRemoved(now)
	var changes []EndpointChange
	for _, e := range expired {
		changes = append(changes, newEndpointChange("removed", e))
		d.closePool(e)
	}
	pools := make([]*upstream.Pool, 0, len(d.pools))
	for _, pool := range d.pools {
		pools = append(pools, pool)
	}
	for service, queue := range d.queues {
		d.serveQueue(service, nil, now)
		share := 0.0
		if next := queue.Peek(); next != nil {
			share, _ = d.slotShare(service, next.SlotTime, now)
		}
		queue.dequeueRate.update(queue.Len() > 0, share, now)
	}
	d.mu.Unlock()
	for _, pool := range pools {
		pool.CloseExpired()
	}
	d.notifyAll(changes)
}
