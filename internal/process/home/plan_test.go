package home

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

// members gives hosts named host-0, host-1 and so on.
func members(count int) []Member {
	list := []Member{}
	for i := range count {
		list = append(list, Member{Host: hostNamed(fmt.Sprintf("host-%d", i))})
	}
	return list
}

func endpointNames(count int) []string {
	names := []string{}
	for i := range count {
		names = append(names, fmt.Sprintf("endpoint-%d", i))
	}
	return names
}

// planAll lets every host plan and write until nothing changes, and returns the
// number of homes by host.
func planAll(table *Table, hosts []Member, endpoints []string, now time.Time) map[string]int {
	for range 40 {
		for _, member := range hosts {
			actions := Plan(Snapshot{
				Self: member.Host, Leaving: member.Leaving, Members: hosts, Endpoints: endpoints,
				Table: table, Lease: minLease, Now: now, MembersSince: now.Add(-time.Minute),
			})
			table.Apply(table.Offset+1, Record{
				Host: member.Host, LeaseMillis: minLease.Milliseconds(), ReadTo: table.Offset,
				Claim: actions.Claim, Renew: actions.Renew, Release: actions.Release,
			}, now)
		}
	}
	counts := map[string]int{}
	for _, endpoint := range endpoints {
		entry, _ := table.Entry(endpoint)
		if !entry.Free {
			counts[entry.Holder.Host]++
		}
	}
	return counts
}

// Homes are spread, stay where they are when a host joins until it has its
// share, and move away from a host that leaves or whose leases lapse.
func TestPlanSpreadsHomes(t *testing.T) {
	table := NewTable()
	endpoints := endpointNames(90)
	hosts := members(9)
	counts := planAll(table, hosts, endpoints, start)
	assert.Equal(t, len(counts), 9)
	before := holders(table, endpoints)

	counts = planAll(table, members(10), endpoints, start)
	moved := 0
	for endpoint, holder := range holders(table, endpoints) {
		if holder != before[endpoint] {
			moved++
			assert.Equal(t, holder, "host-9")
		}
	}
	assert.Equal(t, moved, counts["host-9"])

	hosts = members(10)
	hosts[0].Leaving = true
	counts = planAll(table, hosts, endpoints, start)
	assert.Equal(t, counts["host-0"], 0)

	late := start.Add(minLease + driftMargin(minLease) + 10*rankDelay)
	counts = planAll(table, members(5), endpoints, late)
	total := 0
	for _, count := range counts {
		total += count
	}
	assert.Equal(t, total, len(endpoints))
	assert.Equal(t, len(counts), 5)
}

func holders(table *Table, endpoints []string) map[string]string {
	names := map[string]string{}
	for _, endpoint := range endpoints {
		entry, _ := table.Entry(endpoint)
		names[endpoint] = entry.Holder.Host
	}
	return names
}

func TestPlanWaits(t *testing.T) {
	self := hostNamed("host-0")
	held := NewTable()
	held.Apply(1, Record{Host: hostNamed("host-1"), LeaseMillis: 1000, Claim: []string{"e"}}, start)
	lapsed := start.Add(1100 * time.Millisecond)
	cases := []struct {
		name     string
		snapshot Snapshot
		claims   bool
	}{
		{"lease holds", Snapshot{Table: held, Now: lapsed.Add(-time.Millisecond)}, false},
		{"lease has lapsed", Snapshot{Table: held, Now: lapsed}, true},
		{"leaving", Snapshot{Table: held, Now: lapsed, Leaving: true}, false},
		{"never had a home, hosts just met", Snapshot{Table: NewTable(), Now: start, MembersSince: start}, false},
		{"never had a home", Snapshot{Table: NewTable(), Now: start, MembersSince: start.Add(-joinDelay)}, true},
		{"may have a home unread", Snapshot{Table: NewTable(), Now: start, UnseenSince: start, Lease: time.Second}, false},
		{"unread lease has lapsed", Snapshot{Table: NewTable(), Now: lapsed, UnseenSince: start, Lease: time.Second}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.snapshot.Self = self
			c.snapshot.Members = []Member{{Host: self}}
			c.snapshot.Endpoints = []string{"e"}
			assert.Equal(t, len(Plan(c.snapshot).Claim) == 1, c.claims)
		})
	}
}

// All renewals of a fleet together stay far below the several hundred appends
// a second that the log takes.
func TestRenewalsFitLog(t *testing.T) {
	for _, hosts := range []int{1, 9, 30, 100, 330} {
		perSecond := float64(hosts) * renewalsPerLease / LeaseFor(hosts).Seconds()
		assert.Assert(t, perSecond <= maxRenewalsPerSecond+0.01, "%d hosts: %f", hosts, perSecond)
	}
}

func TestDecide(t *testing.T) {
	endpoint := bundle.Endpoint{Name: "e", Version: "v2", ChecksFencing: true, Adapters: []string{"x"}}
	running := engine.State{Version: "v1", Ready: true}
	lease := Lease{Fence: 7, Since: start.Add(-time.Hour)}
	ready := Observation{Endpoint: endpoint, State: running, Idle: true, Lease: lease, UnfitSince: start.Add(-drainMin), Now: start}
	with := func(change func(*Observation)) Observation {
		o := ready
		change(&o)
		return o
	}
	cases := []struct {
		name  string
		given Observation
		step  Step
		kind  engine.OrderKind
	}{
		{"version", ready, StepOrder, engine.OrderLoadVersion},
		{"model first", with(func(o *Observation) { o.Endpoint.Model = "m" }), StepOrder, engine.OrderLoadModel},
		{"adapter", with(func(o *Observation) { o.State.Version = "v2" }), StepOrder, engine.OrderLoadAdapter},
		{"role", with(func(o *Observation) { o.State.Version, o.Endpoint.Role = "v2", "decode" }), StepOrder, engine.OrderChangeRole},
		{"all there", with(func(o *Observation) { o.State.Version, o.State.Adapters = "v2", []string{"y", "x"} }), StepNone, ""},
		{"still in service", with(func(o *Observation) { o.UnfitSince = time.Time{} }), StepWithdraw, ""},
		{"hosts may not know yet", with(func(o *Observation) { o.UnfitSince = start }), StepWait, ""},
		{"requests run", with(func(o *Observation) { o.Idle = false }), StepWait, ""},
		{"an order is at work", with(func(o *Observation) { o.BusySince = start }), StepWait, ""},
		{"an order hangs", with(func(o *Observation) { o.BusySince = start.Add(-loadPatience) }), StepOrder, engine.OrderLoadVersion},
		{"new home, ignores fencing", with(func(o *Observation) { o.Endpoint.ChecksFencing, o.Lease.Since = false, start }), StepWait, ""},
		{"new home, checks fencing", with(func(o *Observation) { o.Lease.Since = start }), StepOrder, engine.OrderLoadVersion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision := Decide(c.given)
			assert.Equal(t, decision.Step, c.step)
			assert.Equal(t, decision.Order.Kind, c.kind)
			if c.step == StepOrder {
				assert.Equal(t, decision.Order.FencingToken, uint64(7))
			}
		})
	}
}
