package settings_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/jsoncheck"
	"mustarddoor/internal/process/settings"
)

const minimalSettings = `{
  "host": {"name": "guadalupe-1", "domain": "guadalupe-a", "region": "baja-norte"},
  "address": "127.0.0.1:7000", "mesh_address": "127.0.0.1:7001", "admin_address": "127.0.0.1:7002",
  "platform": {"log": "127.0.0.1:8000"}
}`

func TestParseFillsDefaults(t *testing.T) {
	got, err := settings.Parse("host.json", []byte(minimalSettings))
	assert.NilError(t, err)
	assert.Equal(t, got.Host.Name, "guadalupe-1")
	assert.Assert(t, got.Limits.MaxBodyBytes > 0)
}

func TestParseReportsViolation(t *testing.T) {
	cases := []struct{ text, want string }{
		{`{`, "host.json: not JSON"},
		{`{"adress": ""}`, "adress"},
		{`{"host": {"name": "A", "domain": "d", "region": "r"}, "address": "127.0.0.1:1", "mesh_address": "127.0.0.1:1",
		  "admin_address": "127.0.0.1:1", "platform": {"log": "127.0.0.1:1"}}`, `host.json: /host/name: "A": `},
		{`{"host": {"name": "a", "domain": "d", "region": "r"}, "address": "localhost:1", "mesh_address": "127.0.0.1:1",
		  "admin_address": "127.0.0.1:1", "platform": {"log": "127.0.0.1:1"}}`, `host.json: /address: "localhost:1": `},
	}
	for _, c := range cases {
		_, err := settings.Parse("host.json", []byte(c.text))
		assert.ErrorIs(t, err, jsoncheck.ErrInvalid)
		assert.ErrorContains(t, err, c.want)
	}
}
