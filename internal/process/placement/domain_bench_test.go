package placement

import (
	"testing"
	"time"
)

const (
	domainLoad  = 0.6
	outAt, inAt = 30 * time.Second, 45 * time.Second
	domainEnd   = 65 * time.Second
	// steadyFrom and steadyTo bound the time that the loss is measured
	// against; requests that are in flight at the loss arrived after it.
	steadyFrom, steadyTo = 15 * time.Second, 25 * time.Second
	markSpread           = time.Second
	lostDomain           = "d1"
	recoveredFrom        = 0.95
	bucket               = time.Second
)

// domainCase takes a domain out and brings it back.
type domainCase struct {
	name string
	out  func(f *fakeFleet, h *hosts)
	in   func(f *fakeFleet, h *hosts)
}

var domainCases = []domainCase{
	{"marked", (*fakeFleet).markOut, (*fakeFleet).markIn},
	{"crashed", (*fakeFleet).crashDomain, func(*fakeFleet, *hosts) {}},
	{"marked-warm", (*fakeFleet).markOut, func(f *fakeFleet, h *hosts) { f.mark(h, nil) }},
}

func (f *fakeFleet) markOut(h *hosts) { f.mark(h, []string{lostDomain}) }

// markIn brings the domain back with engines that have just started.
func (f *fakeFleet) markIn(h *hosts) {
	f.eachLost(func(e *fakeEngine) { e.restart(0) })
	f.mark(h, nil)
}

func (f *fakeFleet) crashDomain(*hosts) {
	f.eachLost(func(e *fakeEngine) { e.restart(inAt - outAt) })
}

func (f *fakeFleet) eachLost(do func(*fakeEngine)) {
	for _, e := range f.engines {
		if e.spec.Domain == lostDomain {
			do(e)
		}
	}
}

// mark reaches the hosts one after the other.
func (f *fakeFleet) mark(h *hosts, out []string) {
	for _, host := range h.list {
		f.clock.after(time.Duration(f.noise.Int64N(int64(markSpread))), func() {
			host.core.update(f.clock.now, View{Bundle: f.bundle(), DomainsOut: out})
			host.touched()
		})
	}
}

// domainOutcome is what one case has shown over all seeds.
type domainOutcome struct {
	// inTime and total are urgent requests by the second of their arrival.
	inTime, total [int(domainEnd / bucket)]float64
	overruns      int
	worst         int
}

func (o *domainOutcome) run(kind fakeKind, c domainCase, seed uint64) {
	f := newFakeFleet(kind, seed)
	capacity := f.capacity()
	h := newHosts(f, kind.hosts)
	start := f.clock.now
	f.clock.after(outAt, func() { c.out(f, h) })
	f.clock.after(inAt, func() { c.in(f, h) })
	f.steady(start, capacity*domainLoad, h)
	f.clock.runUntil(start.Add(domainEnd + drainFor))
	o.overruns += f.overruns
	o.worst = max(o.worst, f.overruns)
	for _, r := range f.requests {
		second := int(r.Arrival.Sub(start) / bucket)
		if r.tier == 3 || second >= len(o.total) {
			continue
		}
		o.total[second]++
		if r.inTime() {
			o.inTime[second]++
		}
	}
}

// steady schedules Poisson arrivals at a rate for each second.
func (f *fakeFleet) steady(start time.Time, rate float64, p policy) {
	var next func()
	next = func() {
		if f.clock.now.Sub(start) > domainEnd {
			return
		}
		r := f.request()
		f.requests = append(f.requests, r)
		p.arrive(r)
		f.clock.after(secondsOf(f.random.ExpFloat64()/rate), next)
	}
	f.clock.after(0, next)
}

// share is the goodput between two times.
func (o *domainOutcome) share(from, to time.Duration) float64 {
	inTime, total := 0.0, 0.0
	for s := int(from / bucket); s < int(to/bucket); s++ {
		inTime += o.inTime[s]
		total += o.total[s]
	}
	return inTime / max(total, 1)
}

// recovery is how many seconds after a time the goodput is back for good.
func (o *domainOutcome) recovery(from, to time.Duration) float64 {
	last := from
	for at := from; at < to; at += bucket {
		if o.share(at, at+bucket) < recoveredFrom {
			last = at + bucket
		}
	}
	return (last - from).Seconds()
}

// BenchmarkDomainLoss takes a third of the fleet away and back. The rest bears
// the load, so that all of the loss counts.
func BenchmarkDomainLoss(b *testing.B) {
	for _, kind := range fakeKinds {
		for _, c := range domainCases {
			b.Run(c.name+"/"+kind.name, func(b *testing.B) {
				for b.Loop() {
					var o domainOutcome
					for seed := range uint64(benchSeeds) {
						o.run(kind, c, seed+1)
					}
					b.ReportMetric(max(0, o.share(steadyFrom, steadyTo)-o.share(steadyTo, inAt)), "dip")
					b.ReportMetric(max(0, o.share(steadyFrom, steadyTo)-o.share(inAt, domainEnd)), "dip-return")
					b.ReportMetric(max(o.recovery(outAt, inAt), o.recovery(inAt, domainEnd)), "seconds-to-recover")
					b.ReportMetric(float64(o.overruns), "cold-overruns")
					b.ReportMetric(float64(o.worst), "cold-overruns-worst")
				}
			})
		}
	}
}
