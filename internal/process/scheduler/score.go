package scheduler

import "time"

const (
	// deadlineMissPenalty is added to the cost of an endpoint that would miss
	// the deadline, noSlotPenalty to that of one without an available slot, in
	// seconds.
	deadlineMissPenalty = 1000.0
	noSlotPenalty       = 1e6
	// deadlineMargin is the safety factor on the expected time to first token
	// when it is compared with the deadline.
	deadlineMargin = 1.1
)

// score sets a candidate's action, estimate and cost in seconds. maxCached is
// the largest number of cached prompt tokens of any candidate.
func (p *Pool) score(now time.Time, r *Request, c *candidate, maxCached int32) {
	e := &p.endpoints[c.position]
	c.estimate = estimate(now, r, e.Live, int(c.cached))
	c.cost = c.estimate.FirstToken.Seconds()
	c.cost += decodeWeight * (c.estimate.LastToken - c.estimate.FirstToken).Seconds()
	c.cost += cacheMissWeight * float64(maxCached-c.cached) / e.Live.PrefillSpeed()
	c.feasible = meetsDeadline(now, r.Deadline, c.estimate.IdleFirstToken)
	if !meetsDeadline(now, r.Deadline, c.estimate.FirstToken) {
		c.cost += deadlineMissPenalty
	}
	switch {
	case e.LocalSlots.HasFree(now, r.Tier):
		c.action = ActionDispatch
	case !r.LocalSlotsOnly:
		c.action = ActionRequestSlot
		c.cost += e.Live.expectedSlotWait(c.estimate).Seconds()
	default:
		c.action = ActionWait
		c.cost += noSlotPenalty
	}
}

// meetsDeadline reports whether a time to first token, extended by
// deadlineMargin, meets the deadline.
func meetsDeadline(now, deadline time.Time, firstToken time.Duration) bool {
	if deadline.IsZero() {
		return true
	}
	return !now.Add(time.Duration(deadlineMargin * float64(firstToken))).After(deadline)
}

// estimate predicts the latency of a request at an endpoint that has that many
// of its prompt tokens cached.
func estimate(now time.Time, r *Request, live *LiveStats, cached int) Estimate {
	prefill := live.PrefillSpeed()
	backlog := live.backlogTokens(now, prefill)
	own := float64(r.PromptTokens - cached)
	idle := firstTokenOverhead + seconds(own/prefill)
	first := idle + seconds(backlog/prefill)
	return Estimate{
		FirstToken:     first,
		LastToken:      first + seconds(float64(r.OutputTokens)/live.DecodeSpeed()),
		IdleFirstToken: idle,
		CachedTokens:   cached,
		BacklogTokens:  int(backlog),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimate predicts the latency of a request at the endpoint with that index in
// the pool.
func (p *Pool) Estimate(now time.Time, r *Request, position int) Estimate {
	return estimate(now, r, p.endpoints[position].Live, p.cachedTokensAt(r, position))
}

// cachedTokensAt returns the number of prompt tokens that an endpoint is expected
// to have cached.
func (p *Pool) cachedTokensAt(r *Request, position int) int {
	id := p.endpoints[position].ID
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		entry := p.index.lookup(r.Prefixes[i].Hash)
		if entry == nil {
			continue
		}
		for _, o := range entry.owners[:entry.count] {
			if o.endpoint == id {
				return min(r.Prefixes[i].Tokens, r.PromptTokens)
			}
		}
	}
	return 0
}
