package mesh

import (
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzSplitFrame(f *testing.F) {
	call, err := wireCodec.Marshal(frame{Type: frameCall, ID: 7, Stamp: 9, Kind: "a.b", Body: []byte{0xa0}, TimeoutMillis: 5})
	assert.NilError(f, err)
	f.Add(call)
	f.Add(append(call, call...))
	f.Add([]byte{0xa1, 0x01, 0x05})
	f.Fuzz(func(t *testing.T, message []byte) {
		for len(message) > 0 {
			first, rest, err := splitFrame(message)
			if err != nil {
				assert.ErrorIs(t, err, errMalformedFrame)
				return
			}
			assert.Assert(t, len(rest) < len(message))
			again, err := wireCodec.Marshal(first)
			assert.NilError(t, err)
			same, _, err := splitFrame(again)
			assert.NilError(t, err)
			assert.DeepEqual(t, first, same)
			message = rest
		}
	})
}
