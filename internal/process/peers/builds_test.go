package peers

import (
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/codec/codectest"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/quarantine"
	"mustarddoor/internal/version/canary"
)

// buildSamples names a folder for the samples as this build writes them. Files in
// testdata/builds are written once, by the build that names them, and never again.
var buildSamples = flag.String("build-samples", "", "folder to write this build's samples to")

// sampleMessages returns a message with every field, and a bundle.
func sampleMessages() map[string]Message {
	results := canary.Results{Succeeded: 40, Failed: 2, LogSlowdownSum: 1.5, LogSlowdownSquareSum: 2.25}
	histogram := canary.Histogram{}
	histogram[9] = 40
	message := Message{
		From: Host{
			Name: "edge-1", PeerAddress: netip.MustParseAddrPort("10.1.0.25:7600"), FrontendAddress: "10.1.0.25:8221",
			Domain: "z1", Incarnation: 1_700_000_000_000_000_000, LinkMbps: 1000, Cores: 0.4, Connections: 1900,
		},
		Sequence: 77,
		Status: Status{
			Ready: true, Leaving: true, OperatorNext: 12, EndpointsNext: 3456,
			Loads:            []EndpointLoad{{Endpoint: 0xdeadbeef, Running: 3, PendingTokens: 6610}},
			Usage:            []TeamUsage{{Team: "team", Total: 1234.5}},
			WaitingServices:  []uint32{7, 0xffffffff},
			StoreUnavailable: true,
			Moves:            []Move{{Service: "svc", Target: "v2", Stage: canary.StageShift, Evidence: canary.Evidence{New: results, Old: results}}},
			Spent:            &Usage{MilliCores: 250, LinkKbps: 4000, Connections: 60},
			Active:           true, Carries: true, Loaded: true,
			Quarantine: &quarantine.Evidence{
				Crashes:     []quarantine.CrashReport{{ID: 1, Endpoint: 2, AgeMillis: 30, Parts: []quarantine.Part{4, 5}}},
				Quarantined: []quarantine.PartReport{{Part: 4, AgeMillis: 30, FailedProbes: 1}},
				Successes:   []quarantine.SuccessReport{{Part: 6, AgeMillis: 100}},
			},
			RateLimits:       []EndpointRateLimit{{Endpoint: 9, IsNamed: true, PerSecond: 12.5, AgeMillis: 400}},
			MoveSlowdowns:    []MoveSlowdowns{{New: histogram, Old: histogram}},
			StoreEra:         2,
			OperatorEarlier:  &keyed.Position{Era: 1, Offset: 20},
			EndpointsEarlier: &keyed.Position{Era: 1, Offset: 4000},
			LostServices:     []uint32{11},
			CountsUsage:      true,
			Demands:          []ServiceDemand{{Service: 11, MilliSlots: 12500, Queued: 4}},
		},
		KnownHosts: []netip.AddrPort{netip.MustParseAddrPort("10.2.0.17:7600")},
		KnownCount: 6, IsSummary: true, AgeMillis: 200,
	}
	bundle := Message{From: Host{PeerAddress: message.From.PeerAddress, Incarnation: message.From.Incarnation}, Bundle: []Message{message, message}}
	return map[string]Message{"message": message, "bundle": bundle}
}

// Hosts read the messages of other builds, which may know fewer fields or more, and
// other builds find what they know in the messages of this one.
func TestMessagesOfOtherBuilds(t *testing.T) {
	builds, err := filepath.Glob("testdata/builds/*")
	assert.NilError(t, err)
	assert.Assert(t, len(builds) > 0)
	for name, sample := range sampleMessages() {
		encoded, err := wire.Marshal(sample)
		assert.NilError(t, err)
		if *buildSamples != "" {
			assert.NilError(t, os.WriteFile(filepath.Join(*buildSamples, name+".cbor"), encoded, 0o644))
		}
		for _, build := range builds {
			t.Run(filepath.Base(build)+"/"+name, func(t *testing.T) {
				older, err := os.ReadFile(filepath.Join(build, name+".cbor"))
				assert.NilError(t, err)
				got, err := decode(older)
				assert.NilError(t, err)
				codectest.AssertExtends(t, encoded, older)
				reencoded, err := wire.Marshal(got)
				assert.NilError(t, err)
				codectest.AssertExtends(t, reencoded, older)
			})
		}
		later, err := decode(codectest.WithUnknownFields(t, encoded))
		assert.NilError(t, err)
		reencoded, err := wire.Marshal(later)
		assert.NilError(t, err)
		codectest.AssertExtends(t, reencoded, encoded)
	}
}
