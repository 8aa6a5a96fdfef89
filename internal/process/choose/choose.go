// Package choose picks the endpoint for a request: filter, score, pick. It is
// pure: candidates and a random draw in, an index out.
//
// The load that it answers: unlike endpoints near full, whose occupancy is
// known late, with long prompts that delay every stream beside them. A request
// goes where its first token is expected first, counting the prompts that are
// still to be read there, and hosts that see the same figures at the same time
// pick among the near-best at random so that they don't all pick one.
package choose

import (
	"math"
	"time"
)

// Candidate is an endpoint as far as a choice needs it.
type Candidate struct {
	// Slots is the number of requests that run at once, Busy how many of them
	// are taken as far as is known.
	Slots, Busy int
	// PendingTokens are the prompt tokens that were sent and not yet read.
	PendingTokens float64
	// Pace is how much longer the endpoint takes than expected; 1 is as
	// expected.
	Pace float64
	// StepTime is the time between two tokens of a stream.
	StepTime time.Duration
	// FailedShare is the part of recent requests that failed there beyond what
	// is usual for the service.
	FailedShare float64
	// Blocked tells that the endpoint must not be used now.
	Blocked bool
	// KnownTokens are the request's prompt tokens that the endpoint has read
	// before and may still keep.
	KnownTokens float64
	// Far tells that the endpoint is in another failure domain.
	Far bool
}

// Demand is what a request asks for.
type Demand struct {
	PromptTokens, OutputTokens float64
}

const (
	// PrefillRate is the prompt tokens that an engine of usual speed reads in a
	// millisecond, before anything was learned.
	PrefillRate = 50.0
	// baseTime is the time to a first token beside the reading of prompts.
	baseTime = 12 * time.Millisecond
	// decodeWeight weighs the time that a stream occupies its slot against the
	// time to its first token.
	decodeWeight = 0.08
	// failureCost is the time that a certain failure is worth.
	failureCost = 3 * time.Second
	// crowdCost is the cost of the last free slot: later long prompts will
	// delay a stream on a crowded endpoint.
	crowdCost = 60 * time.Millisecond
	// nearBest is how much worse than the best an endpoint may be to be picked.
	nearBest = 8 * time.Millisecond
	// farCost is the cost of crossing failure domains.
	farCost = 2 * time.Millisecond
)

// FirstToken is the expected time to the first token of a request.
func FirstToken(c Candidate, d Demand) time.Duration {
	tokens := c.PendingTokens + math.Max(d.PromptTokens-c.KnownTokens, 0)
	expected := float64(baseTime) + tokens/PrefillRate*float64(time.Millisecond)
	return time.Duration(expected * c.Pace)
}

// cost is what the choice minimizes.
func cost(c Candidate, d Demand) time.Duration {
	sum := FirstToken(c, d)
	sum += time.Duration(decodeWeight * d.OutputTokens * float64(c.StepTime))
	sum += time.Duration(c.FailedShare * float64(failureCost))
	if c.Slots > 0 {
		full := float64(c.Busy) / float64(c.Slots)
		sum += time.Duration(full * full * float64(crowdCost))
	}
	if c.Far {
		sum += farCost
	}
	return sum
}

// Pick is the index of the endpoint to use, or -1 if none is free. The draw is
// uniform in [0, 1).
func Pick(candidates []Candidate, d Demand, draw float64) int {
	best := time.Duration(math.MaxInt64)
	costs := make([]time.Duration, len(candidates))
	for i, c := range candidates {
		costs[i] = math.MaxInt64
		if c.Blocked || c.Busy >= c.Slots {
			continue
		}
		costs[i] = cost(c, d)
		best = min(best, costs[i])
	}
	if best == math.MaxInt64 {
		return -1
	}
	near := 0
	for _, c := range costs {
		if c <= best+nearBest {
			near++
		}
	}
	chosen := int(draw * float64(near))
	for i, c := range costs {
		if c > best+nearBest {
			continue
		}
		if chosen == 0 {
			return i
		}
		chosen--
	}
	return -1
}
