package dispatch_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
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

const (
	limitedEndpoint = "e1"
	pressDuration   = 15 * time.Second
)

// limitedHosts are hosts whose only endpoint names a limit.
type limitedHosts struct {
	dispatchers []*dispatch.Dispatcher

	mu   sync.Mutex
	sent []time.Time
}

func newLimitedHosts(count int, limit float64) *limitedHosts {
	l := &limitedHosts{}
	var addresses []netip.AddrPort
	for i := range count {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600))
	}
	for _, address := range addresses {
		d := dispatch.New("z", upstream.Dial, metrics.NewCounter(), func(dispatch.EndpointChange) {})
		d.SetHosts(address, addresses)
		d.SetEntry(fleet.Entry{ID: limitedEndpoint, Service: "s", Address: "10.9.9.9:1", Domain: "z", Slots: 1000})
		d.AdoptRateLimits(map[uint32]fleet.RateLimit{fleet.HashID(limitedEndpoint): {IsNamed: true, PerSecond: limit, ObservedAt: time.Now()}})
		l.dispatchers = append(l.dispatchers, d)
	}
	return l
}

// press sends as many requests as the hosts allow for a time.
func (l *limitedHosts) press(duration time.Duration) {
	wait, end := sync.WaitGroup{}, time.Now().Add(duration)
	interval := time.Duration(min(len(l.dispatchers), 8)) * 5 * time.Millisecond
	for i, d := range l.dispatchers {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			route := &routing.Route{Name: "r", TargetLatency: 400 * time.Millisecond, Timeout: time.Second}
			for time.Now().Before(end) {
				lease, err := d.Acquire(context.Background(), &dispatch.Job{Service: "s", Route: route, TimeLeft: 60 * time.Millisecond})
				if err == nil {
					l.mu.Lock()
					l.sent = append(l.sent, time.Now())
					l.mu.Unlock()
					lease.Release(fleet.ResultSuccess)
				}
				time.Sleep(interval)
				d.Tick()
			}
		})
	}
	wait.Wait()
}

// highest returns the highest number of requests sent in any window.
func (l *limitedHosts) highest(window time.Duration) int {
	highest, first := 0, 0
	for last := range l.sent {
		for l.sent[last].Sub(l.sent[first]) >= window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// However many hosts press on an endpoint that names a limit, they send it no more
// in any 4 s than one and a half times the limit and 5 requests, which the platform
// tolerates, and use most of the limit.
func TestRateLimitHoldsOverFleets(t *testing.T) {
	for hosts, limits := range map[int][]float64{1: {0, 2.4, 40}, 6: {0, 0.4, 1, 2.4, 7, 40}, 9: {0, 0.4, 1, 2.4, 7, 40}, 45: {0.4, 2.4, 40}, 295: {2.4}} {
		for _, limit := range limits {
			t.Run(fmt.Sprintf("%d hosts, %v a second", hosts, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLimitedHosts(hosts, limit)
					l.press(pressDuration)
					allowed := 1.5*limit*4 + 5
					assert.Assert(t, float64(l.highest(4*time.Second)) <= allowed, "%d sent, %v allowed", l.highest(4*time.Second), allowed)
					assert.Assert(t, float64(len(l.sent)) >= 0.7*limit*pressDuration.Seconds()-float64(min(hosts, 9)), "%d sent", len(l.sent))
				})
			})
		}
	}
}

// A limit that one host hears of reaches the others, and so does its end. News of
// an earlier time change nothing.
func TestRateLimitNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hash := fleet.HashID(limitedEndpoint)
		l := newLimitedHosts(2, 3)
		first, second := l.dispatchers[0], l.dispatchers[1]
		named := first.RateLimits(true)
		assert.Equal(t, named[hash].PerSecond, 3.0)
		time.Sleep(time.Second)
		first.AdoptRateLimits(map[uint32]fleet.RateLimit{hash: {ObservedAt: time.Now()}})
		assert.Assert(t, !first.RateLimits(false)[hash].IsNamed)
		second.AdoptRateLimits(first.RateLimits(false))
		assert.Assert(t, !second.RateLimits(false)[hash].IsNamed)
		second.AdoptRateLimits(named)
		assert.Assert(t, !second.RateLimits(false)[hash].IsNamed)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(second.RateLimits(false)), 0)
		assert.Equal(t, len(second.RateLimits(true)), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, len(second.RateLimits(true)), 0)
	})
}
