// Package choose picks the endpoint for a request: filter, score, pick. It is
// pure: candidates and a random draw in, an index out.
//
// The load that it answers: unlike endpoints near full, whose occupancy is
// known late, with long prompts that delay every stream beside them. A request
// goes where its first token is expected first, counting the prompts that are
// still to be read there. A prompt whose reading takes longer than the allowed
// pause makes every stream beside it late, so long prompts go where they are read
// fast and few streams run; and long answers go where they end before the
// deadline. Hosts that see the same figures at the same time
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
	// BaseTime is the time to a first answer beside the reading of prompts,
	// ReadTime that for one prompt token, StepTime that between two tokens of a
	// stream.
	BaseTime, ReadTime, StepTime time.Duration
	// FailedShare is the part of recent requests that failed there beyond what
	// is usual for the service.
	FailedShare float64
	// Blocked tells that the endpoint must not be used now.
	Blocked bool
	// Far tells that the endpoint is in another failure domain.
	Far bool
}

// Demand is what a request asks for.
type Demand struct {
	PromptTokens, OutputTokens float64
	// Aim is the time to the first answer within which the request has its
	// full value, GapAim that between two events; 0 if there is none.
	Aim, GapAim time.Duration
	// Left is the time until the caller's deadline; 0 if there is none.
	Left time.Duration
}

const (
	// decodeWeight weighs the time that a stream occupies its slot against the
	// time to its first token.
	decodeWeight = 0.08
	// failureCost is the time that a certain failure is worth.
	failureCost = 3 * time.Second
	// lateCost is the time that it is worth to have the request on time: a
	// late answer has less than a third of its value.
	lateCost = 400 * time.Millisecond
	// unfinishedCost is the time that it is worth to end the answer before the
	// caller's deadline: a cut one is worth nothing and has kept a slot busy.
	unfinishedCost = 3 * time.Second
	// lengthDoubt is how much longer answers are than expected, often enough
	// to count with it: callers' guesses are right in the middle only.
	lengthDoubt = 1.4
	// delayCost is the time that it is worth not to make one other stream
	// late by the reading of a long prompt.
	delayCost = 60 * time.Millisecond
	// crowdCost is the cost of the last free slot: later long prompts will
	// delay a stream on a crowded endpoint.
	crowdCost = 60 * time.Millisecond
	// nearBest is how much worse than the best an endpoint may be to be picked.
	nearBest = 8 * time.Millisecond
	// farCost is the cost of crossing failure domains.
	farCost = 2 * time.Millisecond
)

// reading is the time until the endpoint has read all prompts, the request's
// included.
func reading(c Candidate, d Demand) time.Duration {
	return time.Duration((c.PendingTokens + d.PromptTokens) * float64(c.ReadTime))
}

// FirstToken is the expected time to the first token of a request.
func FirstToken(c Candidate, d Demand) time.Duration { return c.BaseTime + reading(c, d) }

// cost is what the choice minimizes.
func cost(c Candidate, d Demand) time.Duration {
	first := FirstToken(c, d)
	sum := first + time.Duration(decodeWeight*d.OutputTokens*float64(c.StepTime))
	if d.Aim > 0 && first > d.Aim {
		sum += lateCost
	}
	if d.Left > 0 && first+time.Duration(lengthDoubt*d.OutputTokens*float64(c.StepTime)) > d.Left {
		sum += unfinishedCost
	}
	if d.GapAim > 0 && d.PromptTokens > 0 && reading(c, d) > d.GapAim {
		sum += time.Duration(c.Busy) * delayCost
	}
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

const (
	// beyondPart is the part of its aim that a request may spend at an endpoint
	// before its own work begins and while it is done.
	beyondPart = 0.6
	// beyondMost bounds what an endpoint is given beyond its slots, as a part of
	// these; endpoints keep a few requests waiting and refuse more.
	beyondMost = 1.0
)

// Beyond is how many requests more than it has slots an endpoint may be given.
// It answers the load of short requests from many hosts: when a request takes
// less time than word of it does to reach the others, all hosts see slots as
// taken that are free long since, and requests wait at each host while the
// endpoints stand idle. A few that wait at the endpoint itself are better off,
// if they are still on time.
func Beyond(slots int, work, age, aim time.Duration) int {
	if work <= 0 || work >= age {
		return 0
	}
	rounds := float64(aim)*beyondPart/float64(work) - 1
	return int(float64(slots) * max(0, min(rounds, beyondMost)))
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
