package home

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/version/bundle"
)

// members returns hosts named host-0, host-1 and so on.
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
			actions := Plan(PlanInput{
				Self: member.Host, Leaving: member.Leaving, Members: hosts, Endpoints: endpoints,
				Table: table, LeaseTTL: minLeaseTTL, Now: now, MembersChangedAt: now.Add(-time.Minute),
			})
			table.Apply(table.Offset+1, Record{
				Host: member.Host, LeaseMillis: minLeaseTTL.Milliseconds(), ReadTo: table.Offset,
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

// Homes are spread evenly. When a host joins, only as many move as it needs for
// its share; all move away from a host that leaves or whose leases expire.
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

	late := start.Add(minLeaseTTL + driftMargin(minLeaseTTL) + 10*claimDelayPerRank)
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
	expiry := start.Add(1100 * time.Millisecond)
	cases := []struct {
		name   string
		input  PlanInput
		claims bool
	}{
		{"lease is valid", PlanInput{Table: held, Now: expiry.Add(-time.Millisecond)}, false},
		{"lease has expired", PlanInput{Table: held, Now: expiry}, true},
		{"leaving", PlanInput{Table: held, Now: expiry, Leaving: true}, false},
		{"never had a home, members just changed", PlanInput{Table: NewTable(), Now: start, MembersChangedAt: start}, false},
		{"never had a home", PlanInput{Table: NewTable(), Now: start, MembersChangedAt: start.Add(-firstClaimDelay)}, true},
		{"lease may have been trimmed", PlanInput{Table: NewTable(), Now: start, GapAt: start, LeaseTTL: time.Second}, false},
		{"trimmed lease has expired", PlanInput{Table: NewTable(), Now: expiry, GapAt: start, LeaseTTL: time.Second}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.input.Self = self
			c.input.Members = []Member{{Host: self}}
			c.input.Endpoints = []string{"e"}
			assert.Equal(t, len(Plan(c.input).Claim) == 1, c.claims)
		})
	}
}

// The renewals of a fleet must stay far below the several hundred appends per
// second that the log supports.
func TestRenewalsFitLog(t *testing.T) {
	for _, hosts := range []int{1, 9, 30, 100, 330} {
		perSecond := float64(hosts) * renewalsPerTTL / LeaseTTL(hosts).Seconds()
		assert.Assert(t, perSecond <= maxRenewalsPerSecond+0.01, "%d hosts: %f", hosts, perSecond)
	}
}

func TestDecide(t *testing.T) {
	endpoint := bundle.Endpoint{Name: "e", Version: "v2", ChecksFencing: true, Adapters: []string{"x"}}
	running := engine.State{Version: "v1", Ready: true}
	lease := Lease{Fence: 7, Since: start.Add(-time.Hour)}
	ready := Observation{Endpoint: endpoint, State: running, Idle: true, Lease: lease, ExcludedSince: start.Add(-minDrainTime), Now: start}
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
		{"nothing to do", with(func(o *Observation) { o.State.Version, o.State.Adapters = "v2", []string{"y", "x"} }), StepNone, ""},
		{"not excluded yet", with(func(o *Observation) { o.ExcludedSince = time.Time{} }), StepExclude, ""},
		{"hosts may not know of the exclusion", with(func(o *Observation) { o.ExcludedSince = start }), StepWait, ""},
		{"requests are running", with(func(o *Observation) { o.Idle = false }), StepWait, ""},
		{"an order is being executed", with(func(o *Observation) { o.NotReadySince = start }), StepWait, ""},
		{"an order timed out", with(func(o *Observation) { o.NotReadySince = start.Add(-orderExecutionTimeout) }), StepOrder, engine.OrderLoadVersion},
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
