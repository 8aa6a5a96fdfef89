package gateway

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/peers"
)

// A host that restarted took the usage of the teams from an idle host, whose relay had been
// killed with it, and counted half of what was used.
func TestUsageOfActiveHostsComesFirst(t *testing.T) {
	host := func(address, domain string, active bool) peers.ReadyHost {
		return peers.ReadyHost{Host: peers.Host{PeerAddress: netip.MustParseAddrPort(address), Domain: domain}, Active: active}
	}
	hosts := []peers.ReadyHost{
		host("10.2.0.1:7600", "z2", false), host("10.1.0.1:7600", "z1", false),
		host("10.2.0.2:7600", "z2", true), host("10.1.0.2:7600", "z1", true),
	}
	asked := map[netip.AddrPort]bool{}
	for _, want := range []string{"10.1.0.2:7600", "10.2.0.2:7600", "10.1.0.1:7600", "10.2.0.1:7600"} {
		address := usageSource(hosts, "z1", asked)
		assert.Equal(t, address.String(), want)
		asked[address] = true
	}
	assert.Assert(t, !usageSource(hosts, "z1", asked).IsValid())
}
