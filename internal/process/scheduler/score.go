package scheduler

import "time"

const (
	// lateCost is added for an endpoint that would miss the deadline, and
	// fullCost for one that has no slot to give, in seconds.
	lateCost = 1000.0
	fullCost = 1e6
	// deadlineMargin is the factor on an expected first-token time that must
	// still meet the deadline.
	deadlineMargin = 1.1
)

// score sets a candidate's action, estimate and cost in seconds.
func (p *Pool) score(now time.Time, r *Request, c *candidate, most int32) {
	e := &p.endpoints[c.position]
	c.estimate = estimate(now, r, e.Live, int(c.cached))
	c.cost = c.estimate.FirstToken.Seconds()
	c.cost += decodeShare * (c.estimate.LastToken - c.estimate.FirstToken).Seconds()
	c.cost += wasteShare * float64(most-c.cached) / e.Live.Prefill()
	c.timely = meets(now, r.Deadline, c.estimate.Idle)
	if !meets(now, r.Deadline, c.estimate.FirstToken) {
		c.cost += lateCost
	}
	switch {
	case e.Hand.HasFree(now, r.Tier):
		c.action = ActionDispatch
	case !r.HeldOnly:
		c.action = ActionAsk
		c.cost += e.Live.slotWait(c.estimate).Seconds()
	default:
		c.action = ActionWait
		c.cost += fullCost
	}
}

// meets reports whether a first token after the given time, with a margin,
// meets the deadline.
func meets(now, deadline time.Time, firstToken time.Duration) bool {
	if deadline.IsZero() {
		return true
	}
	return !now.Add(time.Duration(deadlineMargin * float64(firstToken))).After(deadline)
}

// estimate predicts first and last token of a request at an endpoint.
func estimate(now time.Time, r *Request, live *Live, cached int) Estimate {
	prefill := live.Prefill()
	backlog := live.backlog(now, prefill)
	own := float64(r.PromptTokens - cached)
	idle := overhead + seconds(own/prefill)
	first := idle + seconds(backlog/prefill)
	return Estimate{
		FirstToken: first,
		LastToken:  first + seconds(float64(r.OutputTokens)/live.Decode()),
		Idle:       idle,
		Cached:     cached,
		Backlog:    int(backlog),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimate predicts a request at one endpoint of the pool.
func (p *Pool) Estimate(now time.Time, r *Request, position int) Estimate {
	return estimate(now, r, p.endpoints[position].Live, p.cachedAt(r, position))
}

// cachedAt is how many prompt tokens an endpoint is believed to have cached.
func (p *Pool) cachedAt(r *Request, position int) int {
	id := p.endpoints[position].ID
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		known := p.index.lookup(r.Prefixes[i].Hash)
		if known == nil {
			continue
		}
		for _, o := range known.owners[:known.count] {
			if o.endpoint == id {
				return min(r.Prefixes[i].Tokens, r.PromptTokens)
			}
		}
	}
	return 0
}
