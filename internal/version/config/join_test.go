package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/connection/platform"
)

// fleet is a log and hosts that read it and talk to one another, in whatever
// order a test draws.
type fleet struct {
	t     *rapid.T
	cast  *cast
	log   []platform.Record
	first uint64
	hosts []State
}

func newFleet(t *rapid.T, c *cast, count int) *fleet {
	*c = cast{keys: c.keys, alma: c.alma, berta: c.berta, stranger: c.stranger, host: c.host}
	f := &fleet{t: t, cast: c, first: 1}
	for range count {
		f.hosts = append(f.hosts, State{}.clone())
	}
	return f
}

func (f *fleet) draw(count int, label string) int {
	return rapid.IntRange(0, count-1).Draw(f.t, label)
}

// set gives a host a new state, which must not lie behind its old one.
func (f *fleet) set(host int, next State) {
	before := f.hosts[host]
	assert.Assert(f.t, next.Log.Offset >= before.Log.Offset, "log offset went back")
	assert.Assert(f.t, next.InForce.offset() >= before.InForce.offset(), "version in force went back")
	for domain, mark := range before.Marks {
		assert.Assert(f.t, next.Marks[domain].compare(mark) >= 0, "domain mark went back")
	}
	for id, move := range before.Moves {
		if after, kept := next.Moves[id]; kept {
			assert.Equal(f.t, after, after.Join(move), "move went back")
		}
	}
	f.hosts[host] = next
}

// appendRecord appends a record that a host or operator may write, right or
// wrong, from what one host knows.
func (f *fleet) appendRecord() {
	c := f.cast
	known := f.hosts[f.draw(len(f.hosts), "author")]
	head := known.Log.Head
	digest := ""
	if head != nil {
		digest = head.Digest
	}
	signer := []*Signer{c.alma, c.berta, c.stranger}[f.draw(3, "signer")]
	var record Record
	switch f.draw(8, "kind") {
	case 0, 1:
		name := fmt.Sprintf("bundle-%d", f.draw(20, "name"))
		b := testBundle(name, f.draw(2, "moving") == 0)
		draft := Draft{Base: head.offset(), Bundle: b}
		if f.draw(8, "restart") == 0 {
			draft.RestartAt = c.lastOffset + 1
		}
		record = signer.Publish(draft, c.next())
	case 2:
		record = c.berta.Approve(head.offset(), digest, c.next())
	case 3:
		record = signer.Roll(head.offset(), digest, c.next())
	case 4:
		record = f.drawMark()
	case 5:
		record = c.host.sign(KindVerdict, c.next(), VerdictBody{Move: f.drawMove(known), State: f.drawMoveState()})
	case 6:
		record = known.encodeSnapshot(c.host, c.next())
	default:
		record = signer.sign("banner", c.next(), "text")
	}
	if len(f.log) > 0 && f.draw(6, "again") == 0 {
		record.Raw = f.log[f.draw(len(f.log), "which")].Data
	}
	f.log = append(f.log, c.entry(record))
}

func (f *fleet) drawMark() Record {
	stamp := Stamp{Millis: int64(f.draw(10, "ms")), Host: fmt.Sprintf("host-%d", f.draw(3, "stamper"))}
	domain := []string{"a", "b"}[f.draw(2, "domain")]
	return f.cast.alma.Mark(domain, f.draw(2, "out") == 0, "", stamp, f.cast.next())
}

// drawMove gives a move that the host knows, or one that it does not.
func (f *fleet) drawMove(known State) MoveID {
	if known.InForce != nil && len(known.InForce.Moves) > 0 {
		return known.InForce.Moves[0]
	}
	return MoveID{Service: "voz", From: "v1", To: "v2", Since: uint64(f.draw(5, "since"))}
}

func (f *fleet) drawMoveState() MoveState {
	return MoveState{Stage: uint32(f.draw(5, "stage")), Verdict: Verdict(f.draw(3, "verdict"))}
}

// read lets a host read on in the log, if need be over a gap.
func (f *fleet) read(host int, count int) {
	for range count {
		state := f.hosts[host]
		next := state.Log.Offset + 1
		if next > uint64(len(f.log)) {
			return
		}
		if next < f.first {
			if !f.heal(host) {
				return
			}
			continue
		}
		state, _ = state.Apply(f.log[next-1], f.cast.keys)
		f.set(host, state)
	}
}

// heal closes a gap by the log or by a peer, and reports whether it could.
func (f *fleet) heal(host int) bool {
	for _, entry := range f.log[f.first-1:] {
		if state, outcome := f.hosts[host].Adopt(entry, f.first, f.cast.keys); outcome.Result != ResultSkipped {
			f.set(host, state)
			return true
		}
	}
	for _, peer := range f.hosts {
		if peer.Log.Offset+1 >= f.first {
			f.set(host, Merge(f.hosts[host], peer))
			return true
		}
	}
	return false
}

// talk sends the joins of a host, its whole state, or a part to another one.
func (f *fleet) talk(from, to int) {
	switch f.draw(3, "message") {
	case 0:
		f.set(to, Merge(f.hosts[to], f.hosts[from]))
	case 1:
		f.sendDelta(from, to)
	default:
		record := f.hosts[from].encodeSnapshot(f.cast.host, 1)
		snapshot, _, ok := readSnapshot(record)
		assert.Assert(f.t, ok)
		f.set(to, Merge(f.hosts[to], snapshot))
	}
}

func (f *fleet) sendDelta(from, to int) {
	next := f.hosts[to].clone()
	for _, mark := range f.hosts[from].Marks {
		next.joinMark(mark)
	}
	for id, move := range f.hosts[from].Moves {
		next.joinMove(id, move)
	}
	f.set(to, next)
}

// pull lets a host ask another one for what is newer than its state.
func (f *fleet) pull(from, to int) {
	if f.hosts[from].hasNewsFor(f.hosts[to].pullRequest(false)) {
		f.set(to, Merge(f.hosts[to], f.hosts[from]))
		return
	}
	f.sendDelta(from, to)
}

// act draws one thing that happens.
func (f *fleet) act() {
	host := f.draw(len(f.hosts), "host")
	switch f.draw(6, "act") {
	case 0, 1:
		f.appendRecord()
	case 2:
		f.read(host, 1+f.draw(4, "count"))
	case 3:
		f.talk(f.draw(len(f.hosts), "from"), host)
	case 4:
		next := f.hosts[host].clone()
		next.joinMove(f.drawMove(next), f.drawMoveState())
		f.set(host, next)
	default:
		f.trim()
	}
}

// trim drops records that some host has read.
func (f *fleet) trim() {
	furthest := uint64(0)
	for _, host := range f.hosts {
		furthest = max(furthest, host.Log.Offset)
	}
	f.first = max(f.first, uint64(f.draw(int(furthest)+1, "trim"))+1)
}

// settle lets all hosts read the log to its tail and hear of each other.
func (f *fleet) settle() {
	for range 2 {
		for host := range f.hosts {
			f.read(host, 2*len(f.log)+2)
		}
		for from := range f.hosts {
			for to := range f.hosts {
				f.pull(from, to)
			}
		}
	}
}

// Any interleaving, duplication and loss of records and messages ends in the
// same state on all hosts, and no step moves a host back.
func TestHostsConverge(t *testing.T) {
	c := newCast(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, c, 3)
		for range rapid.IntRange(0, 60).Draw(t, "acts") {
			f.act()
		}
		f.settle()
		for host := range f.hosts {
			assert.Equal(t, f.hosts[host].Log.Offset, uint64(len(f.log)))
			assert.DeepEqual(t, f.hosts[host].wire(), f.hosts[0].wire(), ignoreBundles)
		}
	})
}

// Merge is a join of the states that hosts can have.
func TestMergeIsAJoin(t *testing.T) {
	c := newCast(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, c, 3)
		for range rapid.IntRange(0, 40).Draw(t, "acts") {
			f.act()
		}
		a, b, d := f.hosts[0], f.hosts[1], f.hosts[2]
		assert.Equal(t, Merge(a, a).encode(), a.encode())
		assert.Equal(t, Merge(a, b).encode(), Merge(b, a).encode())
		assert.Equal(t, Merge(Merge(a, b), d).encode(), Merge(a, Merge(b, d)).encode())
	})
}
