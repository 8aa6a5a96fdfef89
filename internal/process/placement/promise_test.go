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

// lowerInFlight counts the requests of tiers below r's that the engines have.
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

// TestNoTierIsShedAboveOneThatIsServed overloads several hosts that lose
// messages, with the two urgent tiers alone beyond what the fleet bears, and
// looks at the engines at every shed.
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
		assert.Equal(t, f.lowerInFlight(r), 0, "tier %d shed", r.tier)
	}
	f.schedulePoisson(f.clock.now, capacity*guaranteeLoad, h)
	f.clock.runUntil(f.clock.now.Add(guaranteeDuration))
	assert.Assert(t, shed > 0, "nothing was shed")
}

// TestColdEnginesAreNotOverrun restarts engines under load and while messages
// are lost. An engine that is cold falls over as soon as it has more in flight
// than its cold limit, counted over all hosts. Requests that were on their way
// at the restart are not held against anyone: the engine is down for a moment.
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
