// Package demo contains the example fleet that "make demo" starts and the
// documentation uses.
package demo

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/settings"
	"mustarddoor/internal/version/bundle"
)

const publicKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func fillTemplate(t *testing.T, file string) []byte {
	t.Helper()
	content, err := os.ReadFile(file)
	assert.NilError(t, err)
	replacer := strings.NewReplacer("NET", "127.0.50", "INDEX", "1", "DOMAIN", "guadalupe-a",
		"ALMA", publicKey, "BERTA", publicKey)
	return []byte(replacer.Replace(string(content)))
}

func TestExampleBundle(t *testing.T) {
	_, err := bundle.Parse("bundle.json", fillTemplate(t, "bundle.json"))
	assert.NilError(t, err)
}

func TestExampleSettings(t *testing.T) {
	_, err := settings.Parse("host.json", fillTemplate(t, "host.json"))
	assert.NilError(t, err)
}
