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
	// BaseLatency is the time to a first answer beside the reading of prompts,
	// PrefillTimePerToken that for one prompt token, InterTokenLatency that between two tokens of a
	// stream.
	BaseLatency, PrefillTimePerToken, InterTokenLatency time.Duration
	// ExcessFailureRate is the part of recent requests that failed there beyond what
	// is usual for the service.
	ExcessFailureRate float64
	// Blocked tells that the endpoint must not be used now.
	Blocked bool
	// OtherDomain tells that the endpoint is in another failure domain.
	OtherDomain bool
}

// Demand is what a request asks for.
type Demand struct {
	PromptTokens, OutputTokens float64
	// TargetLatency is the time to the first answer within which the request has its
	// full value, TargetGap that between two events; 0 if there is none.
	TargetLatency, TargetGap time.Duration
	// TimeLeft is the time until the caller's deadline; 0 if there is none.
	TimeLeft time.Duration
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
	// truncationCost is the time that it is worth to end the answer before the
	// caller's deadline: a cut one is worth nothing and has kept a slot busy.
	truncationCost = 3 * time.Second
	// outputLengthMargin is how much longer answers are than expected, often enough
	// to count with it: callers' guesses are right in the middle only.
	outputLengthMargin = 1.4
	// prefillDelayCost is the time that it is worth not to make one other stream
	// late by the reading of a long prompt.
	prefillDelayCost = 60 * time.Millisecond
	// occupancyCost is the cost of the last free slot: later long prompts will
	// delay a stream on a crowded endpoint.
	occupancyCost = 60 * time.Millisecond
	// nearBestMargin is how much worse than the best an endpoint may be to be picked.
	nearBestMargin = 8 * time.Millisecond
	// crossDomainCost is the cost of crossing failure domains.
	crossDomainCost = 2 * time.Millisecond
)

// prefillTime is the time until the endpoint has read all prompts, the request's
// included.
func prefillTime(c Candidate, d Demand) time.Duration {
	return time.Duration((c.PendingTokens + d.PromptTokens) * float64(c.PrefillTimePerToken))
}

// FirstResponseTime is the expected time to the first token of a request.
func FirstResponseTime(c Candidate, d Demand) time.Duration { return c.BaseLatency + prefillTime(c, d) }

// cost is what the choice minimizes.
func cost(c Candidate, d Demand) time.Duration {
	firstResponse := FirstResponseTime(c, d)
	total := firstResponse + time.Duration(decodeWeight*d.OutputTokens*float64(c.InterTokenLatency))
	if d.TargetLatency > 0 && firstResponse > d.TargetLatency {
		total += lateCost
	}
	if d.TimeLeft > 0 && firstResponse+time.Duration(outputLengthMargin*d.OutputTokens*float64(c.InterTokenLatency)) > d.TimeLeft {
		total += truncationCost
	}
	if d.TargetGap > 0 && d.PromptTokens > 0 && prefillTime(c, d) > d.TargetGap {
		total += time.Duration(c.Busy) * prefillDelayCost
	}
	total += time.Duration(c.ExcessFailureRate * float64(failureCost))
	if c.Slots > 0 {
		occupancy := float64(c.Busy) / float64(c.Slots)
		total += time.Duration(occupancy * occupancy * float64(occupancyCost))
	}
	if c.OtherDomain {
		total += crossDomainCost
	}
	return total
}

const (
	// oversubscribedTargetShare is the part of its aim that a request may spend at an endpoint
	// before its own work begins and while it is done.
	oversubscribedTargetShare = 0.6
	// maxOversubscription bounds what an endpoint is given beyond its slots, as a part of
	// these; endpoints keep a few requests waiting and refuse more.
	maxOversubscription = 1.0
)

// Oversubscription is how many requests more than it has slots an endpoint may be given.
// It answers the load of short requests from many hosts: when a request takes
// less time than word of it does to reach the others, all hosts see slots as
// taken that are free long since, and requests wait at each host while the
// endpoints stand idle. A few that wait at the endpoint itself are better off,
// if they are still on time.
func Oversubscription(slots int, slotTime, loadAge, targetLatency time.Duration) int {
	if slotTime <= 0 || slotTime >= loadAge {
		return 0
	}
	rounds := float64(targetLatency)*oversubscribedTargetShare/float64(slotTime) - 1
	return int(float64(slots) * max(0, min(rounds, maxOversubscription)))
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
	nearBest := 0
	for _, c := range costs {
		if c <= best+nearBestMargin {
			nearBest++
		}
	}
	skip := int(draw * float64(nearBest))
	for i, c := range costs {
		if c > best+nearBestMargin {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return -1
}
