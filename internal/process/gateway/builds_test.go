package gateway

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/codec/codectest"
	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/quarantine"
)

// buildSamples names a folder for the samples as this build writes them. Files in
// testdata/builds are written once, by the build that names them, and never again.
var buildSamples = flag.String("build-samples", "", "folder to write this build's samples to")

// samples returns a sample of each value that hosts exchange or keep in the log, with every
// field.
func samples() map[string]any {
	snapshot := keyed.Snapshot{
		Position: keyed.Position{Era: 2, Offset: 30}, Values: map[string][]byte{"config": []byte(`{"version":7}`)},
		Earlier: keyed.Position{Era: 1, Offset: 40}, Kept: map[string]keyed.KeptRecord{"rollout/svc": {Stored: []byte("{}"), ForMillis: 500}},
	}
	history := allowance.History{0: 12.5, 15: 3}
	confirmedMillis := int64(-250)
	return map[string]any{
		"state":             stateReply{Operator: &snapshot, Endpoints: &snapshot},
		"records":           recordsReply{Records: []keyed.Record{{Key: "w1", Value: []byte("{}")}, {Key: "w2"}}, Next: 31, Era: 2, ConfirmedMillis: &confirmedMillis},
		"records-snapshot":  recordsReply{Next: 31, Era: 2, Snapshot: &snapshot, ConfirmedMillis: &confirmedMillis},
		"records-packed":    recordsReply{Next: 31, Era: 2, ConfirmedMillis: &confirmedMillis, Packed: []byte{3, 0}, Offsets: []uint64{29, 30}},
		"state-packed":      stateReply{PackedOperator: []byte{3, 0}, PackedEndpoints: []byte{3, 0}},
		"packed-content":    packedContent{Records: []keyed.Record{{Key: "w1", Value: []byte("{}")}}, Snapshot: &snapshot},
		"usage":             usageReply{IsComplete: true, Teams: map[string]allowance.History{"team": history}},
		"usage-record":      usageRecord{WrittenAt: 1_700_000_000_000, Teams: map[string]allowance.History{"team": history}},
		"quarantine-record": quarantineRecord{WrittenAt: 1_700_000_000_000, Quarantined: []quarantine.PartReport{{Part: 4, AgeMillis: 30, FailedProbes: 1}}},
		"copy":              snapshot,
		"usage-counts": usageCounts{
			Incarnation: 1_700_000_000_000_000_000, Clocks: duty.Reading{SinceBootMicros: 5_000_000, TimeOfDayMicros: 1_700_000_000_000_000},
			Now: 1_700_000_000_000_100, Windows: []duty.WindowCounts{{Window: 340_000_000, Counts: map[string]int64{"team": 12}}},
		},
	}
}

// unknownSamples are the samples that a build did not have yet.
var unknownSamples = map[string][]string{"fb8e695": {"usage-counts", "records-packed", "state-packed", "packed-content"}}

// Hosts read the replies and records of other builds, which may know fewer fields or more,
// and other builds find what they know in those of this one.
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
			if slices.Contains(unknownSamples[filepath.Base(build)], name) {
				continue
			}
			t.Run(filepath.Base(build)+"/"+name, func(t *testing.T) {
				older, err := os.ReadFile(filepath.Join(build, name+".cbor"))
				assert.NilError(t, err)
				codectest.AssertExtends(t, encoded, older)
				assertReadable(t, older, older, sample)
			})
		}
		assertReadable(t, codectest.WithUnknownFields(t, encoded), encoded, sample)
	}
}

// assertReadable checks that encoded can be decoded into the type of a sample, with all that
// known holds.
func assertReadable(t *testing.T, encoded, known []byte, sample any) {
	t.Helper()
	target := reflect.New(reflect.TypeOf(sample)).Interface()
	assert.NilError(t, wire.Unmarshal(encoded, target))
	reencoded, err := wire.Marshal(target)
	assert.NilError(t, err)
	codectest.AssertExtends(t, reencoded, known)
}
