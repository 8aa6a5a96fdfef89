package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A part of a prompt is never taken for a whole request.
func TestPartKinds(t *testing.T) {
	for _, id := range []uint64{0, 1, 1 << 63, ^uint64(0)} {
		assert.Assert(t, !NewPromptPart(id).IsRequest())
		assert.Assert(t, NewRequestPart(id).IsRequest())
	}
}
