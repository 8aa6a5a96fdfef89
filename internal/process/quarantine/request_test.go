package quarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/quarantine"
)

var (
	requestA = quarantine.NewRequestPart(0xa)
	requestB = quarantine.NewRequestPart(0xb)
	requestC = quarantine.NewRequestPart(0xc)
)

// A request that is sent again as soon as an endpoint has ended under it is to blame,
// and not the part that its prompt shares with others, nor a request that ran at the
// same endpoints.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	tracker := newTracker()
	for crash := range 3 {
		now := at(0.06 * float64(crash))
		tracker.RecordCrash(uint64(crash), []quarantine.Part{shared, requestA}, now)
		if crash > 0 {
			tracker.RecordCrash(uint64(crash), []quarantine.Part{requestB}, now)
		}
	}
	assert.Assert(t, isQuarantined(tracker, requestA, at(1)))
	for crash := 3; crash < 6; crash++ {
		tracker.RecordCrash(uint64(crash), []quarantine.Part{shared, requestA}, at(float64(crash)))
		tracker.RecordCrash(uint64(crash), []quarantine.Part{requestB}, at(float64(crash)))
	}
	assert.Assert(t, !isQuarantined(tracker, shared, at(7)))
	assert.Assert(t, !isQuarantined(tracker, requestB, at(7)))
}

// Requests that are sent again each, no two alike, do not hide the part that crashes
// endpoints.
func TestCrashingPartOfRepeatedRequests(t *testing.T) {
	tracker := newTracker()
	for i, request := range []quarantine.Part{requestA, requestB, requestC} {
		for crash := range 3 {
			if isQuarantined(tracker, crashing, at(float64(i))) {
				return
			}
			tracker.RecordCrash(uint64(10*i+crash), []quarantine.Part{shared, crashing, request}, at(float64(i)+0.06*float64(crash)))
			tracker.RecordSuccess([]quarantine.Part{shared, quarantine.NewRequestPart(99)}, at(float64(i)+0.06*float64(crash)+0.01))
		}
	}
	assert.Assert(t, isQuarantined(tracker, crashing, at(3)))
	assert.Assert(t, !isQuarantined(tracker, shared, at(3)))
}

// Endpoints that are lost at the same moment are no evidence against the requests that
// ran on all of them.
func TestEndpointsLostAtOnceUnderOneRequest(t *testing.T) {
	tracker := newTracker()
	for endpoint := range 6 {
		tracker.RecordCrash(uint64(endpoint), []quarantine.Part{requestA}, at(0.005*float64(endpoint)))
	}
	assert.Assert(t, !isQuarantined(tracker, requestA, at(1)))
}

// A request that succeeds between crashes is not to blame for them, and a quarantined
// one that succeeds as a probe is released.
func TestSuccessOfSuspectedRequest(t *testing.T) {
	tracker := newTracker()
	for crash := range 5 {
		tracker.RecordCrash(uint64(crash), []quarantine.Part{requestA}, at(float64(crash)))
		tracker.RecordSuccess([]quarantine.Part{requestA}, at(float64(crash)+0.5))
	}
	assert.Assert(t, !isQuarantined(tracker, requestA, at(6)))
	for crash := range 3 {
		tracker.RecordCrash(uint64(10+crash), []quarantine.Part{requestB}, at(10+float64(crash)))
	}
	assert.Assert(t, isQuarantined(tracker, requestB, at(13)))
	tracker.RecordSuccess([]quarantine.Part{requestB}, at(80))
	assert.Assert(t, !isQuarantined(tracker, requestB, at(81)))
}

// Messages between the full ones hold only the crashes of the last seconds, so that
// endpoints that end often do not fill them.
func TestNewsHoldsRecentCrashesOnly(t *testing.T) {
	tracker := newTracker()
	for crash := range 10 {
		tracker.RecordCrash(uint64(crash), []quarantine.Part{quarantine.NewRequestPart(uint64(crash))}, at(float64(crash)))
	}
	assert.Equal(t, len(tracker.Evidence(at(9), true).Crashes), 10)
	assert.Equal(t, len(tracker.Evidence(at(9), false).Crashes), 5)
}

// Where all endpoints end before any request has succeeded, a part that the crashing
// requests share with sound ones is not to blame, though the sound ones that break off
// with them are reported first.
func TestPartOfRequestsBesideRepeatedOnes(t *testing.T) {
	tracker := newTracker()
	endpoint := uint64(0)
	for i, request := range []quarantine.Part{requestA, requestB, requestC} {
		for crash := range 3 {
			if isQuarantined(tracker, crashing, at(float64(i))) {
				break
			}
			endpoint++
			now := at(float64(i) + 0.35*float64(crash))
			tracker.RecordCrash(endpoint, []quarantine.Part{shared, quarantine.NewRequestPart(100 + endpoint)}, now)
			tracker.RecordCrash(endpoint, []quarantine.Part{shared, crashing, request}, now.Add(5*time.Millisecond))
		}
	}
	assert.Assert(t, isQuarantined(tracker, crashing, at(3)))
	assert.Assert(t, !isQuarantined(tracker, shared, at(3)))
}
