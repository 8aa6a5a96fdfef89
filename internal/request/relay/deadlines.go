package relay

import (
	"sync"
	"time"
)

// deadlineTracker learns how long callers of each route wait at first. A caller that
// comes back after a refusal has a shorter deadline, since its time runs on.
type deadlineTracker struct {
	mu     sync.Mutex
	routes map[string]longestDeadline
}

// longestDeadline is the longestDeadline deadline of late.
type longestDeadline struct {
	deadline time.Duration
	seenAt   time.Time
}

const (
	// minFirstAttemptRatio is the part of the longest deadline that callers have at
	// least on their first try; they differ by that much.
	minFirstAttemptRatio = 0.85
	// maxDeadlineAge is the age from which a longest deadline is forgotten: the
	// callers' own deadlines change seldom.
	maxDeadlineAge = 30 * time.Second
)

// isCallerRetry takes in a deadline and reports whether its caller has come back.
func (t *deadlineTracker) isCallerRetry(route string, deadline time.Duration, now time.Time) bool {
	if deadline <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.routes[route]
	if deadline >= longest.deadline || now.Sub(longest.seenAt) > maxDeadlineAge {
		if t.routes == nil {
			t.routes = map[string]longestDeadline{}
		}
		t.routes[route] = longestDeadline{deadline: deadline, seenAt: now}
		return false
	}
	return float64(deadline) < minFirstAttemptRatio*float64(longest.deadline)
}
