package placement

import (
	"slices"
	"time"
)

// policy distributes requests over the engines of a fleet.
type policy interface {
	arrive(r *fakeRequest)
}

// directPolicy sends each request immediately to the engine that choose
// returns.
type directPolicy struct {
	fleet  *fakeFleet
	choose func(host int) int
	hosts  int
	onSent func(host, engine int)
}

func (d *directPolicy) arrive(r *fakeRequest) {
	host := d.fleet.policyRandom.IntN(d.hosts)
	for range len(d.fleet.engines) {
		i := d.choose(host)
		r.onFirstToken, r.onDone = func() {}, func(bool) {}
		d.onSent(host, i)
		if d.fleet.engines[i].submit(r) {
			return
		}
	}
}

func newRoundRobin(f *fakeFleet, count int) policy {
	next := make([]int, count)
	for i := range next {
		next[i] = f.policyRandom.IntN(len(f.engines))
	}
	return &directPolicy{fleet: f, hosts: count, onSent: func(int, int) {}, choose: func(host int) int {
		next[host]++
		return next[host] % len(f.engines)
	}}
}

// newLeastLoad returns a policy that picks the engine with the fewest requests
// in flight, as known from the last load report plus the host's own requests
// since.
func newLeastLoad(f *fakeFleet, count int) policy {
	load := make([][]float64, count)
	for i := range load {
		load[i] = make([]float64, len(f.engines))
	}
	var poll func()
	poll = func() {
		for i, e := range f.engines {
			inFlight, down := float64(e.inFlight()), e.isDown()
			f.clock.after(reportLag, func() {
				for h := range load {
					load[h][i] = inFlight
					if down {
						load[h][i] = 1000
					}
				}
			})
		}
		f.clock.after(loadPollInterval, poll)
	}
	poll()
	return &directPolicy{fleet: f, hosts: count, onSent: func(h, i int) { load[h][i]++ }, choose: func(h int) int {
		at := f.policyRandom.IntN(len(f.engines))
		for i := range f.engines {
			if load[h][i] < load[h][at] {
				at = i
			}
		}
		return at
	}}
}

// upperBound is an idealized policy with one global queue and exact knowledge
// of output lengths and loads.
type upperBound struct {
	fleet   *fakeFleet
	waiting []*fakeRequest
}

func (b *upperBound) arrive(r *fakeRequest) {
	at, _ := slices.BinarySearchFunc(b.waiting, r, func(x, y *fakeRequest) int {
		if x.tier != y.tier {
			return x.tier - y.tier
		}
		return x.Arrival.Compare(y.Arrival)
	})
	b.waiting = slices.Insert(b.waiting, at, r)
	b.dispatchWaiting()
}

func (b *upperBound) dispatchWaiting() {
	for i := 0; i < len(b.waiting); i++ {
		r := b.waiting[i]
		e, feasible := b.best(r)
		if e == nil && feasible {
			return
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		i--
		if e == nil {
			continue
		}
		r.onFirstToken, r.onDone = func() {}, func(bool) { b.dispatchWaiting() }
		e.submit(r)
	}
}

// best returns the engine with a free slot and the lowest cost: the time to the
// first token, plus the request's own prefill time, plus a fifth of its decode
// time. feasible is false if no engine could meet the deadline, even when idle.
func (b *upperBound) best(r *fakeRequest) (best *fakeEngine, feasible bool) {
	cost := time.Duration(0)
	for _, e := range b.fleet.engines {
		prefillSeconds := float64(r.PromptTokens-e.lookup(r)) / e.spec.PrefillTokensPerSecond
		idle := requestOverhead + toDuration(prefillSeconds/e.speed())
		left := r.Arrival.Add(r.budget).Sub(b.fleet.clock.now)
		feasible = feasible || r.budget == 0 || idle <= left
		limit := e.spec.MaxSlots
		if e.isCold() {
			limit = e.spec.ColdSlots
		}
		first := idle + e.prefillBacklog()
		if e.isDown() || e.inFlight() >= limit || r.budget > 0 && first > left {
			continue
		}
		total := first + toDuration(prefillSeconds) + toDuration(float64(r.outputTokens)/e.spec.DecodeTokensPerSecond)/5
		if best == nil || total < cost {
			best, cost = e, total
		}
	}
	return best, feasible
}

// prefillBacklog returns an upper bound of the prefill time ahead of a new
// request.
func (e *fakeEngine) prefillBacklog() time.Duration {
	tokens := 0
	for _, r := range e.prefilling {
		tokens += r.uncachedTokens
	}
	for _, r := range e.queue {
		tokens += r.PromptTokens - e.lookup(r)
	}
	return toDuration(float64(tokens) / (e.spec.PrefillTokensPerSecond * e.speed()))
}
