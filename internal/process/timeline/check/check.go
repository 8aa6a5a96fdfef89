// Package check checks the guarantees of the system over a merged time line.
//
// Each rule reads the whole time line and returns its violations. A time line
// with gaps can hide violations; rules that would see false ones because of a
// gap are reported as undecided instead of being run.
package check

import (
	"fmt"
	"strings"
	"time"

	"mustarddoor/internal/process/timeline"
)

// Defaults of Limits.
const (
	DefaultExclusionDelay  = 3 * time.Second
	DefaultLeavingDelay    = 3 * time.Second
	DefaultBadVersionDelay = 3 * time.Second
	DefaultColdDelay       = 250 * time.Millisecond
)

// Delays are how long the fleet may take to act on news.
type Delays struct {
	// ExclusionDelay is how long after a domain's out-mark it may get new work.
	ExclusionDelay time.Duration
	// LeavingDelay is the same for an endpoint that leaves.
	LeavingDelay time.Duration
	// BadVersionDelay is the same for a version after the verdict against it.
	BadVersionDelay time.Duration
	// ColdDelay is how long after the start of a cold spell dispatches may
	// still go by the old limit.
	ColdDelay time.Duration
}

// DefaultDelays are the limits of today's fleets.
func DefaultDelays() Delays {
	return Delays{
		ExclusionDelay:  DefaultExclusionDelay,
		LeavingDelay:    DefaultLeavingDelay,
		BadVersionDelay: DefaultBadVersionDelay,
		ColdDelay:       DefaultColdDelay,
	}
}

// Violation is a broken guarantee with the events that show it.
type Violation struct {
	Rule   string
	Text   string
	Events []timeline.Event
}

// Rule checks one guarantee.
type Rule struct {
	Name string
	// NeedsComplete tells that a gap in the time line can bring false violations.
	NeedsComplete bool
	Find          func([]timeline.Event, Delays) []Violation
}

// Rules are all rules in the order in which they are run.
var Rules = []Rule{
	{Name: "dispatched at most once", Find: findRepeatedDispatches},
	{Name: "one outcome per request", Find: findConflictingOutcomes},
	{Name: "not run is true", Find: findDispatchedNotRun},
	{Name: "no dispatch to a domain out of service", Find: findDispatchesToExcludedDomains},
	{Name: "no dispatch to a leaving endpoint", Find: findDispatchesToLeavingEndpoints},
	{Name: "cold endpoint within its limit", NeedsComplete: true, Find: findColdLimitViolations},
	{Name: "no higher tier shed before a lower one", NeedsComplete: true, Find: findShedOrderViolations},
	{Name: "configuration never goes back", Find: findConfigRegressions},
	{Name: "no dispatch to a bad version", Find: findDispatchesToBadVersions},
}

// Report is the result of all rules.
type Report struct {
	Violations []Violation
	// Undecided names the rules that were not run because of gaps.
	Undecided []string
	// Gaps are the time line's.
	Gaps []timeline.Gap
	// Counts of what the rules had to look at.
	Events, Dispatches int
}

// Run checks a merged time line against all rules.
func Run(merged timeline.Merged, delays Delays) Report {
	report := Report{Gaps: merged.Gaps, Events: len(merged.Events)}
	for i := range merged.Events {
		if merged.Events[i].Kind == timeline.RequestDispatched {
			report.Dispatches++
		}
	}
	events := markNotStarted(merged.Events)
	for _, rule := range Rules {
		if rule.NeedsComplete && len(merged.Gaps) > 0 {
			report.Undecided = append(report.Undecided, rule.Name)
			continue
		}
		for _, violation := range rule.Find(events, delays) {
			violation.Rule = rule.Name
			report.Violations = append(report.Violations, violation)
		}
	}
	return report
}

// markNotStarted leaves out the dispatches that were taken back because the
// endpoint did not start the request.
func markNotStarted(events []timeline.Event) []timeline.Event {
	marked := make([]timeline.Event, 0, len(events))
	dispatched := map[string]int{}
	for _, event := range events {
		switch event.Kind {
		case timeline.RequestDispatched:
			dispatched[event.Request] = len(marked)
		case timeline.RequestNotStarted:
			if index, found := dispatched[event.Request]; found {
				marked[index].Kind = timeline.RequestNotStarted
			}
		}
		marked = append(marked, event)
	}
	return marked
}

// String gives the report as text, one line for each finding.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d events, %d dispatches, %d gaps, %d violations\n",
		r.Events, r.Dispatches, len(r.Gaps), len(r.Violations))
	for _, name := range r.Undecided {
		fmt.Fprintf(&text, "undecided: %s\n", name)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(&text, "violated: %s: %s\n", violation.Rule, violation.Text)
	}
	return text.String()
}
