package soak

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// The carrier of a request is found in the line that names it, whatever else the log holds.
func TestCarrierInLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(`{"msg":"request repeated","request":"a"}
{"carrier":"edge-1","msg":"request cut","request":"a"}
{"carrier":"edge-2","msg":"request cut","request":"b","prompt_parts":["a"]}
SIGQUIT: quit
`), 0o600))
	assert.Equal(t, carrierInLog(path, "a"), "edge-1")
	assert.Equal(t, carrierInLog(path, "b"), "edge-2")
	assert.Equal(t, carrierInLog(path, "c"), "")
}
