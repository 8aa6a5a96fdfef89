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
	// restored bounds how long after the end of all faults views may differ.
	restored = 2 * time.Minute
)

func grown(t testing.TB, seed uint64, count int) *network {
	w := newNetwork(seed)
	w.grow(count, nil)
	w.mustConverge(t, settle)
	return w
}

// TestFirstChangeHasNothingBefore checks that a host that was not known is not
// reported as the successor of another one.
func TestFirstChangeHasNothingBefore(t *testing.T) {
	w := newNetwork(1)
	joins := 0
	w.changes = func(_ *node, change member.Change) {
		joins++
		assert.Equal(t, change.Before, member.Member{})
	}
	w.grow(3, nil)
	w.mustConverge(t, settle)
	assert.Equal(t, joins, 6)
}

// allBelieve reports whether all others believe the state of an incarnation.
func (w *network) allBelieve(of identity.Incarnation, states ...member.State) bool {
	for _, n := range w.nodes {
		if n.host.Incarnation != of && !slices.Contains(states, n.believes(of)) {
			return false
		}
	}
	return true
}

func TestHostsFindEachOther(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 40} {
		grown(t, 1, count)
	}
}

func TestKilledHostIsFoundDead(t *testing.T) {
	w := grown(t, 2, 6)
	victim := w.nodes[address(3)]
	w.kill(victim)
	dead := func() bool { return w.allBelieve(victim.host.Incarnation, member.StateDead) }
	assert.Assert(t, w.runUntil(settle, dead))
}

func TestFrozenHostIsSuspectedAndComesBack(t *testing.T) {
	w := grown(t, 3, 6)
	victim := w.nodes[address(3)]
	victim.frozen = true
	dead := func() bool { return w.allBelieve(victim.host.Incarnation, member.StateDead) }
	assert.Assert(t, w.runUntil(settle, dead))
	accused := 0
	w.changes = func(n *node, change member.Change) {
		if n == victim && change.Member.State != member.StateAlive {
			accused++
		}
	}
	w.thaw(victim)
	w.mustConverge(t, restored)
	assert.Equal(t, accused, 0, "the host that slept accused others")
}

// TestCutOneWayKeepsHosts cuts each direction between two hosts: others still
// reach both, so nobody may be suspected.
func TestCutOneWayKeepsHosts(t *testing.T) {
	for _, both := range []bool{false, true} {
		w := grown(t, 4, 6)
		a, b := w.nodes[address(2)], w.nodes[address(3)]
		suspicions := 0
		w.changes = func(_ *node, change member.Change) {
			if change.Member.State != member.StateAlive {
				suspicions++
			}
		}
		w.cut(a, b, true)
		w.cut(b, a, both)
		w.run(time.Minute)
		assert.Equal(t, suspicions, 0)
	}
}

// TestMuteHost cuts all that a host sends; the others must find it dead and,
// after the cut, alive again.
func TestMuteHost(t *testing.T) {
	w := grown(t, 5, 6)
	mute := w.nodes[address(3)]
	for _, other := range w.nodes {
		w.cut(mute, other, true)
	}
	dead := func() bool { return w.allBelieve(mute.host.Incarnation, member.StateDead) }
	assert.Assert(t, w.runUntil(settle, dead))
	clear(w.cuts)
	w.mustConverge(t, restored)
}

func TestCutInHalves(t *testing.T) {
	w := grown(t, 6, 9)
	for i := range 9 {
		for j := range 9 {
			if i%2 != j%2 {
				w.cut(w.nodes[address(i)], w.nodes[address(j)], true)
			}
		}
	}
	w.run(5 * time.Minute)
	assert.Equal(t, w.nodes[address(0)].believes(w.nodes[address(1)].host.Incarnation), member.StateDead)
	clear(w.cuts)
	w.mustConverge(t, restored)
}

func TestReplacedAtTheSameAddress(t *testing.T) {
	for _, name := range []string{"host-3", "other"} {
		w := grown(t, 7, 6)
		old := w.nodes[address(3)]
		fresh := w.start(name, address(3), 2, nil)
		w.mustConverge(t, settle)
		assert.Assert(t, w.allBelieve(fresh.host.Incarnation, member.StateAlive))
		assert.Assert(t, w.allBelieve(old.host.Incarnation, 0, member.StateDead), name)
	}
}

func TestOlderProcessOfTheSameNameIsSuperseded(t *testing.T) {
	w := grown(t, 8, 4)
	late := w.start("host-2", address(9), 0, nil)
	assert.Assert(t, w.runUntil(settle, func() bool { return late.superseded }))
}

func TestPlannedStop(t *testing.T) {
	w := grown(t, 9, 6)
	leaver := w.nodes[address(3)]
	w.apply(leaver, leaver.core.Leave())
	leaving := func() bool {
		for _, n := range w.nodes {
			for _, m := range n.core.Members() {
				if m.Incarnation == leaver.host.Incarnation && m.IsUsable() {
					return false
				}
			}
		}
		return true
	}
	assert.Assert(t, w.runUntil(settle, leaving))
	suspicions := 0
	w.changes = func(_ *node, change member.Change) {
		if change.Member.State == member.StateSuspect {
			suspicions++
		}
	}
	w.apply(leaver, leaver.core.Depart())
	w.kill(leaver)
	left := func() bool { return w.allBelieve(leaver.host.Incarnation, member.StateLeft) }
	assert.Assert(t, w.runUntil(settle, left))
	assert.Equal(t, suspicions, 0)
}

func TestHintStartsAProbe(t *testing.T) {
	w := grown(t, 10, 3)
	caller, victim := w.nodes[address(0)], w.nodes[address(1)]
	w.kill(victim)
	before := w.sentMessages
	w.apply(caller, caller.core.Hint(w.now, victim.host.MeshAddress))
	assert.Equal(t, w.sentMessages, before+1)
	w.apply(caller, caller.core.Hint(w.now, victim.host.MeshAddress))
	assert.Equal(t, w.sentMessages, before+1, "one probe at a time")
}

// TestNoFalseSuspicionUnderLoss runs ten minutes of virtual time with 30% of
// all messages lost.
func TestNoFalseSuspicionUnderLoss(t *testing.T) {
	for _, count := range []int{3, 9} {
		w := grown(t, 11, count)
		w.loss = 0.3
		suspicions := 0
		w.changes = func(_ *node, change member.Change) {
			if change.Member.State != member.StateAlive {
				suspicions++
			}
		}
		w.run(10 * time.Minute)
		assert.Equal(t, suspicions, 0, "%d hosts", count)
	}
}
