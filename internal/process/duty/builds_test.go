package duty

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/codec/codectest"
)

// buildSamples names a folder for the samples as this build writes them. Files in
// testdata/builds are written once, by the build that names them, and never again.
var buildSamples = flag.String("build-samples", "", "folder to write this build's samples to")

// samples returns a sample of each record in the store, with every field.
func samples() map[string]any {
	return map[string]any{
		"claim": claim{
			Holder: "edge-1", Incarnation: 1_700_000_000_000_000_000, Number: 2, Renewal: 7, Token: 1<<offsetBits | 40, Era: 1,
			Since: 1_700_000_000_000, IsReleased: true,
		},
		"saved": savedValue{Era: 1, Value: []byte{1, 2}},
		"usage": usageRecord{Window: 340_000_000, Counts: map[string]int64{"team": 12}},
	}
}

// Hosts read the records of other builds, which may know fewer fields or more, and other
// builds find what they know in those of this one.
func TestRecordsOfOtherBuilds(t *testing.T) {
	builds, err := filepath.Glob("testdata/builds/*")
	assert.NilError(t, err)
	assert.Assert(t, len(builds) > 0)
	for name, sample := range samples() {
		encoded, err := wire.Marshal(sample)
		assert.NilError(t, err)
		if *buildSamples != "" {
			assert.NilError(t, os.WriteFile(filepath.Join(*buildSamples, name+".cbor"), encoded, 0o644))
		}
		for _, build := range builds {
			older, err := os.ReadFile(filepath.Join(build, name+".cbor"))
			assert.NilError(t, err)
			codectest.AssertExtends(t, encoded, older)
			assertReadable(t, older, older, sample)
		}
		assertReadable(t, codectest.WithUnknownFields(t, encoded), encoded, sample)
	}
}

// assertReadable checks that encoded can be decoded into the type of a sample, with all
// that known holds.
func assertReadable(t *testing.T, encoded, known []byte, sample any) {
	t.Helper()
	target := reflect.New(reflect.TypeOf(sample)).Interface()
	assert.NilError(t, wire.Unmarshal(encoded, target))
	reencoded, err := wire.Marshal(target)
	assert.NilError(t, err)
	codectest.AssertExtends(t, reencoded, known)
}
