package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/platform"
)

func TestApplyOutcomes(t *testing.T) {
	c := newFixture(t)
	published := testBundle("first", false)
	digest := string(published.Digest())
	start := c.alma.Publish(Draft{Bundle: published}, 10)
	head := []Record{start}
	approved := append(head, c.berta.Approve(1, digest, 10))
	rolled := append(approved, c.alma.Roll(1, digest, 11))
	broken := testBundle("broken", false)
	broken.Tiers[0].Rank = 0
	altered := c.alma.Publish(Draft{Bundle: published}, 12)
	altered.Raw = append([]byte(nil), altered.Raw...)
	altered.Raw[len(altered.Raw)/2] ^= 1
	mark := c.alma.Mark("a", true, "frost", Stamp{Millis: 5, Host: "h"}, 0)
	cases := []struct {
		name   string
		before []Record
		record Record
		result Result
		reason Reason
	}{
		{"publish", nil, start, ResultAccepted, ReasonNone},
		{"publish on an outdated base", head, c.berta.Publish(Draft{Bundle: testBundle("second", false)}, 10), ResultLostRace, ReasonNone},
		{"publish on a future base", nil, c.berta.Publish(Draft{Base: 7, Bundle: published}, 10), ResultLostRace, ReasonNone},
		{"reused name", head, c.berta.Publish(Draft{Base: 1, Bundle: published}, 10), ResultRefused, ReasonNameTaken},
		{"invalid bundle", nil, c.alma.Publish(Draft{Bundle: broken}, 10), ResultRefused, ReasonBundle},
		{"unknown signer", nil, c.stranger.Publish(Draft{Bundle: published}, 10), ResultRefused, ReasonUnknownSigner},
		{"altered", nil, altered, ResultRefused, ReasonSignature},
		{"not a record", nil, Record{Raw: []byte("x")}, ResultRefused, ReasonSyntax},
		{"publish by a host", nil, c.host.Publish(Draft{Bundle: published}, 10), ResultRefused, ReasonRole},
		{"replayed record", head, start, ResultRefused, ReasonReplay},
		{"an older sequence", head, c.alma.Roll(1, digest, 9), ResultRefused, ReasonReplay},
		{"approve", head, c.berta.Approve(1, digest, 10), ResultAccepted, ReasonNone},
		{"approve one's own version", head, c.alma.Approve(1, digest, 11), ResultRefused, ReasonSelfApproval},
		{"approve another digest", head, c.berta.Approve(1, "00", 10), ResultRefused, ReasonDigest},
		{"approve an old version", head, c.berta.Approve(9, digest, 10), ResultLostRace, ReasonNone},
		{"approve twice", approved, c.berta.Approve(1, digest, 11), ResultRefused, ReasonAlreadyApproved},
		{"roll without approval", head, c.alma.Roll(1, digest, 11), ResultRefused, ReasonNotApproved},
		{"roll", approved, c.alma.Roll(1, digest, 11), ResultAccepted, ReasonNone},
		{"roll twice", rolled, c.berta.Roll(1, digest, 11), ResultRefused, ReasonAlreadyInForce},
		{"mark", nil, mark, ResultAccepted, ReasonNone},
		{"replayed mark", []Record{mark}, mark, ResultAccepted, ReasonNone},
		{"an older mark", []Record{mark}, c.berta.Mark("a", false, "", Stamp{Millis: 5, Host: "g"}, 0), ResultRefused, ReasonOlderMark},
		{"mark by a host", nil, c.host.Mark("a", true, "", Stamp{}, 0), ResultRefused, ReasonRole},
		{"verdict by an operator", nil, c.alma.sign(KindVerdict, 10, VerdictBody{}), ResultRefused, ReasonRole},
		{"snapshot by an operator", nil, c.alma.sign(KindSnapshot, 10, SnapshotBody{}), ResultRefused, ReasonRole},
		{"snapshot of a later offset", nil, State{Log: LogState{Offset: 9}}.encodeSnapshot(c.host, 1), ResultRefused, ReasonSnapshot},
		{"unknown kind", nil, c.alma.sign("banner", 10, "text"), ResultUnknown, ReasonNone},
		{"body of another kind", nil, c.alma.sign(KindPublish, 10, "text"), ResultRefused, ReasonSyntax},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c.lastOffset = 0
			state := State{}
			for _, record := range test.before {
				state = applyAll(state, c.keys, c.logEntry(record))
			}
			before := state.encode()
			entry := c.logEntry(test.record)
			after, outcome := state.Apply(entry, c.keys)
			assert.Equal(t, outcome.Result, test.result, "%+v", outcome)
			assert.Equal(t, outcome.Reason, test.reason, "%+v", outcome)
			assert.Equal(t, after.Log.Offset, entry.Offset)
			assert.Equal(t, state.encode(), before, "Apply changed its receiver")
		})
	}
}

// If two operators publish on the same base, the first record in the log wins.
// The outcome of the other names the winner.
func TestLogOrderDecidesPublishRace(t *testing.T) {
	c := newFixture(t)
	state := applyAll(State{}, c.keys, c.publishAndRoll(0, testBundle("base", false))...)
	alma := c.alma.Publish(Draft{Base: 1, Bundle: testBundle("of-alma", false)}, c.nextSequence())
	berta := c.berta.Publish(Draft{Base: 1, Bundle: testBundle("of-berta", false)}, c.nextSequence())
	state = applyAll(state, c.keys, c.logEntry(berta))
	state, outcome := state.Apply(c.logEntry(alma), c.keys)
	assert.Equal(t, outcome.Result, ResultLostRace)
	assert.Equal(t, outcome.Winner.Name, "of-berta")
	assert.Equal(t, state.Log.Head.Name, "of-berta")
	assert.Equal(t, state.InForce.Name, "base")
}

func TestMovesKeepTheirID(t *testing.T) {
	c := newFixture(t)
	state := applyAll(State{}, c.keys, c.publishAndRoll(0, testBundle("one", true))...)
	first := state.InForce.Moves[0]
	state.joinMove(first, MoveState{Stage: 3})
	state = applyAll(state, c.keys, c.publishAndRoll(1, testBundle("two", true))...)
	assert.DeepEqual(t, state.InForce.Moves, []MoveID{first})
	assert.Equal(t, state.Moves[first].Stage, uint32(3))
	state = applyAll(state, c.keys, c.publishAndRoll(4, testBundle("three", false))...)
	assert.Equal(t, len(state.Moves), 0)
	state = applyAll(state, c.keys, c.publishAndRoll(7, testBundle("four", true))...)
	assert.Assert(t, state.InForce.Moves[0] != first)
}

// Records of a newer release must be retained, counted and included in snapshots.
func TestUnknownRecordsAreKept(t *testing.T) {
	c := newFixture(t)
	state := applyAll(State{}, c.keys, c.logEntry(c.alma.sign("banner", c.nextSequence(), "text")))
	for range 2 * maxUnknown {
		state = applyAll(state, c.keys, c.logEntry(c.alma.sign("banner", c.nextSequence(), "text")))
	}
	snapshot, _, ok := decodeSnapshot(state.encodeSnapshot(c.host, 1))
	assert.Assert(t, ok)
	assert.Equal(t, snapshot.Log.UnknownCount, uint64(2*maxUnknown+1))
	assert.Equal(t, len(snapshot.Log.Unknown), maxUnknown)
	assert.Equal(t, snapshot.Log.Unknown[0].Kind, Kind("banner"))
}

// A bundle of a newer schema must be put in force also by a release that does not
// support the schema and has no decoded bundle for it.
func TestNewerBundleSchema(t *testing.T) {
	c := newFixture(t)
	state := applyAll(State{}, c.keys, c.publishAndRoll(0, testBundle("first", false))...)
	newer := testBundle("second", false)
	newer.Schema++
	state = applyAll(state, c.keys, c.publishAndRoll(1, newer)...)
	assert.Equal(t, state.InForce.Name, "second")
	assert.Assert(t, state.InForce.Bundle() == nil)
	assert.Assert(t, !state.InForce.Info().Understood)
}

// After a restart, hosts that lack the records before it must have the same state
// as hosts that have read them. Replays of the lost records must be refused.
func TestRestartAfterGap(t *testing.T) {
	c := newFixture(t)
	first := c.publishAndRoll(0, testBundle("first", true))
	lost := c.publishAndRoll(1, testBundle("second", true))
	restart := c.logEntry(c.alma.Publish(Draft{Bundle: testBundle("third", true), RestartAt: c.lastOffset + 1}, c.nextSequence()))
	digest := string(testBundle("third", true).Digest())
	rest := []platform.Record{
		restart,
		c.logEntry(c.berta.Approve(restart.Offset, digest, c.nextSequence())),
		c.logEntry(c.alma.Roll(restart.Offset, digest, c.nextSequence())),
	}
	whole := applyAll(applyAll(applyAll(State{}, c.keys, first...), c.keys, lost...), c.keys, rest...)
	gapped := applyAll(applyAll(State{}, c.keys, first...), c.keys, rest...)
	assert.Equal(t, gapped.encode(), whole.encode())
	assert.Equal(t, gapped.InForce.Name, "third")
	_, outcome := gapped.Apply(c.logEntry(Record{Raw: lost[0].Data}), c.keys)
	assert.Equal(t, outcome.Reason, ReasonReplay)
}

func TestKeyringRefuses(t *testing.T) {
	cases := []struct {
		name, operator, key, secret string
	}{
		{"no secret", "alma", "", ""},
		{"short secret", "alma", "", "0123456789abcde"},
		{"no key", "alma", "", testSecret},
		{"short key", "alma", "AAAA", testSecret},
		{"name with a slash", "a/b", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", testSecret},
	}
	for _, c := range cases {
		_, err := NewKeyring(map[string]string{c.operator: c.key}, c.secret)
		assert.ErrorIs(t, err, ErrInvalidKey, c.name)
	}
}

func FuzzApply(f *testing.F) {
	c := newFixture(f)
	f.Add(c.alma.Publish(Draft{Bundle: testBundle("first", true)}, 1).Raw)
	f.Add(c.alma.Mark("a", true, "", Stamp{}, 1).Raw)
	f.Add(State{}.encodeSnapshot(c.host, 1).Raw)
	f.Fuzz(func(t *testing.T, data []byte) {
		state, outcome := State{}.Apply(platform.Record{Offset: 1, Data: data}, c.keys)
		assert.Equal(t, state.Log.Offset, uint64(1))
		assert.Assert(t, outcome.Result != "")
	})
}

// FuzzBody fuzzes the bodies of records with valid signatures.
func FuzzBody(f *testing.F) {
	c := newFixture(f)
	signers := []*Signer{c.alma, c.host}
	kinds := []Kind{KindPublish, KindApprove, KindRoll, KindMark, KindVerdict, KindSnapshot}
	f.Add(uint8(0), uint8(0), mustEncode(PublishBody{Name: "x"}))
	f.Add(uint8(1), uint8(5), mustEncode(SnapshotBody{}))
	f.Fuzz(func(t *testing.T, signer, kind uint8, body []byte) {
		if _, err := encMode.Marshal(rawBody(body)); err != nil {
			return
		}
		record := signers[int(signer)%len(signers)].sign(kinds[int(kind)%len(kinds)], 1, rawBody(body))
		state, outcome := State{}.Apply(platform.Record{Offset: 1, Data: record.Raw}, c.keys)
		assert.Equal(t, state.Log.Offset, uint64(1))
		assert.Assert(t, outcome.Result != "")
		state.encode()
	})
}

// rawBody is a body that is already encoded.
type rawBody []byte

// MarshalCBOR implements cbor.Marshaler.
func (b rawBody) MarshalCBOR() ([]byte, error) { return b, nil }
