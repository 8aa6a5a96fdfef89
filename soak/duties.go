package soak

import (
	"time"

	"mustarddoor/platform/standin"
)

const (
	// dutyLease is the time within which a duty must not return to a holder.
	dutyLease = 3 * time.Second
	// dutyCallsPerSecond is what the platform accepts of all hosts.
	dutyCallsPerSecond = 20
	// lateDutyCall is how much later a call is executed whose response is lost.
	lateDutyCall = 2 * time.Second
)

// dutyOptions are those of the platform that fences calls: it refuses calls that a paused
// holder sends late, so that no violation needs an excuse.
var dutyOptions = standin.DutyOptions{IsFenced: true, CallsPerSecond: dutyCallsPerSecond, LeaseDuration: dutyLease}

// newScaling returns the bounds of the number of a service's endpoints in the configuration.
// The orders change nothing.
func newScaling() map[string]any {
	return map[string]any{"minInstances": 1, "maxInstances": 12, "bootTimeS": 2}
}

// dutyFaults returns the faults of the duties' calls while the store has some: the platform
// serves both.
func dutyFaults(faults standin.StoreFaults) standin.DutyFaults {
	return standin.DutyFaults{Status: faults.Status, Silent: faults.Silent, DropReplies: faults.DropReplies, ExecuteAfter: lateDutyCall}
}

// checkDuties finds violations of the duties' rules: two reports of a window that differ, a
// fencing token of two holders, and a holder that returns within the lease.
func checkDuties(history History) []Violation {
	var violations []Violation
	for _, detail := range history.DutyViolations {
		violations = append(violations, Violation{"duty", detail, history.Now})
	}
	return violations
}
