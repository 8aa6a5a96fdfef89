package intake

import "time"

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// PhaseNew is before the first byte of the first request, PhaseKept between requests.
	PhaseNew Phase = iota
	PhaseKept
	// PhaseHead is while the head of a request arrives, PhaseBody while its body does.
	PhaseHead
	PhaseBody
	// PhaseServing is from when a request has arrived until its response has been sent.
	PhaseServing
	// PhaseEnding is once the request is refused, and the rest of it is awaited.
	PhaseEnding
)

// Resource is what connections compete for.
type Resource int

// Resources.
const (
	ResourceConnection Resource = iota
	ResourceHeadMemory
	ResourceBodyMemory
)

// String returns the name of the resource in metrics and logs.
func (r Resource) String() string {
	return [...]string{"connections", "head_memory", "body_memory"}[r]
}

// Holder is a connection and what it holds.
type Holder struct {
	Phase Phase
	// Since is when the phase began or, while a body arrives, when the last MinProgress
	// bytes of it had arrived.
	Since time.Time
	// Head and Body are the bytes of memory that count against the totals.
	Head, Body int
}

// MinProgress is the number of bytes of a body that count as progress.
const MinProgress = 4 << 10

const (
	// stallTime is how long a request may make no progress before its connection is the
	// first to be closed.
	stallTime = time.Second
	// minAge is how long a connection is left to its caller to send a request.
	minAge = 250 * time.Millisecond
)

// CanShed reports whether the holder may be closed for the resource so that another one
// gets an amount, of which that one holds some already. A request that has arrived is never
// given up.
func CanShed(h Holder, r Resource, held, more int, now time.Time) bool {
	if h.Phase == PhaseServing {
		return false
	}
	if r == ResourceConnection {
		return h.Phase == PhaseEnding || h.age(now) >= h.minAge()
	}
	size := h.size(r)
	return size > 0 && (h.isStalled(now) || size >= held+more)
}

// ShedsBefore reports whether a is closed for the resource rather than b: what is refused or
// stalled goes first, then what holds most memory or has waited longest.
func ShedsBefore(a, b Holder, r Resource, now time.Time) bool {
	if rankA, rankB := a.rank(now), b.rank(now); rankA != rankB {
		return rankA < rankB
	}
	if sizeA, sizeB := a.size(r), b.size(r); sizeA != sizeB {
		return sizeA > sizeB
	}
	return a.Since.Before(b.Since)
}

func (h Holder) size(r Resource) int {
	switch r {
	case ResourceHeadMemory:
		return h.Head
	case ResourceBodyMemory:
		return h.Body
	default:
		return 0
	}
}

func (h Holder) age(now time.Time) time.Duration { return now.Sub(h.Since) }

// minAge returns from when on the connection may be closed for another one.
func (h Holder) minAge() time.Duration {
	if h.Phase == PhaseBody || h.Phase == PhaseKept {
		return stallTime
	}
	return minAge
}

func (h Holder) isStalled(now time.Time) bool {
	return h.Phase == PhaseEnding || h.Phase != PhaseKept && h.age(now) >= stallTime
}

// rank orders the phases; lower ones go first.
func (h Holder) rank(now time.Time) int {
	switch {
	case h.Phase == PhaseEnding:
		return 0
	case h.isStalled(now):
		return 1
	case h.Phase == PhaseKept:
		return 3
	default:
		return 2
	}
}
