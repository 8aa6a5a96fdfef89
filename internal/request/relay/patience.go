package relay

import (
	"sync"
	"time"
)

// patience learns how long callers of each route wait at first. A caller that
// comes back after a refusal has a shorter deadline, since its time runs on.
type patience struct {
	mu     sync.Mutex
	routes map[string]longest
}

// longest is the longest deadline of late.
type longest struct {
	deadline time.Duration
	seenAt   time.Time
}

const (
	// firstPart is the part of the longest deadline that callers have at
	// least on their first try; they differ by that much.
	firstPart = 0.85
	// patienceAge is the age from which a longest deadline is forgotten: the
	// callers' own deadlines change seldom.
	patienceAge = 30 * time.Second
)

// isReturned takes in a deadline and reports whether its caller has come back.
func (p *patience) isReturned(route string, deadline time.Duration, now time.Time) bool {
	if deadline <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.routes[route]
	if deadline >= known.deadline || now.Sub(known.seenAt) > patienceAge {
		if p.routes == nil {
			p.routes = map[string]longest{}
		}
		p.routes[route] = longest{deadline: deadline, seenAt: now}
		return false
	}
	return float64(deadline) < firstPart*float64(known.deadline)
}
