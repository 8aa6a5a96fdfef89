package relay

import (
	"sync"
	"time"
)

// deadlineTracker tells callers' retries from first attempts by their
// deadlines. It learns the deadline of a first attempt for each route; a
// caller that retries after a refusal has used part of its time and sends a
// shorter one.
type deadlineTracker struct {
	mu     sync.Mutex
	routes map[string]longestDeadline
}

// longestDeadline is the longest recent deadline of a route.
type longestDeadline struct {
	deadline time.Duration
	seenAt   time.Time
}

const (
	// minFirstAttemptRatio is the smallest ratio of a first attempt's deadline
	// to the longest one. Callers' initial deadlines differ by up to 15%.
	minFirstAttemptRatio = 0.85
	// maxDeadlineAge is the age from which a longest deadline is replaced. The
	// initial deadlines of callers rarely change.
	maxDeadlineAge = 30 * time.Second
)

// isCallerRetry records a deadline and reports whether it belongs to a
// caller's retry.
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
