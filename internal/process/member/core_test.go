package member_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// marks is a Source: the greatest number of each key wins.
type marks map[string]byte

func (m marks) Topic() member.Topic { return "marks" }

func (m marks) Merge(delta member.Delta) bool {
	if len(delta.Body) != 1 || m[delta.Key] >= delta.Body[0] {
		return false
	}
	m[delta.Key] = delta.Body[0]
	return true
}

func (m marks) Digest() uint64 {
	var sum uint64
	for key, value := range m {
		sum += uint64(value) * uint64(len(key)*1000+int(key[0]))
	}
	return sum
}

func (m marks) Deltas() []member.Delta {
	var all []member.Delta
	for _, key := range slices.Sorted(maps.Keys(m)) {
		all = append(all, member.Delta{Topic: "marks", Key: key, Body: []byte{m[key]}})
	}
	return all
}

// TestDeltasReachAll spreads deltas, some of them during a cut.
func TestDeltasReachAll(t *testing.T) {
	w := newNetwork(12)
	var states []marks
	w.grow(9, func() member.Source {
		states = append(states, marks{})
		return states[len(states)-1]
	})
	w.mustConverge(t, settle)
	spread := func(host int, key string, value byte) {
		delta := member.Delta{Topic: "marks", Key: key, Body: []byte{value}}
		states[host].Merge(delta)
		w.apply(w.nodes[address(host)], w.nodes[address(host)].core.Spread(delta))
	}
	for i := range 9 {
		w.cut(w.nodes[address(i)], w.nodes[address(8)], true)
	}
	spread(0, "a", 1)
	spread(1, "a", 2)
	spread(8, "b", 7)
	w.run(30 * time.Second)
	clear(w.cuts)
	equal := func() bool {
		for _, state := range states {
			if !maps.Equal(state, marks{"a": 2, "b": 7}) {
				return false
			}
		}
		return true
	}
	assert.Assert(t, w.runUntil(restored, equal), "%v", states)
}

// TestViewsConverge checks that after any faults, once these end, all running
// processes see each other and no others. The seeds are the addresses of all
// hosts: processes that know no address of each other cannot meet.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 8).Draw(t, "hosts")
		w.seeds = nil
		for i := range count {
			w.seeds = append(w.seeds, address(i))
		}
		w.grow(count, nil)
		w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		w.copies = rapid.Float64Range(0, 0.5).Draw(t, "copies")
		w.delay = time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond
		forbidReturns(t, w)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			disturb(t, w, count, uint64(step)+2)
			w.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second)
		}
		w.loss, w.copies, w.delay = 0, 0, time.Millisecond
		clear(w.cuts)
		for _, n := range w.nodes {
			if n.frozen {
				w.thaw(n)
			}
		}
		if !w.runUntil(5*time.Minute, w.converged) {
			for _, n := range w.nodes {
				t.Logf("%s sees %v", n.host.Incarnation, n.core.Members())
			}
			t.Fatal("views differ")
		}
	})
}

// disturb draws one fault.
func disturb(t *rapid.T, w *network, count int, number uint64) {
	i := rapid.IntRange(0, count-1).Draw(t, "host")
	at := address(i)
	n := w.nodes[at]
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		if n != nil && len(w.nodes) > 1 {
			w.kill(n)
		}
	case 1:
		w.start(fmt.Sprintf("host-%d", i), at, number, nil)
	case 2:
		if n != nil && !n.frozen {
			n.frozen = true
		}
	case 3:
		if n != nil && n.frozen {
			w.thaw(n)
		}
	case 4:
		to := address(rapid.IntRange(0, count-1).Draw(t, "to"))
		w.cuts[link{at, to}] = !w.cuts[link{at, to}]
	case 5:
		if n != nil && !n.frozen && len(w.nodes) > 1 {
			w.apply(n, n.core.Leave())
			w.apply(n, n.core.Depart())
			w.kill(n)
		}
	}
}

// forbidReturns fails the test when a host takes an incarnation back that has
// left, or sees a host go back to an earlier incarnation.
func forbidReturns(t *rapid.T, w *network) {
	w.changes = func(n *node, change member.Change) {
		hasLeft := change.Before.State == member.StateLeft
		isOlder := change.Member.Number < change.Before.Number
		if isOlder || hasLeft && !change.IsNewIncarnation() && change.Member.State != member.StateLeft {
			t.Fatalf("%s went from %v to %v", n.host.Incarnation, change.Before, change.Member)
		}
	}
}

func drawRecord(t *rapid.T, label string) member.Record {
	return member.Record{
		Host:       identity.Host{Incarnation: identity.Incarnation{Host: "a", Number: rapid.Uint64Range(1, 3).Draw(t, label+" number")}},
		State:      member.State(rapid.IntRange(1, 4).Draw(t, label+" state")),
		Refutation: rapid.Uint32Range(0, 2).Draw(t, label+" refutation"),
		Leaving:    rapid.Bool().Draw(t, label+" leaving"),
	}
}

// TestJoin checks that records join in any order and repetition, and that the
// dead come back only as a new incarnation or by a refutation.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		assert.Equal(t, a.Join(a), a)
		assert.Equal(t, a.Join(b), b.Join(a))
		assert.Equal(t, a.Join(b).Join(c), a.Join(b.Join(c)))
		joined := a.Join(b)
		if a.State == member.StateDead && !joined.State.IsGone() {
			isNew := joined.Host.Number > a.Host.Number
			assert.Assert(t, isNew || joined.Refutation > a.Refutation)
		}
		if a.State == member.StateLeft && !joined.State.IsGone() {
			assert.Assert(t, joined.Host.Number > a.Host.Number)
		}
	})
}
