package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	benchSeeds      = 10
	warmUpDuration  = 25 * time.Second
	measureDuration = 40 * time.Second
	drainDuration   = 60 * time.Second
	burstDuration   = 10 * time.Second
	baseLoad        = 0.5
	restartAt       = 32 * time.Second
)

type policyOutcome struct {
	goodput       [3]float64
	wastedPrefill float64
	overruns      float64
}

type policyFactory func(f *fakeFleet, hosts int) policy

var policies = []struct {
	name      string
	newPolicy policyFactory
}{
	{"mustarddoor", func(f *fakeFleet, n int) policy { return newSimulatedHosts(f, n) }},
	{"round-robin", newRoundRobin},
	{"least-load", newLeastLoad},
	{"bound", func(f *fakeFleet, n int) policy { return &upperBound{fleet: f} }},
}

// simulate runs one benchmark case with one seed.
func simulate(profile fleetProfile, load float64, newPolicy policyFactory, seed uint64) policyOutcome {
	f := newFakeFleet(profile, seed)
	capacity := f.capacity()
	p := newPolicy(f, profile.hosts)
	start := f.clock.now
	f.scheduleBurstArrivals(start, load, capacity, p)
	for i := range len(f.engines) / 10 {
		e := f.engines[i*7%len(f.engines)]
		f.clock.after(restartAt+time.Duration(i)*8*time.Second, func() { e.restart(0) })
	}
	f.clock.runUntil(start.Add(warmUpDuration + measureDuration + drainDuration))
	return f.outcome()
}

// scheduleBurstArrivals schedules Poisson arrivals at the base load during the
// warm-up, then alternating with bursts at the given load.
func (f *fakeFleet) scheduleBurstArrivals(start time.Time, load, capacity float64, p policy) {
	var next func()
	next = func() {
		since := f.clock.now.Sub(start)
		if since > warmUpDuration+measureDuration {
			return
		}
		r := f.drawRequest()
		r.measured = since >= warmUpDuration
		f.requests = append(f.requests, r)
		p.arrive(r)
		f.clock.after(toDuration(f.requestRandom.ExpFloat64()/(capacity*loadAt(since, load))), next)
	}
	f.clock.after(0, next)
}

func loadAt(since time.Duration, load float64) float64 {
	if since < warmUpDuration || int(since/burstDuration)%2 == 0 {
		return baseLoad
	}
	return load
}

func (f *fakeFleet) outcome() policyOutcome {
	var o policyOutcome
	var total [3]float64
	wastedTokens := f.cachedElsewhere
	for _, r := range f.requests {
		if !r.measured {
			continue
		}
		total[r.tier-1]++
		if r.metDeadline() {
			o.goodput[r.tier-1]++
		} else {
			wastedTokens += float64(r.uncachedTokens)
		}
	}
	for i := range o.goodput {
		o.goodput[i] /= max(total[i], 1)
	}
	o.wastedPrefill = min(wastedTokens/max(f.prefilledTokens, 1), 1)
	o.overruns = float64(f.overruns)
	return o
}

func BenchmarkPolicy(b *testing.B) {
	for _, profile := range fleetProfiles {
		for _, load := range []float64{0.7, 1.0, 1.5} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("%s/%.1f/%s", profile.name, load, p.name), func(b *testing.B) {
					for b.Loop() {
						benchPolicy(b, profile, load, p.newPolicy)
					}
				})
			}
		}
	}
}

func benchPolicy(b *testing.B, profile fleetProfile, load float64, newPolicy policyFactory) {
	var runs []policyOutcome
	for seed := range uint64(benchSeeds) {
		runs = append(runs, simulate(profile, load, newPolicy, seed+1))
	}
	for t := range 3 {
		reportSpread(b, fmt.Sprintf("goodput-tier%d", t+1), runs, false, func(o policyOutcome) float64 { return o.goodput[t] })
	}
	reportSpread(b, "wasted-prefill", runs, true, func(o policyOutcome) float64 { return o.wastedPrefill })
	reportSpread(b, "cold-overruns", runs, true, func(o policyOutcome) float64 { return o.overruns })
}

// reportSpread reports the median and the worst value over all seeds.
func reportSpread(b *testing.B, unit string, runs []policyOutcome, lowerIsBetter bool, of func(policyOutcome) float64) {
	var values []float64
	for _, o := range runs {
		values = append(values, of(o))
	}
	slices.Sort(values)
	worst := values[0]
	if lowerIsBetter {
		worst = values[len(values)-1]
	}
	b.ReportMetric(values[len(values)/2], unit)
	b.ReportMetric(worst, unit+"-worst")
}
