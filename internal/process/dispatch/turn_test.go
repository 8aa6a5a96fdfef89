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

// A queued request was refused when its wait ended, though an endpoint's limit had
// allowed it since the queue was last served. Here, nothing serves the queue meanwhile.
func TestTurnComesBetweenTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 3
		host := netip.MustParseAddrPort("10.0.0.1:7600")
		d := dispatch.New("z", upstream.Dial, metrics.NewCounter(), func(dispatch.EndpointChange) {})
		d.SetHosts(host, []netip.AddrPort{host})
		d.SetEntry(fleet.Entry{ID: limitedEndpoint, Service: "s", Address: "10.9.9.9:1", Domain: "z", Slots: 1000})
		d.AdoptRateLimits(map[uint32]fleet.RateLimit{fleet.HashID(limitedEndpoint): {IsNamed: true, PerSecond: perSecond, ObservedAt: time.Now()}})
		acquire := func() error {
			route := &routing.Route{Name: "r", TargetLatency: 400 * time.Millisecond, Timeout: time.Second}
			lease, err := d.Acquire(context.Background(), &dispatch.Job{Service: "s", Route: route, TimeLeft: time.Second})
			if err == nil {
				lease.Release(fleet.ResultSuccess)
			}
			return err
		}
		// The burst of a share is more than one request.
		for range 2 {
			assert.NilError(t, acquire())
		}
		time.Sleep(200 * time.Millisecond)
		for range 4 {
			assert.NilError(t, acquire())
		}
	})
}
