package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A seed always yields the same plan. Over some seeds, every kind of fault occurs,
// some faults form series, some overlap, and all start in the allowed period.
func TestPlan(t *testing.T) {
	size := Size{Hosts: 3, Endpoints: 4, Traffic: 20 * time.Second, Faults: 16}
	assert.DeepEqual(t, NewPlan(7, size), NewPlan(7, size))
	counts := map[FaultKind]int{}
	overlaps, series := 0, 0
	for seed := range uint64(50) {
		plan := NewPlan(seed, size)
		assert.Equal(t, len(plan), size.Faults)
		for i, fault := range plan {
			counts[fault.Kind]++
			assert.Assert(t, fault.Start >= warmup && fault.Start <= size.Traffic, "%v", fault)
			if i == 0 {
				continue
			}
			previous := plan[i-1]
			assert.Assert(t, previous.Start <= fault.Start)
			if previous.Start+previous.Duration > fault.Start {
				overlaps++
			}
			if previous.Kind == fault.Kind && previous.Target == fault.Target {
				series++
			}
		}
	}
	assert.Equal(t, len(counts), len(faultKinds))
	assert.Assert(t, overlaps > 0 && series > 0, "%d faults overlap, %d are in a series", overlaps, series)
}

// Halts last 1 to 2 s and there is at least one fault of each kind of machine faults. They
// leave the other faults of a seed as they are.
func TestMachineFaults(t *testing.T) {
	size := Size{Hosts: 3, Endpoints: 4, Traffic: 8 * time.Second, Faults: 16}
	assert.DeepEqual(t, newMachineFaults(7, size), newMachineFaults(7, size))
	counts := map[FaultKind]int{}
	for seed := range uint64(50) {
		for _, fault := range newMachineFaults(seed, size) {
			counts[fault.Kind]++
			assert.Assert(t, fault.Start >= warmup && fault.Start <= size.Traffic, "%v", fault)
			if fault.Kind == HostHalt {
				assert.Assert(t, fault.Duration >= minHalt && fault.Duration <= maxHalt, "%v", fault)
			}
		}
	}
	assert.DeepEqual(t, counts, map[FaultKind]int{HostHalt: 100, ConfigStorm: 50, HostsStop: 50, EndpointGone: 50})
	assert.Equal(t, NewPlan(7, size)[0].String(), "endpoint-reset 9 at 3.15s for 0s")
}

// Each kind of fault is handled, either as a connection fault or by inject itself.
func TestKindsAreInjected(t *testing.T) {
	others := []FaultKind{
		HostKill, HostStop, HostReload, HostPause, EndpointSlow, LogRefuses, LogSilent, LogLosesResponses, LogTrims,
		EndpointDrain, Configure, Evacuate,
	}
	assert.Equal(t, len(faultKinds), len(others)+len(linkFaults))
	for kind, link := range linkFaults {
		assert.Assert(t, link.kind != 0 && (link.isReset || link.mode != Mode{}), "%s", kind)
	}
}
