package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/request/relay"
)

const (
	// reachCheckInterval is the time between probes of a lost service's endpoints.
	reachCheckInterval = 250 * time.Millisecond
	// reachProbeTimeout limits opening a connection to an endpoint for a probe.
	reachProbeTimeout = 700 * time.Millisecond
	// maxReachProbes limits the probes in progress.
	maxReachProbes = 16
)

// carriers finds the hosts that carry requests to services that this host has lost, and
// watches for the return of those services. It implements relay.Carriers.
type carriers struct {
	gateway *Gateway
	opened  metrics.Counter

	mu    sync.Mutex
	pools map[netip.AddrPort]*upstream.Pool
	lost  []string
}

func newCarriers(g *Gateway) *carriers {
	return &carriers{gateway: g, opened: metrics.GetOrRegisterCounter("carriers.connections_opened", g.registry), pools: map[netip.AddrPort]*upstream.Pool{}}
}

// operatorProgress implements relay.OperatorRecords.
type operatorProgress struct{ gateway *Gateway }

// Next implements relay.OperatorRecords.
func (r operatorProgress) Next() (keyed.Position, bool) { return r.gateway.operator.Next() }

// Await implements relay.OperatorRecords.
func (r operatorProgress) Await(ctx context.Context, position keyed.Position) bool {
	return r.gateway.operator.Await(ctx, position)
}

// Find implements relay.Carriers. It prefers hosts that have read as much of the operator's
// records as this one, then those that serve callers anyway, whose view of the endpoints'
// loads is newer, then hosts of this host's failure domain, to save traffic between domains.
func (c *carriers) Find(service string, tried []string) (relay.Carrier, bool) {
	hash := fleet.HashID(service)
	known, _ := c.gateway.operator.Next()
	var best []peers.ReadyHost
	bestRank := -1
	for _, host := range c.gateway.membership.ReadyHosts(c.gateway.membership.Now()) {
		if host.Name == "" || slices.Contains(tried, host.Name) || slices.Contains(host.LostServices, hash) {
			continue
		}
		rank := 0
		if host.Operator.Compare(known) >= 0 {
			rank += 4
		}
		if host.Carries {
			rank += 2
		}
		if host.Domain == c.gateway.settings.Domain {
			rank++
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, host)
		}
	}
	if len(best) == 0 {
		return relay.Carrier{}, false
	}
	host := best[rand.IntN(len(best))]
	return relay.Carrier{Name: host.Name, Pool: c.pool(host.PeerAddress)}, true
}

func (c *carriers) pool(address netip.AddrPort) *upstream.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[address] == nil {
		c.pools[address] = upstream.NewPool(address.String(), upstream.Dial, c.opened)
	}
	return c.pools[address]
}

// lostServices returns the hashes of the services that this host has lost.
func (c *carriers) lostServices() []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hashes []uint32
	for _, service := range c.lost {
		hashes = append(hashes, fleet.HashID(service))
	}
	return hashes
}

// run probes the endpoints of lost services and reports changes to the other hosts.
func (c *carriers) run(ctx context.Context) error {
	running := make(chan struct{}, maxReachProbes)
	for pause.For(ctx, reachCheckInterval) {
		for _, probe := range c.gateway.dispatcher.Probes() {
			select {
			case running <- struct{}{}:
			default:
				continue
			}
			go func() {
				defer func() { <-running }()
				ctx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
				defer cancel()
				probe.Run(ctx)
			}()
		}
		c.update()
	}
	return nil
}

// update notices lost and regained services, and closes idle connections.
func (c *carriers) update() {
	lost := c.gateway.dispatcher.LostServices()
	c.mu.Lock()
	isChanged := !slices.Equal(lost, c.lost)
	c.lost = lost
	for _, pool := range c.pools {
		pool.CloseExpired()
	}
	c.mu.Unlock()
	if isChanged {
		c.gateway.log.Entry().WithFields(logrus.Fields{"services": lost}).Info("services out of reach changed")
		c.gateway.transport.SendNow()
	}
}
