package check

import (
	"fmt"

	"mustarddoor/internal/process/timeline"
)

// findRepeatedDispatches finds requests that were dispatched more than once.
func findRepeatedDispatches(events []timeline.Event, _ Delays) []Violation {
	first := map[string]timeline.Event{}
	var found []Violation
	for _, event := range events {
		if event.Kind != timeline.RequestDispatched {
			continue
		}
		if earlier, seen := first[event.Request]; seen {
			found = append(found, Violation{
				Text:   fmt.Sprintf("%s dispatched to %s and to %s", event.Request, earlier.Endpoint, event.Endpoint),
				Events: []timeline.Event{earlier, event},
			})
			continue
		}
		first[event.Request] = event
	}
	return found
}

// findConflictingOutcomes finds requests with two different final outcomes.
// OutcomeUnknown is not final.
func findConflictingOutcomes(events []timeline.Event, _ Delays) []Violation {
	final := map[string]timeline.Event{}
	var found []Violation
	for _, event := range events {
		if !isFinal(event) {
			continue
		}
		earlier, seen := final[event.Request]
		if seen && earlier.Outcome != event.Outcome {
			found = append(found, Violation{
				Text:   fmt.Sprintf("%s ended as %s and as %s", event.Request, earlier.Outcome, event.Outcome),
				Events: []timeline.Event{earlier, event},
			})
		}
		final[event.Request] = event
	}
	return found
}

func isFinal(event timeline.Event) bool {
	isEnd := event.Kind == timeline.RequestDone || event.Kind == timeline.RequestRefused
	return isEnd && event.Outcome != timeline.OutcomeUnknown
}

// findDispatchedNotRun finds requests that were both refused as not run and
// dispatched, in either order.
func findDispatchedNotRun(events []timeline.Event, _ Delays) []Violation {
	dispatched := map[string]timeline.Event{}
	for _, event := range events {
		if event.Kind == timeline.RequestDispatched {
			dispatched[event.Request] = event
		}
	}
	var found []Violation
	for _, event := range events {
		if event.Kind != timeline.RequestRefused || event.Outcome != timeline.OutcomeNotRun {
			continue
		}
		if dispatch, ran := dispatched[event.Request]; ran {
			found = append(found, Violation{
				Text:   fmt.Sprintf("%s refused as not run by %s, dispatched by %s", event.Request, event.Host, dispatch.Host),
				Events: []timeline.Event{dispatch, event},
			})
		}
	}
	return found
}
