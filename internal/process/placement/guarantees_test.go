package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	guaranteeLoad        = 2.5
	guaranteeMessageLoss = 0.05
	guaranteeDuration    = 12 * time.Second
	guaranteeSeed        = 1
	guaranteeHosts       = 3
)

// lowerInFlight counts the requests in flight at the engines whose tier is
// lower than that of r.
func (f *fakeFleet) lowerInFlight(r *fakeRequest) int {
	n := 0
	for _, e := range f.engines {
		for _, list := range [][]*fakeRequest{e.queue, e.prefilling, e.decoding} {
			for _, other := range list {
				if other.tier > r.tier {
					n++
				}
			}
		}
	}
	return n
}

// TestNoTierIsShedAboveOneThatIsServed checks that no request is shed while an
// engine still has one of a lower tier. Several hosts lose messages, and the
// two highest tiers alone exceed the capacity of the fleet.
func TestNoTierIsShedAboveOneThatIsServed(t *testing.T) {
	shed := 0
	f := newFakeFleet(fleetProfiles[0], guaranteeSeed)
	capacity := f.capacity()
	h := newSimulatedHosts(f, guaranteeHosts)
	h.messageLoss = guaranteeMessageLoss
	h.onRefused = func(r *fakeRequest, refusal *Refusal) {
		if refusal.Reason != ReasonCapacity {
			return
		}
		shed++
		assert.Equal(t, f.lowerInFlight(r), 0, "tier %d shed while a lower tier was served", r.tier)
	}
	f.schedulePoisson(f.clock.now, capacity*guaranteeLoad, h)
	f.clock.runUntil(f.clock.now.Add(guaranteeDuration))
	assert.Assert(t, shed > 0, "no request was shed")
}

// TestColdEnginesAreNotOverrun checks that the hosts together never exceed the
// cold limit of an engine. Engines restart under load while messages are lost,
// and a cold engine crashes when its limit is exceeded. Each engine stays down
// briefly after its restart, so that requests already on their way are refused
// rather than counted.
func TestColdEnginesAreNotOverrun(t *testing.T) {
	f := newFakeFleet(fleetProfiles[0], guaranteeSeed)
	capacity := f.capacity()
	h := newSimulatedHosts(f, guaranteeHosts)
	h.messageLoss = guaranteeMessageLoss
	for i, e := range f.engines {
		f.clock.after(4*time.Second+time.Duration(i)*time.Second/2, func() { e.restart(2 * maxMeshDelay) })
	}
	f.schedulePoisson(f.clock.now, capacity, h)
	f.clock.runUntil(f.clock.now.Add(guaranteeDuration))
	assert.Equal(t, f.overruns, 0)
}
