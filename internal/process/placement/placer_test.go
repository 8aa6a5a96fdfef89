package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/version/bundle"
)

func testHost(name string) identity.Host {
	return identity.Host{
		Incarnation: identity.Incarnation{Host: name, Number: 1},
		Domain:      "a",
		MeshAddress: name + ":1",
	}
}

func testBundle(endpoints ...bundle.Endpoint) *bundle.Bundle {
	return &bundle.Bundle{
		Tiers: []bundle.Tier{
			{Name: "urgent", Rank: 1, FirstTokenMillis: 1000},
			{Name: "normal", Rank: 2, FirstTokenMillis: 4000},
			{Name: "later", Rank: 3},
		},
		Services: []bundle.Service{{Name: "model", Kind: bundle.KindEngine}},
		Routes: []bundle.Route{
			{Name: "check", Service: "model", Tier: "urgent", ExpectedOutputTokens: 20},
			{Name: "script", Service: "model", Tier: "normal", ExpectedOutputTokens: 100},
			{Name: "summary", Service: "model", Tier: "later", ExpectedOutputTokens: 500},
		},
		Endpoints: endpoints,
		Teams:     []bundle.Team{{Name: "red", Weight: 1, QueueRequests: 2}, {Name: "blue", Weight: 1, QueueRequests: 100}},
	}
}

func testEndpoint(name, domain string, slots int) bundle.Endpoint {
	return bundle.Endpoint{Name: name, Service: "model", Version: "v1", Address: name + ":2", Domain: domain, ColdSlots: slots, MaxSlots: slots}
}

// startPlacer runs a placer for a single-host fleet until the test ends.
func startPlacer(t *testing.T, endpoints ...bundle.Endpoint) *Placer {
	p := New(Config{Self: testHost("h1")})
	p.Update(View{Bundle: testBundle(endpoints...)})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p
}

func TestPlaceAtOnceThenWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPlacer(t, testEndpoint("e1", "a", 1))
		first, refusal := p.Place(t.Context(), Request{Route: "summary", Team: "red"})
		assert.Assert(t, refusal == nil)
		assert.Equal(t, first.Address, "e1:2")
		second := make(chan *Placement)
		go func() {
			placed, _ := p.Place(t.Context(), Request{Route: "check", Team: "red"})
			second <- placed
		}()
		synctest.Wait()
		select {
		case <-second:
			t.Fatal("second request placed while the only slot was in use")
		default:
		}
		first.FirstToken()
		first.Done(Result{Outcome: OutcomeDone, OutputTokens: 10})
		placed := <-second
		assert.Equal(t, placed.Tier, "urgent")
		placed.Done(Result{Outcome: OutcomeDone})
	})
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		view    func(*View)
		request Request
		want    Reason
	}{
		{"unknown route", nil, Request{Route: "none"}, ReasonUnknownRoute},
		{"prompt too long for the deadline", nil, Request{Route: "check", PromptTokens: 1e6}, ReasonDeadline},
		{"domain excluded", func(v *View) { v.ExcludedDomains = []string{"a"} }, Request{Route: "check"}, ReasonNoEndpoint},
		{"endpoint excluded", func(v *View) { v.ExcludedEndpoints = []string{"e1"} }, Request{Route: "check"}, ReasonNoEndpoint},
		{"adapter missing", nil, Request{Route: "check", Adapter: "x"}, ReasonNoEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPlacer(t, testEndpoint("e1", "a", 1))
				view := View{Bundle: testBundle(testEndpoint("e1", "a", 1))}
				if c.view != nil {
					c.view(&view)
				}
				p.Update(view)
				_, refusal := p.Place(t.Context(), c.request)
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Reason, c.want)
			})
		})
	}
}

// TestShedsOnlyWhenNoLowerTierIsServed checks that a request of the highest tier
// that is past its deadline keeps waiting while a lower tier holds the only
// slot, and is shed while its own tier holds it.
func TestShedsOnlyWhenNoLowerTierIsServed(t *testing.T) {
	for _, c := range []struct {
		holder string
		shed   bool
	}{{"summary", false}, {"check", true}} {
		t.Run(c.holder, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPlacer(t, testEndpoint("e1", "a", 1))
				first, refusal := p.Place(t.Context(), Request{Route: c.holder, Team: "red"})
				assert.Assert(t, refusal == nil)
				refused := make(chan *Refusal, 1)
				go func() {
					_, refusal := p.Place(t.Context(), Request{Route: "check", Team: "red"})
					refused <- refusal
				}()
				time.Sleep(2 * time.Second)
				select {
				case got := <-refused:
					assert.Assert(t, c.shed)
					assert.Equal(t, got.Reason, ReasonCapacity)
				default:
					assert.Assert(t, !c.shed)
				}
				first.Done(Result{Outcome: OutcomeDone})
			})
		})
	}
}

func TestCanceledWaitLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPlacer(t, testEndpoint("e1", "a", 1))
		first, _ := p.Place(t.Context(), Request{Route: "summary", Team: "red"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, refusal := p.Place(ctx, Request{Route: "summary", Team: "red"})
		assert.Equal(t, refusal.Reason, ReasonCanceled)
		first.Done(Result{Outcome: OutcomeDone})
		synctest.Wait()
		next, _ := p.Place(t.Context(), Request{Route: "summary", Team: "red"})
		assert.Assert(t, next != nil)
	})
}

func TestRetryGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPlacer(t, testEndpoint("e1", "a", 2), testEndpoint("e2", "a", 2))
		first, _ := p.Place(t.Context(), Request{Route: "check", Team: "red"})
		second, refusal := first.Retry(t.Context())
		assert.Assert(t, refusal == nil)
		assert.Assert(t, second.Endpoint != first.Endpoint)
	})
}

// TestIdleEndpointIsColdUntilVerified checks that an endpoint that has been
// idle is limited to its cold limit until a newer load report. Otherwise an
// unnoticed restart would let the hosts overload a cold endpoint.
func TestIdleEndpointIsColdUntilVerified(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := testEndpoint("e1", "a", 2)
	spec.MaxSlots = 8
	s := newEndpointState(0, spec, false, testHost("h1").Incarnation, now)
	s.updateHome(now, LocalHomes(testHost("h1")), testHost("h1").Incarnation)
	report := func(used uint16) {
		var demand slot.Demand
		r := s.holder.Report(now, demand)
		r.Used[0] = used
		s.homeRole.handleReport(now, r)
	}
	load := func(at time.Time) { s.homeRole.observeLoad(now, at, engine.Load{Incarnation: "A"}) }
	for range 100 {
		now = now.Add(time.Second)
		report(8)
		s.homeRole.limit.ObserveSlowdown(now, 100, 8)
		load(now)
	}
	assert.Equal(t, s.homeRole.ledger.Limit(), 8)
	report(0)
	assert.Equal(t, s.homeRole.ledger.Limit(), 2)
	now = now.Add(time.Second)
	report(1)
	load(now.Add(-2 * time.Second))
	assert.Equal(t, s.homeRole.ledger.Limit(), 2)
	load(now)
	assert.Equal(t, s.homeRole.ledger.Limit(), 8)
}

// TestWaitEndsWhenNoEndpointIsLeft checks waiting requests when all endpoints
// go out of service: those with a deadline are refused at the deadline, those
// without one are kept, and all are refused when the service is removed.
func TestWaitEndsWhenNoEndpointIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPlacer(t, testEndpoint("e1", "a", 1))
		first, _ := p.Place(t.Context(), Request{Route: "check", Team: "blue"})
		refusals := make(chan *Refusal, 2)
		place := func(route string) {
			_, refusal := p.Place(t.Context(), Request{Route: route, Team: "blue"})
			refusals <- refusal
		}
		go place("check")
		go place("summary")
		synctest.Wait()
		view := View{Bundle: testBundle(testEndpoint("e1", "a", 1)), ExcludedDomains: []string{"a"}}
		p.Update(view)
		time.Sleep(2 * time.Second)
		assert.Equal(t, (<-refusals).Reason, ReasonNoEndpoint)
		assert.Equal(t, len(refusals), 0)
		without := testBundle()
		without.Services = nil
		p.Update(View{Bundle: without})
		assert.Equal(t, (<-refusals).Reason, ReasonNoEndpoint)
		first.Done(Result{Outcome: OutcomeDone})
	})
}
