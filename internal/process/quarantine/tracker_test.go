package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

const (
	shared   quarantine.Part = 0x60
	crashing quarantine.Part = 0xbad
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newTracker() *quarantine.Tracker {
	return quarantine.NewTracker(func(quarantine.Part) bool { return true })
}

func isQuarantined(t *quarantine.Tracker, part quarantine.Part, now time.Time) bool {
	_, _, blocked := t.IsQuarantined([]quarantine.Part{part}, now)
	return blocked
}

// Three crashes in a row quarantine the part that all of them have, and not the part
// that it shares with sound requests, wherever it stands in the prompt.
func TestOnlyTheCrashingPartIsQuarantined(t *testing.T) {
	for name, parts := range map[string][]quarantine.Part{
		"alone": {crashing}, "last": {shared, crashing}, "first": {crashing, shared},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.RecordSuccess([]quarantine.Part{shared}, at(-5))
			for crash := range 3 {
				assert.Assert(t, !isQuarantined(tracker, crashing, at(float64(crash))))
				tracker.RecordCrash(uint64(crash), parts, at(float64(crash)))
			}
			assert.Assert(t, isQuarantined(tracker, crashing, at(2)))
			assert.Assert(t, !isQuarantined(tracker, shared, at(2)))
		})
	}
}

// Crashes of one endpoint that starts again under its ID, before its new entry is
// known, count each. One crash that several hosts report counts once, however late
// and often the reports come.
func TestCrashesOfOneEndpoint(t *testing.T) {
	tracker := newTracker()
	for crash := range 3 {
		tracker.RecordCrash(7, []quarantine.Part{crashing}, at(float64(crash)))
	}
	assert.Assert(t, isQuarantined(tracker, crashing, at(3)))

	reporters, late := []*quarantine.Tracker{newTracker(), newTracker()}, newTracker()
	for _, reporter := range reporters {
		reporter.RecordCrash(7, []quarantine.Part{crashing}, at(0))
	}
	for delay := range 5 { // as by a host that was suspended
		for _, reporter := range reporters {
			late.Merge(reporter.Evidence(at(0), true), at(float64(delay)))
			reporter.Merge(late.Evidence(at(float64(delay)), true), at(float64(delay)))
		}
	}
	for _, tracker := range append(reporters, late) {
		assert.Equal(t, len(tracker.Quarantined()), 0)
	}
}

// Requests that were about to be answered by endpoints that end together, as when
// a failure domain is lost, quarantine nothing, however many those are.
func TestLossOfADomainQuarantinesNothing(t *testing.T) {
	tracker := newTracker()
	for endpoint := range 80 {
		tracker.RecordCrash(uint64(endpoint), []quarantine.Part{shared, quarantine.Part(endpoint)}, at(float64(endpoint)*0.003))
	}
	assert.Equal(t, len(tracker.Quarantined()), 0)
}

// A success between two crashes clears a part.
func TestSuccessClearsAPart(t *testing.T) {
	tracker := newTracker()
	for crash := range 40 {
		now := float64(crash) * 2
		tracker.RecordCrash(uint64(crash), []quarantine.Part{shared}, at(now))
		if crash%2 == 1 {
			tracker.RecordSuccess([]quarantine.Part{shared}, at(now+1))
		}
	}
	assert.Equal(t, len(tracker.Quarantined()), 0)
}

// A part that was sound for long and then crashes endpoints is newlyQuarantined too.
func TestPartTurnsBad(t *testing.T) {
	tracker := newTracker()
	tracker.RecordSuccess([]quarantine.Part{crashing}, at(-1))
	for crash := range 6 {
		tracker.RecordCrash(uint64(crash), []quarantine.Part{crashing}, at(float64(crash)))
	}
	assert.Assert(t, isQuarantined(tracker, crashing, at(6)))
}

// A crash that a quarantined part explains quarantines no other part of the requests
// that the endpoint was about to answer.
func TestExplainedCrashesQuarantineNothingElse(t *testing.T) {
	tracker := newTracker()
	for crash := range 12 {
		now := at(float64(crash))
		tracker.RecordCrash(uint64(crash), []quarantine.Part{shared, crashing}, now)
		tracker.RecordCrash(uint64(crash), []quarantine.Part{0x77}, now)
	}
	assert.DeepEqual(t, tracker.Quarantined(), []quarantine.Part{crashing})
}

// A quarantined part is probed with one request after a minute, then after two,
// and is released when one succeeds.
func TestProbes(t *testing.T) {
	tracker := newTracker()
	parts := []quarantine.Part{crashing}
	for crash := range 3 {
		tracker.RecordCrash(uint64(crash), parts, at(float64(crash)))
	}
	assert.Assert(t, !tracker.AllowSend(parts, at(61)))
	assert.Assert(t, !isQuarantined(tracker, crashing, at(63)))
	assert.Assert(t, tracker.AllowSend(parts, at(63)))
	assert.Assert(t, !tracker.AllowSend(parts, at(63)), "a second request during the probe")
	tracker.RecordCrash(10, parts, at(64))
	assert.Assert(t, !tracker.AllowSend(parts, at(180)))
	assert.Assert(t, tracker.AllowSend(parts, at(185)))
	assert.DeepEqual(t, tracker.RecordSuccess(parts, at(186)), parts)
	assert.Assert(t, tracker.AllowSend(parts, at(186)))

	other := quarantine.NewTracker(func(quarantine.Part) bool { return false })
	for crash := range 3 {
		other.RecordCrash(uint64(crash), parts, at(float64(crash)))
	}
	assert.Assert(t, !other.AllowSend(parts, at(600)), "probed by a host that must not")
}

// Hosts that each see a crash quarantine the part together, and a success that one
// of them sees releases it everywhere.
func TestHostsExchangeEvidence(t *testing.T) {
	hosts := []*quarantine.Tracker{newTracker(), newTracker(), newTracker(), newTracker()}
	exchange := func(now time.Time) {
		for _, from := range hosts {
			for _, to := range hosts {
				if evidence := from.Evidence(now, true); evidence != nil && from != to {
					to.Merge(evidence, now)
				}
			}
		}
	}
	for crash := range 3 {
		now := at(float64(crash))
		hosts[crash].RecordCrash(uint64(crash), []quarantine.Part{shared, crashing}, now)
		hosts[3].RecordSuccess([]quarantine.Part{shared}, now.Add(100*time.Millisecond))
		exchange(now.Add(200 * time.Millisecond))
	}
	for _, host := range hosts {
		assert.DeepEqual(t, host.Quarantined(), []quarantine.Part{crashing})
	}
	hosts[1].RecordSuccess([]quarantine.Part{crashing}, at(70))
	exchange(at(71))
	exchange(at(72))
	for _, host := range hosts {
		assert.Equal(t, len(host.Quarantined()), 0)
	}
}

// Whatever is recorded, the evidence stays small.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := newTracker()
	random := rand.New(rand.NewPCG(1, 2))
	for step := range 4000 {
		now := at(float64(step))
		parts := []quarantine.Part{quarantine.Part(random.IntN(50000)), quarantine.Part(random.IntN(1000))}
		tracker.RecordCrash(uint64(step), parts, now)
		tracker.RecordSuccess(parts[1:], now)
	}
	evidence := tracker.Evidence(at(4000), true)
	assert.Assert(t, len(evidence.Crashes) <= 24 && len(evidence.Successes) <= 24 && len(evidence.Quarantined) <= 24)
	assert.Assert(t, len(tracker.Reports(at(4000))) <= 256)
}
