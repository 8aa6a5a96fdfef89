package rollout

import (
	"math"
	"time"
)

// turnCold makes an endpoint cold; the hosts learn of it late.
func (f *fake) turnCold(e *fakeEndpoint) {
	e.coldUntil = f.now + fakeColdTime
	e.coldKnown = f.now + fakeColdLag
}

// stall makes some endpoint of either version stall.
func (f *fake) stall() {
	f.endpoints[f.random.IntN(len(f.endpoints))].stalledUntil = f.now + fakeStallTime
	f.after(time.Duration(f.random.ExpFloat64()*float64(f.kase.stalls)), f.stall)
}

// isCold reports whether the hosts believe that an endpoint is cold.
func (f *fake) isCold(e *fakeEndpoint) bool { return f.now >= e.coldKnown && f.now < e.coldUntil }

// arrive places one request and schedules the next one.
func (f *fake) arrive() {
	gap := f.random.ExpFloat64() / (f.fleet.requestsPerSecond * (1 + f.kase.extraLoad))
	f.after(time.Duration(gap*float64(time.Second)), f.arrive)
	index := f.pickRoute()
	route := f.fleet.routes[index]
	judge := f.judges[f.random.IntN(len(f.judges))]
	isNew := judge.Choose(f.fleet.name, route.name) == "v2"
	endpoint := f.pickEndpoint(isNew)
	if endpoint == nil {
		endpoint = f.pickEndpoint(!isNew)
	}
	if endpoint != nil {
		f.dispatch(judge, index, endpoint)
	}
}

func (f *fake) pickRoute() int {
	dice := f.random.Float64()
	for index, route := range f.fleet.routes {
		if dice -= route.weight; dice < 0 {
			return index
		}
	}
	return 0
}

// pickEndpoint returns the least loaded endpoint of a version that has a free
// slot, or nil.
func (f *fake) pickEndpoint(isNew bool) *fakeEndpoint {
	var best *fakeEndpoint
	for _, e := range f.endpoints {
		slots := fakeSlots
		if f.isCold(e) {
			slots = fakeColdSlots
		}
		if e.isNew == isNew && e.running < slots && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

// dispatch runs one request and tells the judge of it.
func (f *fake) dispatch(judge *Judge, index int, e *fakeEndpoint) {
	route := f.fleet.routes[index]
	e.running++
	faulty := f.isFaulty(index, e)
	f.count(e, faulty)
	prompt := route.promptTokens * math.Exp(f.random.NormFloat64())
	tokens := 1 + int(route.answerSize*math.Exp(f.random.NormFloat64()/2))
	version := "v1"
	if e.isNew {
		version = "v2"
	}
	expected := time.Duration(prompt / fakePrefillPerSec * float64(time.Second))
	perToken := time.Second / fakeDecodePerSec
	watch := judge.Begin(Request{
		Service: f.fleet.name, Version: version, Route: route.name,
		Expected: expected, ExpectedPerToken: perToken, Cold: f.isCold(e),
	})
	load := float64(e.running) / fakeSlots
	factor := 1 + load*load
	if f.now < e.coldUntil {
		factor *= 3
	}
	if f.now < e.stalledUntil {
		factor *= 5
	}
	if faulty && f.kase.slowFactor > 0 {
		factor *= f.kase.slowFactor
	}
	first := time.Duration(float64(expected)*factor*f.noise()) + 5*time.Millisecond
	step := time.Duration(float64(perToken) * factor * f.noise())
	fails := f.random.Float64() < fakeErrorRate || faulty && f.random.Float64() < f.kase.errorRate
	f.after(first, func() {
		if fails {
			e.running--
			watch.End(ResultFailed, 0, first)
			return
		}
		f.stream(watch, e, first, step, tokens)
	})
}

// stream plays an answer after its first token.
func (f *fake) stream(watch *Watch, e *fakeEndpoint, first, step time.Duration, tokens int) {
	watch.FirstToken(first)
	timed := tokensTimed + 1
	if tokens > timed {
		at := step * time.Duration(timed-1)
		f.after(at, func() { watch.Tokens(timed, first+at) })
	}
	rest := step * time.Duration(tokens-1)
	f.after(rest, func() {
		e.running--
		watch.End(ResultSucceeded, tokens, first+rest)
	})
}

func (f *fake) noise() float64 { return math.Exp(f.random.NormFloat64() * fakeNoise) }

// isFaulty reports whether a request meets the new version's fault.
func (f *fake) isFaulty(route int, e *fakeEndpoint) bool {
	k := f.kase
	isLater := f.now >= time.Duration(k.laterPart*float64(f.complete))
	isRoute := k.route == anyRoute || k.route == route
	return k.bad && e.isNew && isLater && isRoute && e.running >= k.minRunning
}

// count keeps the figures of the run.
func (f *fake) count(e *fakeEndpoint, faulty bool) {
	if faulty && !f.result.badSeen {
		f.result.badSeen = true
		f.result.badStart = f.now
	}
	f.result.requests++
	if f.result.badSeen {
		f.result.requestsBad++
	}
	if !e.isNew {
		return
	}
	f.result.toNew++
	f.result.lastToNew = f.now
	if f.result.badSeen {
		f.result.toNewBad++
	}
	if f.now < e.coldUntil && f.now >= e.coldKnown && e.running > fakeColdSlots {
		f.result.overruns++
	}
}
