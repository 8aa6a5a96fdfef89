package dispatch_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/version/routing"
)

// All hosts restarted at once while an endpoint was cold. None knew the others yet, so each
// sent it a request: together more than it bears.
func TestHostsRestartWhileEndpointIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			hosts, perSecond = 40, 10
			learned          = time.Second
			hold             = 2 * time.Second
			// tolerated is what the platform allows in a second.
			tolerated = perSecond*1.5 + 5
		)
		table := routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s", ColdDuration: time.Minute, ColdRateLimit: perSecond}}})
		var addresses []netip.AddrPort
		for i := range hosts {
			addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7600))
		}
		start := time.Now()
		var dispatchers []*dispatch.Dispatcher
		for range hosts {
			d := dispatch.New("z", upstream.Dial, metrics.NewCounter(), func(dispatch.EndpointChange) {})
			d.HoldColdUntil(start.Add(hold))
			d.SetRoutingTable(table)
			d.SetEntry(fleet.Entry{ID: "e", Service: "s", Address: "10.9.9.9:1", Domain: "z", Slots: 1000, ColdFor: time.Minute})
			dispatchers = append(dispatchers, d)
		}
		var sent []time.Time
		for time.Since(start) < 3*hold {
			for i, d := range dispatchers {
				if time.Since(start) >= learned {
					d.SetHosts(addresses[i], addresses)
				}
				d.Tick()
				route := &routing.Route{Name: "r", TargetLatency: 10 * time.Millisecond, Timeout: time.Second}
				lease, err := d.Acquire(context.Background(), &dispatch.Job{Service: "s", Route: route, TimeLeft: 20 * time.Millisecond})
				if err == nil {
					sent = append(sent, time.Now())
					lease.Release(fleet.ResultSuccess)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, len(sent) > 0, "the hold has not ended")
		for i := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					count++
				}
			}
			assert.Assert(t, count <= tolerated, "%d requests in a second from %v on", count, sent[i].Sub(start))
		}
	})
}
