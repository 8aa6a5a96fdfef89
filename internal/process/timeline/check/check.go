// Package check verifies the guarantees of the system against a merged
// timeline.
//
// Each rule reads the whole timeline and returns its violations. A timeline with
// gaps can hide violations. Rules that could report false violations because of
// a gap are not run; they are reported as undecided.
package check

import (
	"fmt"
	"strings"
	"time"

	"mustarddoor/internal/process/timeline"
)

// Default values of Delays.
const (
	DefaultExclusionDelay  = 3 * time.Second
	DefaultLeavingDelay    = 3 * time.Second
	DefaultBadVersionDelay = 3 * time.Second
	DefaultColdDelay       = 250 * time.Millisecond
)

// Delays are the times within which the hosts must act on a change.
type Delays struct {
	// ExclusionDelay is how long requests may still be dispatched to a failure
	// domain after its exclusion.
	ExclusionDelay time.Duration
	// LeavingDelay is how long requests may still be dispatched to a leaving
	// endpoint.
	LeavingDelay time.Duration
	// BadVersionDelay is how long requests may still be dispatched to a version
	// after the verdict against it.
	BadVersionDelay time.Duration
	// ColdDelay is how long the previous limit of an endpoint may still be used
	// after the start of a cold period or after a lower limit.
	ColdDelay time.Duration
}

// DefaultDelays returns the default delays.
func DefaultDelays() Delays {
	return Delays{
		ExclusionDelay:  DefaultExclusionDelay,
		LeavingDelay:    DefaultLeavingDelay,
		BadVersionDelay: DefaultBadVersionDelay,
		ColdDelay:       DefaultColdDelay,
	}
}

// Violation is a violation of a guarantee, with the events that prove it.
type Violation struct {
	Rule   string
	Text   string
	Events []timeline.Event
}

// Rule checks one guarantee.
type Rule struct {
	Name string
	// NeedsComplete means that a gap in the timeline can cause false
	// violations. Such a rule runs only if there are no gaps.
	NeedsComplete bool
	Find          func([]timeline.Event, Delays) []Violation
}

// Rules lists all rules in the order in which they run.
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
	// Gaps are the gaps of the timeline.
	Gaps []timeline.Gap
	// Events and Dispatches are the numbers of events checked and of dispatches
	// among them.
	Events, Dispatches int
}

// Run checks a merged timeline against all rules.
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

// markNotStarted returns the events with each dispatch that the endpoint did
// not start changed to RequestNotStarted, so that the rules do not count it.
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

// String formats the report as text: a summary, then one line per finding.
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
