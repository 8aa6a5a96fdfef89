package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	promiseLoad  = 2.5
	promiseDrop  = 0.05
	promiseFor   = 12 * time.Second
	promiseSeed  = 1
	promiseHosts = 3
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
	f := newFakeFleet(fakeKinds[0], promiseSeed)
	capacity := f.capacity()
	h := newHosts(f, promiseHosts)
	h.drop = promiseDrop
	h.refused = func(r *fakeRequest, refusal *Refusal) {
		if refusal.Reason != ReasonCapacity {
			return
		}
		shed++
		assert.Equal(t, f.lowerInFlight(r), 0, "tier %d shed", r.tier)
	}
	f.steady(f.clock.now, capacity*promiseLoad, h)
	f.clock.runUntil(f.clock.now.Add(promiseFor))
	assert.Assert(t, shed > 0, "nothing was shed")
}

// TestColdEnginesAreNotOverrun restarts engines under load and while messages
// are lost. An engine that is cold falls over as soon as it has more in flight
// than its cold limit, counted over all hosts. Requests that were on their way
// at the restart are not held against anyone: the engine is down for a moment.
func TestColdEnginesAreNotOverrun(t *testing.T) {
	f := newFakeFleet(fakeKinds[0], promiseSeed)
	capacity := f.capacity()
	h := newHosts(f, promiseHosts)
	h.drop = promiseDrop
	for i, e := range f.engines {
		f.clock.after(4*time.Second+time.Duration(i)*time.Second/2, func() { e.restart(2 * meshHigh) })
	}
	f.steady(f.clock.now, capacity, h)
	f.clock.runUntil(f.clock.now.Add(promiseFor))
	assert.Equal(t, f.overruns, 0)
}
