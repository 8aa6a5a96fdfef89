package rollout

import (
	"math"
	"time"
)

// turnCold makes an endpoint cold. The hosts learn of it after
// simColdReportDelay.
func (s *simulation) turnCold(e *simEndpoint) {
	e.coldUntil = s.now + simColdDuration
	e.coldReportedAt = s.now + simColdReportDelay
}

// stall makes a random endpoint of either version stall and schedules the next
// stall.
func (s *simulation) stall() {
	s.endpoints[s.random.IntN(len(s.endpoints))].stalledUntil = s.now + simStallDuration
	s.after(time.Duration(s.random.ExpFloat64()*float64(s.scenario.stallInterval)), s.stall)
}

// isCold reports whether the hosts consider an endpoint cold.
func (s *simulation) isCold(e *simEndpoint) bool {
	return s.now >= e.coldReportedAt && s.now < e.coldUntil
}

// placeNextRequest places one request and schedules the next one.
func (s *simulation) placeNextRequest() {
	gap := s.random.ExpFloat64() / (s.fleet.requestsPerSecond * (1 + s.scenario.extraLoad))
	s.after(time.Duration(gap*float64(time.Second)), s.placeNextRequest)
	index := s.pickRoute()
	route := s.fleet.routes[index]
	controller := s.controllers[s.random.IntN(len(s.controllers))]
	isNew := controller.Choose(s.fleet.name, route.name) == "v2"
	endpoint := s.pickEndpoint(isNew)
	if endpoint == nil {
		endpoint = s.pickEndpoint(!isNew)
	}
	if endpoint != nil {
		s.dispatch(controller, index, endpoint)
	}
}

func (s *simulation) pickRoute() int {
	remaining := s.random.Float64()
	for index, route := range s.fleet.routes {
		if remaining -= route.weight; remaining < 0 {
			return index
		}
	}
	return 0
}

// pickEndpoint returns the least loaded endpoint of a version that has a free
// slot, or nil.
func (s *simulation) pickEndpoint(isNew bool) *simEndpoint {
	var best *simEndpoint
	for _, e := range s.endpoints {
		slots := simSlots
		if s.isCold(e) {
			slots = simColdSlots
		}
		if e.isNew == isNew && e.running < slots && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

// dispatch runs one request and tracks it with the controller.
func (s *simulation) dispatch(controller *Controller, index int, e *simEndpoint) {
	route := s.fleet.routes[index]
	e.running++
	faulty := s.isFaulty(index, e)
	s.record(e, faulty)
	prompt := route.promptTokens * math.Exp(s.random.NormFloat64())
	tokens := 1 + int(route.answerTokens*math.Exp(s.random.NormFloat64()/2))
	version := "v1"
	if e.isNew {
		version = "v2"
	}
	expected := time.Duration(prompt / simPrefillTokensPerSecond * float64(time.Second))
	perToken := time.Second / simDecodeTokensPerSecond
	tracker := controller.Track(Attempt{
		Service: s.fleet.name, Version: version, Route: route.name,
		ExpectedFirstToken: expected, ExpectedPerToken: perToken, Cold: s.isCold(e),
	})
	load := float64(e.running) / simSlots
	factor := 1 + load*load
	if s.now < e.coldUntil {
		factor *= 3
	}
	if s.now < e.stalledUntil {
		factor *= 5
	}
	if faulty && s.scenario.slowFactor > 0 {
		factor *= s.scenario.slowFactor
	}
	firstToken := time.Duration(float64(expected)*factor*s.noise()) + 5*time.Millisecond
	tokenInterval := time.Duration(float64(perToken) * factor * s.noise())
	fails := s.random.Float64() < simErrorRate || faulty && s.random.Float64() < s.scenario.errorRate
	s.after(firstToken, func() {
		if fails {
			e.running--
			tracker.End(ResultFailed, 0, firstToken)
			return
		}
		s.stream(tracker, e, firstToken, tokenInterval, tokens)
	})
}

// stream simulates an answer after its first token.
func (s *simulation) stream(tracker *Tracker, e *simEndpoint, firstToken, tokenInterval time.Duration, tokens int) {
	tracker.FirstToken(firstToken)
	timed := timedTokens + 1
	if tokens > timed {
		at := tokenInterval * time.Duration(timed-1)
		s.after(at, func() { tracker.Tokens(timed, firstToken+at) })
	}
	rest := tokenInterval * time.Duration(tokens-1)
	s.after(rest, func() {
		e.running--
		tracker.End(ResultSucceeded, tokens, firstToken+rest)
	})
}

func (s *simulation) noise() float64 { return math.Exp(s.random.NormFloat64() * simLatencyNoise) }

// isFaulty reports whether a request is affected by the new version's fault.
func (s *simulation) isFaulty(route int, e *simEndpoint) bool {
	scenario := s.scenario
	isFaultOn := s.now >= time.Duration(scenario.faultStart*float64(s.maxDuration))
	isRoute := scenario.route == anyRoute || scenario.route == route
	return scenario.bad && e.isNew && isFaultOn && isRoute && e.running >= scenario.minRunning
}

// record updates the results with one request.
func (s *simulation) record(e *simEndpoint, faulty bool) {
	if faulty && !s.result.faultSeen {
		s.result.faultSeen = true
		s.result.faultSeenAt = s.now
	}
	s.result.requests++
	if s.result.faultSeen {
		s.result.requestsAfterFault++
	}
	if !e.isNew {
		return
	}
	s.result.requestsToNew++
	s.result.lastRequestToNew = s.now
	if s.result.faultSeen {
		s.result.requestsToNewAfterFault++
	}
	if s.now < e.coldUntil && s.now >= e.coldReportedAt && e.running > simColdSlots {
		s.result.coldLimitExceeded++
	}
}
