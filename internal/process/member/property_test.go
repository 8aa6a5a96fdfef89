package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/member"
)

// TestViewsConverge checks that after any sequence of faults, once these end,
// all running processes see each other and no others. The seeds are the
// addresses of all hosts, since processes that know no address of each other
// can't meet.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 8).Draw(t, "hosts")
		w.seeds = nil
		for i := range count {
			w.seeds = append(w.seeds, address(i))
		}
		w.startHosts(count, nil)
		w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		w.duplication = rapid.Float64Range(0, 0.5).Draw(t, "copies")
		w.delay = time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond
		forbidResurrection(t, w)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			injectFault(t, w, count, uint64(step)+2)
			w.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "pause")) * time.Second)
		}
		w.loss, w.duplication, w.delay = 0, 0, time.Millisecond
		clear(w.cuts)
		for _, n := range w.nodes {
			if n.suspended {
				w.resume(n)
			}
		}
		if !w.runUntil(5*time.Minute, w.converged) {
			for _, n := range w.nodes {
				t.Logf("%s sees %v", n.host.Incarnation, n.core.Members())
			}
			t.Fatal("views did not converge")
		}
	})
}

// injectFault injects one random fault.
func injectFault(t *rapid.T, w *network, count int, number uint64) {
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
		if n != nil && !n.suspended {
			n.suspended = true
		}
	case 3:
		if n != nil && n.suspended {
			w.resume(n)
		}
	case 4:
		to := address(rapid.IntRange(0, count-1).Draw(t, "to"))
		w.cuts[direction{at, to}] = !w.cuts[direction{at, to}]
	case 5:
		if n != nil && !n.suspended && len(w.nodes) > 1 {
			w.apply(n, n.core.AnnounceLeaving())
			w.apply(n, n.core.AnnounceLeft())
			w.kill(n)
		}
	}
}

// forbidResurrection fails the test if a host sees an incarnation that has left
// in another state, or replaces an incarnation by an earlier one.
func forbidResurrection(t *rapid.T, w *network) {
	w.observe = func(n *node, change member.Change) {
		wasLeft := change.Before.State == member.StateLeft
		isOlder := change.Member.Number < change.Before.Number
		if isOlder || wasLeft && !change.IsNewIncarnation() && change.Member.State != member.StateLeft {
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

// TestJoin checks that records can be merged in any order and with any
// repetition, and that a dead host returns only with a new incarnation or by a
// refutation.
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
