package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

// startOrders runs the Orders of all hosts against one engine.
func startOrders(t *testing.T, f *fleet, e *fakeEngine) {
	for _, m := range f.managers {
		ctx, cancel := context.WithCancel(t.Context())
		f.cancels = append(f.cancels, cancel)
		orders := NewOrders(OrdersOptions{Manager: m, Engines: e, Bundle: func() *bundle.Bundle { return f.bundle }})
		go func() { _ = orders.Run(ctx) }()
	}
}

// An order whose reply is lost is sent again only if it had no effect.
func TestOrdersReadBack(t *testing.T) {
	cases := []struct {
		name   string
		engine *fakeEngine
		orders int
	}{
		{"sound", &fakeEngine{}, 1},
		{"already runs the version", &fakeEngine{state: engine.State{Version: "v1"}}, 0},
		{"reply lost", &fakeEngine{lostReplies: 1}, 1},
		{"order lost", &fakeEngine{ignoredOrders: 2}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 1)
				defer f.stop()
				c.engine.state.Ready = true
				startOrders(t, f, c.engine)
				settle(time.Minute)
				assert.Equal(t, c.engine.count(), c.orders)
				for _, m := range f.managers {
					assert.Equal(t, len(m.ExcludedEndpoints()), 0)
				}
			})
		})
	}
}

// While an endpoint doesn't run the specified version, all hosts exclude it. A
// new home must not send an order to an endpoint that ignores fencing tokens
// before the orders of the old home have ended.
func TestOrdersOfNewHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 1)
		defer f.stop()
		e := &fakeEngine{ignoredOrders: 1000, state: engine.State{Ready: true}}
		startOrders(t, f, e)
		settle(time.Minute)
		for _, m := range f.managers {
			assert.DeepEqual(t, m.ExcludedEndpoints(), endpointNames(1))
		}
		old := f.holdersOf("endpoint-0")[0]
		for i, m := range f.managers {
			if m == old {
				f.cancels[i]()
			}
		}
		oldLease, _ := old.Lease("endpoint-0")
		settle(time.Minute)
		lease, held := f.holdersOf("endpoint-0")[0].Lease("endpoint-0")
		assert.Assert(t, held)
		for i, order := range e.orders {
			if order.FencingToken == oldLease.Fence {
				assert.Assert(t, e.receivedAt[i].Before(oldLease.Until))
				continue
			}
			assert.Equal(t, order.FencingToken, lease.Fence)
			assert.Assert(t, e.receivedAt[i].After(oldLease.Until.Add(orderTimeout)))
		}
	})
}
