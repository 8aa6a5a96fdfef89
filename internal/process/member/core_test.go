package member_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/member"
)

const (
	settle = 20 * time.Second
	// convergenceLimit is how long after the end of all faults views may
	// differ.
	convergenceLimit = 2 * time.Minute
)

func newConvergedNetwork(t testing.TB, seed uint64, count int) *network {
	w := newNetwork(seed)
	w.startHosts(count, nil)
	w.mustConverge(t, settle)
	return w
}

// TestFirstChangeHasNothingBefore guards against reporting a host that was not
// known as the successor of another one.
func TestFirstChangeHasNothingBefore(t *testing.T) {
	w := newNetwork(1)
	joins := 0
	w.observe = func(_ *node, change member.Change) {
		joins++
		assert.Equal(t, change.Before, member.Member{})
	}
	w.startHosts(3, nil)
	w.mustConverge(t, settle)
	assert.Equal(t, joins, 6)
}

// allSee reports whether all other hosts see an incarnation in one of the
// states.
func (w *network) allSee(of identity.Incarnation, states ...member.State) bool {
	for _, n := range w.nodes {
		if n.host.Incarnation != of && !slices.Contains(states, n.stateOf(of)) {
			return false
		}
	}
	return true
}

func TestHostsFindEachOther(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 40} {
		newConvergedNetwork(t, 1, count)
	}
}

func TestKilledHostIsFoundDead(t *testing.T) {
	w := newConvergedNetwork(t, 2, 6)
	victim := w.nodes[address(3)]
	w.kill(victim)
	dead := func() bool { return w.allSee(victim.host.Incarnation, member.StateDead) }
	assert.Assert(t, w.runUntil(settle, dead))
}

func TestSuspendedHostIsDeclaredDeadAndRejoins(t *testing.T) {
	w := newConvergedNetwork(t, 3, 6)
	victim := w.nodes[address(3)]
	victim.suspended = true
	dead := func() bool { return w.allSee(victim.host.Incarnation, member.StateDead) }
	assert.Assert(t, w.runUntil(settle, dead))
	suspicions := 0
	w.observe = func(n *node, change member.Change) {
		if n == victim && change.Member.State != member.StateAlive {
			suspicions++
		}
	}
	w.resume(victim)
	w.mustConverge(t, convergenceLimit)
	assert.Equal(t, suspicions, 0, "the suspended host suspected others")
}

// TestCutOneWayKeepsHosts cuts one or both directions between two hosts. Other
// hosts still reach both, so none may be suspected.
func TestCutOneWayKeepsHosts(t *testing.T) {
	for _, both := range []bool{false, true} {
		w := newConvergedNetwork(t, 4, 6)
		a, b := w.nodes[address(2)], w.nodes[address(3)]
		suspicions := 0
		w.observe = func(_ *node, change member.Change) {
			if change.Member.State != member.StateAlive {
				suspicions++
			}
		}
		w.setCut(a, b, true)
		w.setCut(b, a, both)
		w.run(time.Minute)
		assert.Equal(t, suspicions, 0)
	}
}

// TestHostThatCannotSend drops everything that a host sends. The others must
// declare it dead and, after the cut, alive again.
func TestHostThatCannotSend(t *testing.T) {
	w := newConvergedNetwork(t, 5, 6)
	sender := w.nodes[address(3)]
	for _, other := range w.nodes {
		w.setCut(sender, other, true)
	}
	dead := func() bool { return w.allSee(sender.host.Incarnation, member.StateDead) }
	assert.Assert(t, w.runUntil(settle, dead))
	clear(w.cuts)
	w.mustConverge(t, convergenceLimit)
}

func TestNetworkSplit(t *testing.T) {
	w := newConvergedNetwork(t, 6, 9)
	for i := range 9 {
		for j := range 9 {
			if i%2 != j%2 {
				w.setCut(w.nodes[address(i)], w.nodes[address(j)], true)
			}
		}
	}
	w.run(5 * time.Minute)
	assert.Equal(t, w.nodes[address(0)].stateOf(w.nodes[address(1)].host.Incarnation), member.StateDead)
	clear(w.cuts)
	w.mustConverge(t, convergenceLimit)
}

func TestReplacedAtTheSameAddress(t *testing.T) {
	for _, name := range []string{"host-3", "other"} {
		w := newConvergedNetwork(t, 7, 6)
		old := w.nodes[address(3)]
		replacement := w.start(name, address(3), 2, nil)
		w.mustConverge(t, settle)
		assert.Assert(t, w.allSee(replacement.host.Incarnation, member.StateAlive))
		assert.Assert(t, w.allSee(old.host.Incarnation, 0, member.StateDead), name)
	}
}

func TestOlderProcessOfTheSameNameIsSuperseded(t *testing.T) {
	w := newConvergedNetwork(t, 8, 4)
	older := w.start("host-2", address(9), 0, nil)
	assert.Assert(t, w.runUntil(settle, func() bool { return older.superseded }))
}

func TestPlannedStop(t *testing.T) {
	w := newConvergedNetwork(t, 9, 6)
	stopping := w.nodes[address(3)]
	w.apply(stopping, stopping.core.AnnounceLeaving())
	leaving := func() bool {
		for _, n := range w.nodes {
			for _, m := range n.core.Members() {
				if m.Incarnation == stopping.host.Incarnation && m.IsUsable() {
					return false
				}
			}
		}
		return true
	}
	assert.Assert(t, w.runUntil(settle, leaving))
	suspicions := 0
	w.observe = func(_ *node, change member.Change) {
		if change.Member.State == member.StateSuspect {
			suspicions++
		}
	}
	w.apply(stopping, stopping.core.AnnounceLeft())
	w.kill(stopping)
	left := func() bool { return w.allSee(stopping.host.Incarnation, member.StateLeft) }
	assert.Assert(t, w.runUntil(settle, left))
	assert.Equal(t, suspicions, 0)
}

func TestProbeAddressStartsOneProbe(t *testing.T) {
	w := newConvergedNetwork(t, 10, 3)
	caller, victim := w.nodes[address(0)], w.nodes[address(1)]
	w.kill(victim)
	before := w.sentMessages
	w.apply(caller, caller.core.ProbeAddress(w.now, victim.host.MeshAddress))
	assert.Equal(t, w.sentMessages, before+1)
	w.apply(caller, caller.core.ProbeAddress(w.now, victim.host.MeshAddress))
	assert.Equal(t, w.sentMessages, before+1, "a second probe was started")
}

// TestNoFalseSuspicionUnderLoss guards against suspicions of live hosts during
// ten minutes of virtual time with 30% message loss.
func TestNoFalseSuspicionUnderLoss(t *testing.T) {
	for _, count := range []int{3, 9} {
		w := newConvergedNetwork(t, 11, count)
		w.loss = 0.3
		suspicions := 0
		w.observe = func(_ *node, change member.Change) {
			if change.Member.State != member.StateAlive {
				suspicions++
			}
		}
		w.run(10 * time.Minute)
		assert.Equal(t, suspicions, 0, "%d hosts", count)
	}
}
