package soak

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/platform/standin"
)

// A broken rule of the duties is a violation, and none are there without one.
func TestCheckDuties(t *testing.T) {
	assert.Equal(t, len(checkDuties(History{})), 0)
	violations := checkDuties(History{DutyViolations: []string{"window 7: map[a:1] and map[a:2]"}})
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Rule, "duty")
}

// The calls of the duties fail while the store does.
func TestDutyFaults(t *testing.T) {
	assert.DeepEqual(t, dutyFaults(standin.StoreFaults{Status: 503}), standin.DutyFaults{Status: 503, ExecuteAfter: lateDutyCall})
	assert.Assert(t, dutyFaults(standin.StoreFaults{DropReplies: true}).DropReplies)
}
