package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	benchSeeds  = 10
	warmUp      = 25 * time.Second
	measureFor  = 40 * time.Second
	drainFor    = 60 * time.Second
	burstLength = 10 * time.Second
	calmLoad    = 0.5
	restartAt   = 32 * time.Second
)

type outcome struct {
	goodput  [3]float64
	wasted   float64
	overruns float64
}

type maker func(f *fakeFleet, hosts int) policy

var policies = []struct {
	name string
	make maker
}{
	{"mustarddoor", func(f *fakeFleet, n int) policy { return newHosts(f, n) }},
	{"round-robin", newRoundRobin},
	{"least-load", newLeastLoad},
	{"bound", func(f *fakeFleet, n int) policy { return &bound{fleet: f} }},
}

// simulate runs one seed of one case.
func simulate(kind fakeKind, load float64, make maker, seed uint64) outcome {
	f := newFakeFleet(kind, seed)
	capacity := f.capacity()
	p := make(f, kind.hosts)
	start := f.clock.now
	f.arrivals(start, load, capacity, p)
	for i := range len(f.engines) / 10 {
		e := f.engines[i*7%len(f.engines)]
		f.clock.after(restartAt+time.Duration(i)*8*time.Second, func() { e.restart(0) })
	}
	f.clock.runUntil(start.Add(warmUp + measureFor + drainFor))
	return f.outcome()
}

// arrivals schedules Poisson arrivals: calm, then bursts of the load.
func (f *fakeFleet) arrivals(start time.Time, load, capacity float64, p policy) {
	var next func()
	next = func() {
		since := f.clock.now.Sub(start)
		if since > warmUp+measureFor {
			return
		}
		r := f.request()
		r.measured = since >= warmUp
		f.requests = append(f.requests, r)
		p.arrive(r)
		f.clock.after(secondsOf(f.random.ExpFloat64()/(capacity*loadAt(since, load))), next)
	}
	f.clock.after(0, next)
}

func loadAt(since time.Duration, load float64) float64 {
	if since < warmUp || int(since/burstLength)%2 == 0 {
		return calmLoad
	}
	return load
}

func (f *fakeFleet) outcome() outcome {
	var o outcome
	var total [3]float64
	useless := f.elsewhere
	for _, r := range f.requests {
		if !r.measured {
			continue
		}
		total[r.tier-1]++
		if r.inTime() {
			o.goodput[r.tier-1]++
		} else {
			useless += float64(r.uncached)
		}
	}
	for i := range o.goodput {
		o.goodput[i] /= max(total[i], 1)
	}
	o.wasted = min(useless/max(f.prefilled, 1), 1)
	o.overruns = float64(f.overruns)
	return o
}

func BenchmarkPolicy(b *testing.B) {
	for _, kind := range fakeKinds {
		for _, load := range []float64{0.7, 1.0, 1.5} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("%s/%.1f/%s", kind.name, load, p.name), func(b *testing.B) {
					for b.Loop() {
						benchPolicy(b, kind, load, p.make)
					}
				})
			}
		}
	}
}

func benchPolicy(b *testing.B, kind fakeKind, load float64, make maker) {
	var runs []outcome
	for seed := range uint64(benchSeeds) {
		runs = append(runs, simulate(kind, load, make, seed+1))
	}
	for t := range 3 {
		reportSpread(b, fmt.Sprintf("goodput-tier%d", t+1), runs, false, func(o outcome) float64 { return o.goodput[t] })
	}
	reportSpread(b, "wasted-prefill", runs, true, func(o outcome) float64 { return o.wasted })
	reportSpread(b, "cold-overruns", runs, true, func(o outcome) float64 { return o.overruns })
}

// reportSpread reports the median and the worst of all seeds.
func reportSpread(b *testing.B, unit string, runs []outcome, lowIsGood bool, of func(outcome) float64) {
	var values []float64
	for _, o := range runs {
		values = append(values, of(o))
	}
	slices.Sort(values)
	worst := values[0]
	if lowIsGood {
		worst = values[len(values)-1]
	}
	b.ReportMetric(values[len(values)/2], unit)
	b.ReportMetric(worst, unit+"-worst")
}
