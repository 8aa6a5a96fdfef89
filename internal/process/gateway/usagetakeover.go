package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
)

// usagePath is where hosts that start fetch the teams' usage.
const usagePath = "/usage"

// usageReply is the teams' usage as a host knows it.
type usageReply struct {
	// IsComplete is set if the host knows the usage of the whole window.
	IsComplete bool `cbor:"1,keyasint,omitempty"`
	// Teams holds the teams with usage.
	Teams map[string]allowance.History `cbor:"2,keyasint,omitempty"`
}

// serveUsage serves the teams' usage to a host that has just started.
func (g *Gateway) serveUsage(w http.ResponseWriter, _ *http.Request) {
	reply := usageReply{IsComplete: g.knowsAllUsage()}
	if reply.IsComplete {
		reply.Teams = g.limits.histories(time.Now(), true)
	}
	g.writeReply(w, reply)
}

// knowsAllUsage reports whether this host knows the teams' usage of the whole window.
func (g *Gateway) knowsAllUsage() bool {
	return g.settings.FirstStart || g.uptime() > g.settings.TeamLimitWindow || g.limits.hasCompleteUsage()
}

// maxUsageFetches limits how many hosts a host asks at its start: in a fleet that starts
// as a whole, none knows the usage.
const maxUsageFetches = 6

// adoptUsage adopts the teams' usage from a running host, so that one that restarts
// alone need not assume that the limits are used up.
func (g *Gateway) adoptUsage(ctx context.Context) error {
	client := &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	asked := map[netip.AddrPort]bool{}
	for g.uptime() < maxRestoreUptime && !g.knowsAllUsage() && len(asked) < maxUsageFetches && pause.For(ctx, catchUpInterval) {
		address := g.nextUsageSource(asked)
		if !address.IsValid() {
			continue
		}
		asked[address] = true
		reply := usageReply{}
		if err := g.fetchFromHost(ctx, client, address, usagePath, maxStateBytes, &reply); err != nil {
			g.log.Entry().WithError(err).WithField("link", address.String()).Warn("cannot fetch the teams' usage")
			continue
		}
		if reply.IsComplete {
			g.limits.restore(reply.Teams, 0, true)
			g.log.Entry().WithFields(logrus.Fields{"link": address.String(), "used_shares": g.limits.usedShares(time.Now())}).
				Info("adopted the teams' usage of another host")
		}
	}
	<-ctx.Done()
	return nil
}

// nextUsageSource returns a reachable host that was not asked yet, or the zero address.
func (g *Gateway) nextUsageSource(asked map[netip.AddrPort]bool) netip.AddrPort {
	return usageSource(g.membership.ReadyHosts(g.membership.Now()), g.settings.Domain, asked)
}

// usageSource returns a host that was not asked yet, or the zero address. Active hosts come
// first: idle ones know the usage later, and nothing new while their relay is down. Hosts of
// the failure domain come before others.
func usageSource(hosts []peers.ReadyHost, domain string, asked map[netip.AddrPort]bool) (address netip.AddrPort) {
	bestRank := -1
	for _, host := range hosts {
		rank := 0
		if host.Active {
			rank += 2
		}
		if host.Domain == domain {
			rank++
		}
		if rank > bestRank && !asked[host.PeerAddress] {
			address, bestRank = host.PeerAddress, rank
		}
	}
	return address
}

func (l *sharedLimits) hasCompleteUsage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isComplete
}
