package config

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/version/bundle"
)

const testSecret = "a secret of the test fleet"

// fixture holds the signers of the tests and issues sequences, stamps and log
// offsets.
type fixture struct {
	keys       *Keyring
	alma       *Signer
	berta      *Signer
	stranger   *Signer
	host       *Signer
	sequence   uint64
	lastStamp  Stamp
	lastOffset uint64
}

func newFixture(t testing.TB) *fixture {
	c := &fixture{}
	operators := map[string]string{}
	signers := map[string]*Signer{}
	for _, name := range []string{"alma", "berta", "stranger"} {
		pair, err := GenerateKey()
		assert.NilError(t, err)
		operators[name] = pair.Public
		signers[name], err = NewOperatorSigner(name, pair.Private)
		assert.NilError(t, err)
	}
	delete(operators, "stranger")
	keys, err := NewKeyring(operators, testSecret)
	assert.NilError(t, err)
	c.keys = keys
	c.alma, c.berta, c.stranger = signers["alma"], signers["berta"], signers["stranger"]
	c.host = keys.hostSigner("host-1")
	return c
}

func (c *fixture) nextSequence() uint64 {
	c.sequence++
	return c.sequence
}

// nextStamp returns a later stamp than any before.
func (c *fixture) nextStamp(host string) Stamp {
	c.lastStamp = c.lastStamp.next(0, host)
	return c.lastStamp
}

// logEntry returns a record as it is stored in the log at the next offset.
func (c *fixture) logEntry(record Record) platform.Record {
	c.lastOffset++
	return platform.Record{
		Offset:         c.lastOffset,
		ID:             record.ID,
		Data:           record.Raw,
		AppendedMillis: 1000 * int64(c.lastOffset),
	}
}

// testBundle returns a small bundle, with a move if withMove is set.
func testBundle(name string, withMove bool) *bundle.Bundle {
	b := sizedBundle(name, 1, 2)
	if withMove {
		b.Endpoints[1].Version = "v2"
		b.Moves = []bundle.Move{{Service: "voz", From: "v1", To: "v2", CompleteSeconds: 60}}
	}
	return b
}

// sizedBundle returns a bundle with the given number of teams and endpoints.
func sizedBundle(name string, teams, endpoints int) *bundle.Bundle {
	b := &bundle.Bundle{
		Schema:               bundle.SchemaVersion,
		Name:                 name,
		Domains:              []bundle.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Tiers:                []bundle.Tier{{Name: "quick", Rank: 1, FirstTokenMillis: 500}},
		Services:             []bundle.Service{{Name: "voz", Kind: bundle.KindEngine}},
		Routes:               []bundle.Route{{Name: "frost", Service: "voz", Tier: "quick"}},
		WeightLoadsPerMinute: 60,
		RetentionSeconds:     60,
		EntryKeepSeconds:     5,
	}
	for i := range teams {
		b.Teams = append(b.Teams, bundle.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1 + i%7, QueueRequests: 100, QueueBytes: 1 << 20})
	}
	for i := range endpoints {
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{
			Name:      fmt.Sprintf("voz-%d", i),
			Service:   "voz",
			Version:   "v1",
			Address:   fmt.Sprintf("127.0.%d.%d:8000", i/200, 1+i%200),
			Domain:    b.Domains[i%2].Name,
			ColdSlots: 1,
			MaxSlots:  16,
		})
	}
	return b
}

// publishAndRoll returns the log records that publish, approve and roll a bundle.
func (c *fixture) publishAndRoll(base uint64, b *bundle.Bundle) []platform.Record {
	publish := c.logEntry(c.alma.Publish(Draft{Base: base, Bundle: b}, c.nextSequence()))
	digest := string(b.Digest())
	return []platform.Record{
		publish,
		c.logEntry(c.berta.Approve(publish.Offset, digest, c.nextSequence())),
		c.logEntry(c.alma.Roll(publish.Offset, digest, c.nextSequence())),
	}
}

// applyAll applies records in order.
func applyAll(state State, keys *Keyring, entries ...platform.Record) State {
	for _, entry := range entries {
		state, _ = state.Apply(entry, keys)
	}
	return state
}

// encode returns the state's canonical encoding.
func (s State) encode() string { return string(mustEncode(s.wire())) }

// ignoreBundles excludes decoded bundles from comparisons, since they are derived
// from the content.
var ignoreBundles = cmpopts.IgnoreUnexported(Version{})
