package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/version/bundle"
)

// fleet runs the managers of several hosts on one log.
type fleet struct {
	log      *memoryLog
	live     *liveHosts
	network  *network
	managers []*Manager
	cancels  []context.CancelFunc
	bundle   *bundle.Bundle
}

func startFleet(t testing.TB, count, endpoints int) *fleet {
	n := &network{handlers: map[string]map[mesh.Kind]mesh.Handler{}, unreachable: map[string]bool{}}
	f := &fleet{log: newMemoryLog(), live: &liveHosts{list: members(count)}, network: n, bundle: &bundle.Bundle{
		Services:             []bundle.Service{{Name: "s", Kind: bundle.KindEngine}},
		WeightLoadsPerMinute: 60,
	}}
	for _, name := range endpointNames(endpoints) {
		f.bundle.Endpoints = append(f.bundle.Endpoints, bundle.Endpoint{Name: name, Service: "s", Version: "v1"})
	}
	for _, member := range f.live.get() {
		f.add(t, newTestManager(member.Host, f.log, f.live, n))
	}
	return f
}

func (f *fleet) add(t testing.TB, m *Manager) {
	ctx, cancel := context.WithCancel(t.Context())
	f.managers = append(f.managers, m)
	f.cancels = append(f.cancels, cancel)
	m.Update(f.bundle)
	go func() { _ = m.Run(ctx) }()
}

func (f *fleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	synctest.Wait()
}

// holdersOf returns the managers that hold a valid lease on an endpoint.
func (f *fleet) holdersOf(endpoint string) []*Manager {
	holders := []*Manager{}
	for _, m := range f.managers {
		if _, held := m.Lease(endpoint); held {
			holders = append(holders, m)
		}
	}
	return holders
}

// settle advances virtual time.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against hosts that disagree on an endpoint's home or fencing token.
func TestManagersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5, 40)
		defer f.stop()
		settle(time.Minute)
		for _, endpoint := range endpointNames(40) {
			holders := f.holdersOf(endpoint)
			assert.Equal(t, len(holders), 1)
			lease, _ := holders[0].Lease(endpoint)
			for _, m := range f.managers {
				home, found := m.Home(endpoint)
				assert.Assert(t, found)
				assert.Equal(t, home.Host, holders[0].options.Self.Incarnation)
				assert.Equal(t, home.Fence, lease.Fence)
			}
		}
	})
}

// Homes of a dead host move, with a greater fencing token, once its leases have
// expired, but not while the log is unavailable.
func TestHomesMoveFromDeadHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 12)
		defer f.stop()
		settle(time.Minute)
		before := map[string]uint64{}
		for _, endpoint := range f.managers[0].HeldEndpoints() {
			lease, _ := f.managers[0].Lease(endpoint)
			before[endpoint] = lease.Fence
		}
		assert.Assert(t, len(before) > 0)
		f.log.setUnavailable(true)
		f.cancels[0]()
		f.live.set(f.live.get()[1:])
		settle(5 * time.Minute)
		for endpoint, fence := range before {
			home, _ := f.managers[1].Home(endpoint)
			assert.Equal(t, home.Fence, fence)
			assert.Equal(t, len(f.holdersOf(endpoint)), 0)
		}
		f.log.setUnavailable(false)
		settle(time.Minute)
		for endpoint, fence := range before {
			holders := f.holdersOf(endpoint)
			assert.Equal(t, len(holders), 1)
			lease, _ := holders[0].Lease(endpoint)
			assert.Assert(t, lease.Fence > fence)
		}
	})
}

// actingHomes returns the managers that act as an endpoint's home, by a lease
// or by retention.
func (f *fleet) actingHomes(endpoint string) []*Manager {
	acting := []*Manager{}
	for _, m := range f.managers {
		home, found := m.Home(endpoint)
		if found && home.Host == m.options.Self.Incarnation && time.Now().Before(home.LeaseUntil) {
			acting = append(acting, m)
		}
	}
	return acting
}

// While the log is unavailable to all hosts, homes stay in use beyond their
// leases, without orders, and are unchanged when the log recovers. A host that
// starts during the outage learns the homes from the others.
func TestHomesRetainedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5, 20)
		defer f.stop()
		settle(time.Minute)
		before := holders(f.managers[0].table, endpointNames(20))
		f.log.setUnavailable(true)
		for range 600 {
			settle(100 * time.Millisecond)
			for _, endpoint := range endpointNames(20) {
				assert.Equal(t, len(f.actingHomes(endpoint)), 1)
			}
		}
		assert.Equal(t, len(f.managers[0].HeldEndpoints()), 0)
		late := newTestManager(hostNamed("late"), f.log, f.live, f.network)
		f.add(t, late)
		settle(time.Second)
		home, found := late.Home("endpoint-0")
		assert.Assert(t, found)
		assert.Equal(t, home.Host.Host, before["endpoint-0"])
		f.log.setUnavailable(false)
		settle(time.Minute)
		assert.DeepEqual(t, holders(f.managers[0].table, endpointNames(20)), before)
		for _, endpoint := range endpointNames(20) {
			assert.Equal(t, len(f.holdersOf(endpoint)), 1)
		}
	})
}

// A host must not retain homes without confirmation: if the log is unavailable
// to it alone, or if it can't reach a majority of the hosts.
func TestIsOutageConfirmed(t *testing.T) {
	unavailable, readable := logStatusReply{LogUnavailable: true}, logStatusReply{}
	cases := []struct {
		name    string
		hosts   int
		replies []logStatusReply
		held    bool
	}{
		{"alone in the fleet", 1, nil, true},
		{"log unavailable to all", 3, []logStatusReply{unavailable, unavailable}, true},
		{"one host dead", 3, []logStatusReply{unavailable}, true},
		{"no other host reachable", 3, nil, false},
		{"half of the hosts reachable", 4, []logStatusReply{unavailable}, false},
		{"another host reads the log", 3, []logStatusReply{unavailable, readable}, false},
	}
	for _, c := range cases {
		assert.Equal(t, isOutageConfirmed(c.hosts, c.replies), c.held, c.name)
	}
}

// A host that is cut off from the log and from the other hosts must stop acting
// as home before another host takes over.
func TestIsolatedHomeExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 9)
		defer f.stop()
		settle(time.Minute)
		unavailableLog := newMemoryLog()
		unavailableLog.setUnavailable(true)
		isolated := newTestManager(hostNamed("host-3"), &switchLog{first: f.log, second: unavailableLog}, &liveHosts{list: members(4)}, f.network)
		f.live.set(members(4))
		f.add(t, isolated)
		settle(2 * time.Minute)
		assert.Assert(t, len(isolated.HeldEndpoints()) > 0)
		isolated.options.Log.(*switchLog).cut.Store(true)
		f.network.setUnreachable("host-0")
		f.network.setUnreachable("host-1")
		f.network.setUnreachable("host-2")
		f.live.set(members(3))
		for range 300 {
			settle(100 * time.Millisecond)
			for _, endpoint := range endpointNames(9) {
				assert.Assert(t, len(f.actingHomes(endpoint)) <= 1)
			}
		}
		for _, endpoint := range endpointNames(9) {
			assert.Equal(t, len(f.holdersOf(endpoint)), 1)
		}
	})
}

// Homes of a leaving host move without waiting for its leases to expire.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 12)
		defer f.stop()
		settle(time.Minute)
		list := f.live.get()
		list[0].Leaving = true
		f.live.set(list)
		f.managers[0].Leave(t.Context())
		settle(minLeaseTTL / 2)
		assert.Equal(t, len(f.managers[0].HeldEndpoints()), 0)
		for _, endpoint := range endpointNames(12) {
			assert.Equal(t, len(f.holdersOf(endpoint)), 1)
		}
	})
}

// A planned stop must not wait for a log that is unavailable.
func TestLeaveWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 12)
		defer f.stop()
		settle(time.Minute)
		f.log.setUnavailable(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.managers[0].Leave(ctx)
		assert.NilError(t, ctx.Err())
		assert.Equal(t, len(f.managers[0].HeldEndpoints()), 0)
	})
}

// Loads from the weight store keep the fleet-wide rate, whichever hosts request
// them.
func TestLoadReservationsKeepFleetRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3)
		defer f.stop()
		settle(10 * time.Second)
		reserved := make(chan time.Time, 12)
		for _, m := range f.managers {
			for range 4 {
				go func() {
					assert.Check(t, m.WaitForLoad(t.Context(), 30))
					reserved <- time.Now()
				}()
			}
		}
		settle(time.Minute)
		assert.Equal(t, len(reserved), 12)
		last := <-reserved
		for range 11 {
			next := <-reserved
			assert.Assert(t, next.Sub(last) >= 2*time.Second, "%v", next.Sub(last))
			last = next
		}
	})
}
