package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/connection/platform"
)

// fleet simulates a log and hosts that read it and exchange messages in random
// order.
type fleet struct {
	t       *rapid.T
	fixture *fixture
	log     []platform.Record
	first   uint64
	hosts   []State
}

func newFleet(t *rapid.T, c *fixture, count int) *fleet {
	*c = fixture{keys: c.keys, alma: c.alma, berta: c.berta, stranger: c.stranger, host: c.host}
	f := &fleet{t: t, fixture: c, first: 1}
	for range count {
		f.hosts = append(f.hosts, State{}.clone())
	}
	return f
}

func (f *fleet) drawInt(count int, label string) int {
	return rapid.IntRange(0, count-1).Draw(f.t, label)
}

// setState sets the state of a host and checks that no part of it goes back.
func (f *fleet) setState(host int, next State) {
	before := f.hosts[host]
	assert.Assert(f.t, next.Log.Offset >= before.Log.Offset, "log offset decreased")
	assert.Assert(f.t, next.InForce.offset() >= before.InForce.offset(), "version in force decreased")
	for domain, mark := range before.Marks {
		assert.Assert(f.t, next.Marks[domain].compare(mark) >= 0, "domain mark was replaced by an older one")
	}
	for id, move := range before.Moves {
		if after, kept := next.Moves[id]; kept {
			assert.Equal(f.t, after, after.Join(move), "move state went back")
		}
	}
	f.hosts[host] = next
}

// appendRecord appends a random record, valid or invalid, that is based on the
// state of one host.
func (f *fleet) appendRecord() {
	c := f.fixture
	known := f.hosts[f.drawInt(len(f.hosts), "author")]
	head := known.Log.Head
	digest := ""
	if head != nil {
		digest = head.Digest
	}
	signer := []*Signer{c.alma, c.berta, c.stranger}[f.drawInt(3, "signer")]
	var record Record
	switch f.drawInt(8, "kind") {
	case 0, 1:
		name := fmt.Sprintf("bundle-%d", f.drawInt(20, "name"))
		b := testBundle(name, f.drawInt(2, "moving") == 0)
		draft := Draft{Base: head.offset(), Bundle: b}
		if f.drawInt(8, "restart") == 0 {
			draft.RestartAt = c.lastOffset + 1
		}
		record = signer.Publish(draft, c.nextSequence())
	case 2:
		record = c.berta.Approve(head.offset(), digest, c.nextSequence())
	case 3:
		record = signer.Roll(head.offset(), digest, c.nextSequence())
	case 4:
		record = f.drawMark()
	case 5:
		record = c.host.sign(KindVerdict, c.nextSequence(), VerdictBody{Move: f.drawMove(known), State: f.drawMoveState()})
	case 6:
		record = known.encodeSnapshot(c.host, c.nextSequence())
	default:
		record = signer.sign("banner", c.nextSequence(), "text")
	}
	if len(f.log) > 0 && f.drawInt(6, "again") == 0 {
		record.Raw = f.log[f.drawInt(len(f.log), "which")].Data
	}
	f.log = append(f.log, c.logEntry(record))
}

func (f *fleet) drawMark() Record {
	stamp := Stamp{Millis: int64(f.drawInt(10, "ms")), Host: fmt.Sprintf("host-%d", f.drawInt(3, "stamper"))}
	domain := []string{"a", "b"}[f.drawInt(2, "domain")]
	return f.fixture.alma.Mark(domain, f.drawInt(2, "out") == 0, "", stamp, f.fixture.nextSequence())
}

// drawMove returns a move of the version in force or, without one, a random move.
func (f *fleet) drawMove(known State) MoveID {
	if known.InForce != nil && len(known.InForce.Moves) > 0 {
		return known.InForce.Moves[0]
	}
	return MoveID{Service: "voz", From: "v1", To: "v2", Since: uint64(f.drawInt(5, "since"))}
}

func (f *fleet) drawMoveState() MoveState {
	return MoveState{Stage: uint32(f.drawInt(5, "stage")), Verdict: Verdict(f.drawInt(3, "verdict"))}
}

// readLog lets a host read up to count records and close gaps on the way.
func (f *fleet) readLog(host int, count int) {
	for range count {
		state := f.hosts[host]
		next := state.Log.Offset + 1
		if next > uint64(len(f.log)) {
			return
		}
		if next < f.first {
			if !f.closeGap(host) {
				return
			}
			continue
		}
		state, _ = state.Apply(f.log[next-1], f.fixture.keys)
		f.setState(host, state)
	}
}

// closeGap closes a gap by the log or by a peer and reports whether it succeeded.
func (f *fleet) closeGap(host int) bool {
	for _, entry := range f.log[f.first-1:] {
		if state, outcome := f.hosts[host].Adopt(entry, f.first, f.fixture.keys); outcome.Result != ResultSkipped {
			f.setState(host, state)
			return true
		}
	}
	for _, peer := range f.hosts {
		if peer.Log.Offset+1 >= f.first {
			f.setState(host, Merge(f.hosts[host], peer))
			return true
		}
	}
	return false
}

// sendState sends the whole state, the marks and moves, or a snapshot of one host
// to another.
func (f *fleet) sendState(from, to int) {
	switch f.drawInt(3, "message") {
	case 0:
		f.setState(to, Merge(f.hosts[to], f.hosts[from]))
	case 1:
		f.sendDelta(from, to)
	default:
		record := f.hosts[from].encodeSnapshot(f.fixture.host, 1)
		snapshot, _, ok := decodeSnapshot(record)
		assert.Assert(f.t, ok)
		f.setState(to, Merge(f.hosts[to], snapshot))
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
	f.setState(to, next)
}

// pull lets one host pull from another.
func (f *fleet) pull(from, to int) {
	if f.hosts[from].shouldSendState(f.hosts[to].pullRequest(false)) {
		f.setState(to, Merge(f.hosts[to], f.hosts[from]))
		return
	}
	f.sendDelta(from, to)
}

// doRandomAction performs a random action.
func (f *fleet) doRandomAction() {
	host := f.drawInt(len(f.hosts), "host")
	switch f.drawInt(6, "act") {
	case 0, 1:
		f.appendRecord()
	case 2:
		f.readLog(host, 1+f.drawInt(4, "count"))
	case 3:
		f.sendState(f.drawInt(len(f.hosts), "from"), host)
	case 4:
		next := f.hosts[host].clone()
		next.joinMove(f.drawMove(next), f.drawMoveState())
		f.setState(host, next)
	default:
		f.trim()
	}
}

// trim removes a random number of records that at least one host has read.
func (f *fleet) trim() {
	furthest := uint64(0)
	for _, host := range f.hosts {
		furthest = max(furthest, host.Log.Offset)
	}
	f.first = max(f.first, uint64(f.drawInt(int(furthest)+1, "trim"))+1)
}

// deliverAll lets all hosts read the log to its tail and pull from each other.
func (f *fleet) deliverAll() {
	for range 2 {
		for host := range f.hosts {
			f.readLog(host, 2*len(f.log)+2)
		}
		for from := range f.hosts {
			for to := range f.hosts {
				f.pull(from, to)
			}
		}
	}
}

// Hosts must converge to the same state after any interleaving, duplication and
// loss of records and messages, and no action may move a host back.
func TestHostsConverge(t *testing.T) {
	c := newFixture(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, c, 3)
		for range rapid.IntRange(0, 60).Draw(t, "acts") {
			f.doRandomAction()
		}
		f.deliverAll()
		for host := range f.hosts {
			assert.Equal(t, f.hosts[host].Log.Offset, uint64(len(f.log)))
			assert.DeepEqual(t, f.hosts[host].wire(), f.hosts[0].wire(), ignoreBundles)
		}
	})
}

// Merge must be idempotent, commutative and associative on the states that hosts
// can reach.
func TestMergeIsASemilatticeJoin(t *testing.T) {
	c := newFixture(t)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, c, 3)
		for range rapid.IntRange(0, 40).Draw(t, "acts") {
			f.doRandomAction()
		}
		a, b, d := f.hosts[0], f.hosts[1], f.hosts[2]
		assert.Equal(t, Merge(a, a).encode(), a.encode())
		assert.Equal(t, Merge(a, b).encode(), Merge(b, a).encode())
		assert.Equal(t, Merge(Merge(a, b), d).encode(), Merge(a, Merge(b, d)).encode())
	})
}
