package placement

import (
	"slices"
	"time"
)

// policy sends requests to the engines of a fleet.
type policy interface {
	arrive(r *fakeRequest)
}

// direct sends each request at once to the engine that choose returns.
type direct struct {
	fleet  *fakeFleet
	choose func(host int) int
	hosts  int
	sent   func(host, engine int)
}

func (d *direct) arrive(r *fakeRequest) {
	host := d.fleet.noise.IntN(d.hosts)
	for range len(d.fleet.engines) {
		i := d.choose(host)
		r.first, r.done = func() {}, func(bool) {}
		d.sent(host, i)
		if d.fleet.engines[i].submit(r) {
			return
		}
	}
}

func newRoundRobin(f *fakeFleet, count int) policy {
	next := make([]int, count)
	for i := range next {
		next[i] = f.noise.IntN(len(f.engines))
	}
	return &direct{fleet: f, hosts: count, sent: func(int, int) {}, choose: func(host int) int {
		next[host]++
		return next[host] % len(f.engines)
	}}
}

// newLeastLoad goes by the last load report and the own requests sent since.
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
		f.clock.after(reportEvery, poll)
	}
	poll()
	return &direct{fleet: f, hosts: count, sent: func(h, i int) { load[h][i]++ }, choose: func(h int) int {
		at := f.noise.IntN(len(f.engines))
		for i := range f.engines {
			if load[h][i] < load[h][at] {
				at = i
			}
		}
		return at
	}}
}

// bound knows lengths and loads exactly and has one queue for all.
type bound struct {
	fleet   *fakeFleet
	waiting []*fakeRequest
}

func (b *bound) arrive(r *fakeRequest) {
	at, _ := slices.BinarySearchFunc(b.waiting, r, func(x, y *fakeRequest) int {
		if x.tier != y.tier {
			return x.tier - y.tier
		}
		return x.Arrival.Compare(y.Arrival)
	})
	b.waiting = slices.Insert(b.waiting, at, r)
	b.pump()
}

func (b *bound) pump() {
	for i := 0; i < len(b.waiting); i++ {
		r := b.waiting[i]
		e, timely := b.best(r)
		if e == nil && timely {
			return
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		i--
		if e == nil {
			continue
		}
		r.first, r.done = func() {}, func(bool) { b.pump() }
		e.submit(r)
	}
}

// best is the engine with a free slot that answers soonest with the least
// waste; timely is false if none ever can.
func (b *bound) best(r *fakeRequest) (best *fakeEngine, timely bool) {
	cost := time.Duration(0)
	for _, e := range b.fleet.engines {
		own := float64(r.PromptTokens-e.lookup(r)) / e.spec.PrefillTokensPerSecond
		idle := overheadOfFake + secondsOf(own/e.speed())
		left := r.Arrival.Add(r.budget).Sub(b.fleet.clock.now)
		timely = timely || r.budget == 0 || idle <= left
		limit := e.spec.MaxSlots
		if e.isCold() {
			limit = e.spec.ColdSlots
		}
		first := idle + e.backlog()
		if e.isDown() || e.inFlight() >= limit || r.budget > 0 && first > left {
			continue
		}
		total := first + secondsOf(own) + secondsOf(float64(r.output)/e.spec.DecodeTokensPerSecond)/5
		if best == nil || total < cost {
			best, cost = e, total
		}
	}
	return best, timely
}

// backlog is the prefill time ahead of a new request, at most.
func (e *fakeEngine) backlog() time.Duration {
	tokens := 0
	for _, r := range e.prefilling {
		tokens += r.uncached
	}
	for _, r := range e.queue {
		tokens += r.PromptTokens - e.lookup(r)
	}
	return secondsOf(float64(tokens) / (e.spec.PrefillTokensPerSecond * e.speed()))
}
