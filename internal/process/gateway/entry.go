package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/entryset"
	"mustarddoor/internal/process/peers"
)

const (
	// settleTime is how long a host must have been reachable to be preferred
	// over hosts that come and go.
	settleTime = 2 * time.Second
	// coldHoldTime is how long a host that starts in a running fleet leaves cold endpoints
	// alone: it then knows with which hosts it shares them.
	coldHoldTime = settleTime
	// reservedDescriptors is the number of file descriptors that serve no
	// connection of a caller. Each of the others serves one, together with a
	// connection to an endpoint.
	reservedDescriptors = 300
	// connectionBytes is the memory for a caller's request in progress.
	connectionBytes = 64 << 10
)

// connectionCapacity returns the number of callers' connections that a host can
// hold.
func connectionCapacity(s *Settings) int {
	connections := 0
	if s.FileDescriptors > 0 {
		connections = max(s.FileDescriptors-reservedDescriptors, 2) / 2
	}
	if s.MemoryMB > 0 {
		inMemory := int(float64(s.MemoryMB<<20) * heapLimitFraction / connectionBytes)
		if connections == 0 || inMemory < connections {
			connections = inMemory
		}
	}
	return connections
}

// entryHosts tracks which hosts callers are sent to.
type entryHosts struct {
	gateway *Gateway

	mu       sync.Mutex
	selector entryset.Selector
	// addresses are sorted; isSelf is set if this host is among them.
	addresses []string
	isSelf    bool
}

// update selects the hosts again.
func (e *entryHosts) update(now time.Time) {
	g := e.gateway
	var hosts []entryset.Host
	for _, ready := range g.membership.ReadyHosts(g.membership.Now()) {
		host := entryHost(ready.Host, ready.Spent, ready.ReachableFor >= settleTime)
		host.IsCutOff = len(ready.LostServices) > 0
		hosts = append(hosts, host)
	}
	if g.IsReady() {
		spent := peers.Usage{}
		if own := g.spent.Load(); own != nil {
			spent = *own
		}
		host := entryHost(g.self, spent, true)
		host.IsCutOff = len(g.carriers.lostServices()) > 0
		hosts = append(hosts, host)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := []string{}
	for _, h := range e.selector.Select(hosts, now) {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	if slices.Equal(addresses, e.addresses) {
		return
	}
	e.addresses, e.isSelf = addresses, slices.Contains(addresses, g.settings.FrontendAddress)
	demand := e.selector.Demand()
	g.log.Entry().WithFields(logrus.Fields{
		"selected": len(addresses), "ready": len(hosts), "self": e.isSelf,
		"cores": demand.Cores, "link_mbps": demand.LinkMbps, "connections": demand.Connections,
	}).Info("callers' hosts selected")
}

// entryHost converts a host to the input of the selection.
func entryHost(h peers.Host, spent peers.Usage, isSettled bool) entryset.Host {
	return entryset.Host{
		Address: h.FrontendAddress, Domain: h.Domain, IsSettled: isSettled,
		Capacity: entryset.Resources{Cores: h.Cores, LinkMbps: float64(h.LinkMbps), Connections: float64(h.Connections)},
		Used: entryset.Resources{
			Cores: float64(spent.MilliCores) / 1000, LinkMbps: float64(spent.LinkKbps) / 1000, Connections: float64(spent.Connections),
		},
	}
}

// selected returns the sorted addresses of the hosts that callers are sent to.
func (e *entryHosts) selected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addresses
}

// includesSelf reports whether callers are sent to this host.
func (e *entryHosts) includesSelf() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isSelf
}

// demand returns what callers need of all hosts.
func (e *entryHosts) demand() entryset.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.selector.Demand()
}
