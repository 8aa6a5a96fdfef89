// Package choose selects the endpoint for a request: filter, score, pick. It
// has no state: candidates and a random draw go in, an index comes out.
//
// It is built for heterogeneous endpoints close to full load, whose occupancy
// is known with a delay, and for long prompts that delay every stream on the
// same endpoint. A request goes to the endpoint with the earliest expected
// first token, counting the prompts that still await prefill there. A prompt
// whose prefill takes longer than the target gap between events makes every
// other stream on the endpoint late, so long prompts go to endpoints with fast
// prefill and few streams, and long responses to endpoints that finish them
// before the deadline. Hosts that see the same loads at the same time choose at
// random among the near-best endpoints, so that they don't all pick the same
// one.
package choose

import (
	"math"
	"time"
)

// Candidate describes an endpoint for selection.
type Candidate struct {
	// Slots is the number of requests that the endpoint runs at once, Busy the
	// number of slots known to be taken.
	Slots, Busy int
	// PendingTokens counts the prompt tokens that were sent and await prefill.
	PendingTokens float64
	// BaseLatency is the time to the first response without prefill,
	// PrefillTimePerToken the prefill time of one prompt token, and
	// InterTokenLatency the time between two tokens of a stream.
	BaseLatency, PrefillTimePerToken, InterTokenLatency time.Duration
	// ExcessFailureRate is the share of recent requests that failed, beyond the
	// median of the service's endpoints.
	ExcessFailureRate float64
	// Blocked is set if the endpoint gets no requests at present.
	Blocked bool
	// OtherDomain is set if the endpoint is in another failure domain.
	OtherDomain bool
}

// Demand describes a request for selection.
type Demand struct {
	PromptTokens, OutputTokens float64
	// TargetLatency is the time to the first response within which the request
	// has its full value, TargetGap the same for the time between two events; 0
	// means no target.
	TargetLatency, TargetGap time.Duration
	// TimeLeft is the time until the caller's deadline; 0 means no deadline.
	TimeLeft time.Duration
}

const (
	// decodeWeight weighs the time that a stream occupies its slot against the
	// time to its first token.
	decodeWeight = 0.08
	// failureCost is the cost of a failure that is certain.
	failureCost = 3 * time.Second
	// lateCost is the cost of missing the target latency: a late response has
	// less than a third of its value.
	lateCost = 400 * time.Millisecond
	// truncationCost is the cost of a response that the deadline cuts off: it
	// is worth nothing and has kept a slot busy.
	truncationCost = 3 * time.Second
	// outputLengthMargin scales the expected output length: callers' estimates
	// are correct only in the median, and responses are often this much longer.
	outputLengthMargin = 1.4
	// prefillDelayCost is the cost of making one other stream late by the
	// prefill of a long prompt.
	prefillDelayCost = 60 * time.Millisecond
	// occupancyCost is the cost of the last free slot: later long prompts will
	// delay more streams on a crowded endpoint.
	occupancyCost = 60 * time.Millisecond
	// nearBestMargin is the cost above the minimum up to which endpoints are
	// picked from at random.
	nearBestMargin = 8 * time.Millisecond
	// crossDomainCost is the cost of crossing failure domains.
	crossDomainCost = 2 * time.Millisecond
)

// prefillTime is the time until the endpoint has finished the prefill of all
// pending prompts and of this request.
func prefillTime(c Candidate, d Demand) time.Duration {
	return time.Duration((c.PendingTokens + d.PromptTokens) * float64(c.PrefillTimePerToken))
}

// FirstResponseTime is the expected time to the first response. For streams
// that is the first token.
func FirstResponseTime(c Candidate, d Demand) time.Duration { return c.BaseLatency + prefillTime(c, d) }

// Fits reports whether an endpoint can serve a request without harm: its first
// response meets the target latency, its last one the deadline, and its prefill makes
// no other stream late.
func Fits(c Candidate, d Demand) bool {
	return !isLate(c, d) && !isTruncated(c, d) && !delaysOthers(c, d)
}

func isLate(c Candidate, d Demand) bool {
	return d.TargetLatency > 0 && FirstResponseTime(c, d) > d.TargetLatency
}

func isTruncated(c Candidate, d Demand) bool {
	return d.TimeLeft > 0 && FirstResponseTime(c, d)+time.Duration(outputLengthMargin*d.OutputTokens*float64(c.InterTokenLatency)) > d.TimeLeft
}

func delaysOthers(c Candidate, d Demand) bool {
	return c.Busy > 0 && d.TargetGap > 0 && d.PromptTokens > 0 && prefillTime(c, d) > d.TargetGap
}

// cost is the quantity that selection minimizes.
func cost(c Candidate, d Demand) time.Duration {
	firstResponse := FirstResponseTime(c, d)
	total := firstResponse + time.Duration(decodeWeight*d.OutputTokens*float64(c.InterTokenLatency))
	if isLate(c, d) {
		total += lateCost
	}
	if isTruncated(c, d) {
		total += truncationCost
	}
	if delaysOthers(c, d) {
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
	// oversubscribedTargetShare is the share of its target latency that a short
	// request may spend at an endpoint, waiting and being served.
	oversubscribedTargetShare = 0.6
	// maxOversubscription limits the extra requests as a multiple of the slots:
	// endpoints queue only a few requests and refuse the others.
	maxOversubscription = 1.0
)

// Oversubscription returns how many requests an endpoint may be given beyond
// its slots. It serves short requests from many hosts: when a request takes
// less time than a load report needs to reach the other hosts, all hosts see
// slots as taken that have long been free, and requests queue on every host
// while the endpoints are idle. It is better to queue a few at the endpoint, as
// long as they are still on time.
func Oversubscription(slots int, slotTime, loadAge, targetLatency time.Duration) int {
	if slotTime <= 0 || slotTime >= loadAge {
		return 0
	}
	rounds := float64(targetLatency)*oversubscribedTargetShare/float64(slotTime) - 1
	return int(float64(slots) * max(0, min(rounds, maxOversubscription)))
}

// Pick returns the index of the endpoint to use, or -1 if none is free. The
// draw is uniform in [0, 1).
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
