package bundle_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"mustarddoor/internal/process/jsoncheck"
	"mustarddoor/internal/version/bundle"
)

func exampleBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Schema:  bundle.SchemaVersion,
		Name:    "spring-1",
		Domains: []bundle.Domain{{Name: "izmir-forge", Region: "ege"}, {Name: "manisa-yard", Region: "ege"}},
		Tiers:   []bundle.Tier{{Name: "quick", Rank: 1, FirstTokenMillis: 400}, {Name: "late", Rank: 2}},
		Services: []bundle.Service{
			{Name: "usta-llm", Kind: bundle.KindEngine},
			{Name: "defter-app", Kind: bundle.KindPlain, LookupPath: "/orders/{key}"},
		},
		Routes: []bundle.Route{
			{Name: "gauge", Service: "usta-llm", Tier: "quick", ExpectedOutputTokens: 20, MaxOutputTokens: 100},
			{Name: "order", Service: "defter-app", Tier: "late", Method: "POST", PathPrefix: "/orders", NonIdempotent: true},
		},
		Endpoints: []bundle.Endpoint{
			{Name: "w1", Service: "usta-llm", Version: "v1", Address: "127.0.0.1:9001", Domain: "izmir-forge", ColdSlots: 1, MaxSlots: 8},
			{Name: "w2", Service: "usta-llm", Version: "v2", Address: "127.0.0.1:9002", Domain: "manisa-yard", ColdSlots: 1, MaxSlots: 8},
			{Name: "d1", Service: "defter-app", Version: "r1", Address: "[::1]:9003", Domain: "manisa-yard", ColdSlots: 4, MaxSlots: 4},
		},
		Teams:                []bundle.Team{{Name: "coopers", Weight: 3, QueueRequests: 10, QueueBytes: 1 << 20}},
		Moves:                []bundle.Move{{Service: "usta-llm", From: "v1", To: "v2", CompleteSeconds: 60}},
		WeightLoadsPerMinute: 6,
		RetentionSeconds:     600,
		EntryKeepSeconds:     10,
	}
}

func TestParseRoundTrip(t *testing.T) {
	want := exampleBundle()
	indented, err := json.MarshalIndent(want, "", "  ")
	assert.NilError(t, err)
	got, err := bundle.Parse("b.json", indented)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, got.Digest(), bundle.DigestOf(want.Canonical()))
}

func TestDigestDependsOnContent(t *testing.T) {
	changed := exampleBundle()
	changed.Teams[0].Weight++
	assert.Assert(t, changed.Digest() != exampleBundle().Digest())
}

func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name   string
		change func(*bundle.Bundle)
		want   string
	}{
		{"duplicate domain", func(b *bundle.Bundle) { b.Domains[1].Name = "izmir-forge" }, `b.json: /domains/1/name: "izmir-forge": must be unique in domains`},
		{"duplicate rank", func(b *bundle.Bundle) { b.Tiers[1].Rank = 1 }, `/tiers/1/rank: 1: must be unique`},
		{"rank 0", func(b *bundle.Bundle) { b.Tiers[1].Rank = 0 }, `/tiers/1/rank: 0: minimum`},
		{"unknown tier", func(b *bundle.Bundle) { b.Routes[0].Tier = "x" }, `/routes/0/tier: "x": must name one of tiers`},
		{"unknown service", func(b *bundle.Bundle) { b.Routes[0].Service = "x" }, `/routes/0/service: "x": must name one of services`},
		{"engine with method", func(b *bundle.Bundle) { b.Routes[0].Method = "GET" }, `/routes/0/method: "GET": must be absent`},
		{"plain service without path", func(b *bundle.Bundle) { b.Routes[1].PathPrefix = "" }, `/routes/1/path_prefix: "": must be given`},
		{"engine with lookup path", func(b *bundle.Bundle) { b.Services[0].LookupPath = "/{key}" }, `/services/0/lookup_path: "/{key}": must be absent`},
		{"expected above max", func(b *bundle.Bundle) { b.Routes[0].ExpectedOutputTokens = 101 }, `/routes/0/expected_output_tokens: 101: must be at most max_output_tokens, 100`},
		{"unknown domain", func(b *bundle.Bundle) { b.Endpoints[0].Domain = "x" }, `/endpoints/0/domain: "x": must name one of domains`},
		{"host name as address", func(b *bundle.Bundle) { b.Endpoints[0].Address = "localhost:80" }, `/endpoints/0/address: "localhost:80": must be IP:port`},
		{"port 0", func(b *bundle.Bundle) { b.Endpoints[0].Address = "127.0.0.1:0" }, `/endpoints/0/address: "127.0.0.1:0": must be IP:port`},
		{"duplicate address", func(b *bundle.Bundle) { b.Endpoints[1].Address = "127.0.0.1:9001" }, `/endpoints/1/address: "127.0.0.1:9001": must be unique`},
		{"max below cold", func(b *bundle.Bundle) { b.Endpoints[2].ColdSlots = 5 }, `/endpoints/2/max_slots: 4: must be at least cold_slots, 5`},
		{"cold 0", func(b *bundle.Bundle) { b.Endpoints[2].ColdSlots = 0 }, `/endpoints/2/cold_slots: 0: minimum`},
		{"move to a version without endpoints", func(b *bundle.Bundle) { b.Moves[0].To = "v3" }, `/moves/0/to: "v3": must be the version of an endpoint of usta-llm`},
		{"move to itself", func(b *bundle.Bundle) { b.Moves[0].To = "v1" }, `/moves/0/to: "v1": must differ`},
		{"two versions without a move", func(b *bundle.Bundle) { b.Moves = nil }, `/endpoints/1/version: "v2": must be v1, or the service needs a move`},
		{"load rate 0", func(b *bundle.Bundle) { b.WeightLoadsPerMinute = 0 }, `/weight_loads_per_minute: 0: `},
		{"other schema", func(b *bundle.Bundle) { b.Schema = 2 }, `/schema: 2: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := exampleBundle()
			c.change(b)
			_, err := bundle.Parse("b.json", b.Canonical())
			assert.ErrorIs(t, err, jsoncheck.ErrInvalid)
			assert.Assert(t, is.Contains(err.Error(), c.want))
		})
	}
}

func TestParseRefusesText(t *testing.T) {
	canonical := string(exampleBundle().Canonical())
	cases := []struct{ name, text string }{
		{"empty", ""},
		{"not JSON", "{"},
		{"two documents", canonical + "{}"},
		{"unknown field", strings.Replace(canonical, `"name":`, `"extra":1,"name":`, 1)},
		{"unknown nested field", strings.Replace(canonical, `"region":`, `"extra":1,"region":`, 1)},
		{"capitalized field", strings.Replace(canonical, `"teams":`, `"Teams":`, 1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := bundle.Parse("b.json", []byte(c.text))
			assert.ErrorIs(t, err, jsoncheck.ErrInvalid)
		})
	}
}

// Guards against fields of a duplicate list leaking into the result: the
// decoder reuses the elements of the first list unless duplicates are dropped.
func TestParseKeepsLastDuplicateKey(t *testing.T) {
	want := exampleBundle()
	first := exampleBundle()
	first.Routes[0].KeepAnswer = true
	routes, err := json.Marshal(first.Routes)
	assert.NilError(t, err)
	text := strings.Replace(string(want.Canonical()), `{"schema"`, `{"routes":`+string(routes)+`,"schema"`, 1)
	got, err := bundle.Parse("b.json", []byte(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func FuzzParse(f *testing.F) {
	f.Add(exampleBundle().Canonical())
	f.Add([]byte(`{"schema":1,"domains":[],"domains":[{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := bundle.Parse("fuzz", data)
		if err != nil {
			assert.ErrorIs(t, err, jsoncheck.ErrInvalid)
			return
		}
		again, err := bundle.Parse("again", parsed.Canonical())
		assert.NilError(t, err)
		assert.Equal(t, again.Digest(), parsed.Digest())
	})
}
