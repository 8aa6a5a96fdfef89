package placement

import (
	"testing"
	"time"
)

const (
	domainLossLoad      = 0.6
	removeAt, restoreAt = 30 * time.Second, 45 * time.Second
	arrivalsEnd         = 65 * time.Second
	// baselineFrom and baselineTo bound the interval that the loss is compared
	// with. It ends before removeAt, so that it contains no arrivals of requests
	// that are still in flight at the loss.
	baselineFrom, baselineTo = 15 * time.Second, 25 * time.Second
	updateSpread             = time.Second
	lostDomain               = "d1"
	recoveredGoodput         = 0.95
	bucketWidth              = time.Second
)

// domainLossCase removes a failure domain and restores it.
type domainLossCase struct {
	name    string
	remove  func(f *fakeFleet, h *simulatedHosts)
	restore func(f *fakeFleet, h *simulatedHosts)
}

var domainLossCases = []domainLossCase{
	{"marked", (*fakeFleet).excludeDomain, (*fakeFleet).restoreRestartedDomain},
	{"crashed", (*fakeFleet).crashDomain, func(*fakeFleet, *simulatedHosts) {}},
	{"marked-warm", (*fakeFleet).excludeDomain, func(f *fakeFleet, h *simulatedHosts) { f.updateExcluded(h, nil) }},
}

func (f *fakeFleet) excludeDomain(h *simulatedHosts) { f.updateExcluded(h, []string{lostDomain}) }

// restoreRestartedDomain restores the domain with freshly restarted engines.
func (f *fakeFleet) restoreRestartedDomain(h *simulatedHosts) {
	f.forEachInLostDomain(func(e *fakeEngine) { e.restart(0) })
	f.updateExcluded(h, nil)
}

func (f *fakeFleet) crashDomain(*simulatedHosts) {
	f.forEachInLostDomain(func(e *fakeEngine) { e.restart(restoreAt - removeAt) })
}

func (f *fakeFleet) forEachInLostDomain(do func(*fakeEngine)) {
	for _, e := range f.engines {
		if e.spec.Domain == lostDomain {
			do(e)
		}
	}
}

// updateExcluded applies the excluded domains on each host after a random
// delay.
func (f *fakeFleet) updateExcluded(h *simulatedHosts, excluded []string) {
	for _, host := range h.hosts {
		f.clock.after(time.Duration(f.policyRandom.Int64N(int64(updateSpread))), func() {
			host.core.update(f.clock.now, View{Bundle: f.bundle(), ExcludedDomains: excluded})
			host.scheduleFlush()
		})
	}
}

// domainLossOutcome accumulates the results of one case over all seeds.
type domainLossOutcome struct {
	// inTime and total count requests with a deadline, by second of arrival.
	inTime, total [int(arrivalsEnd / bucketWidth)]float64
	overruns      int
	worstOverruns int
}

func (o *domainLossOutcome) run(profile fleetProfile, c domainLossCase, seed uint64) {
	f := newFakeFleet(profile, seed)
	capacity := f.capacity()
	h := newSimulatedHosts(f, profile.hosts)
	start := f.clock.now
	f.clock.after(removeAt, func() { c.remove(f, h) })
	f.clock.after(restoreAt, func() { c.restore(f, h) })
	f.schedulePoisson(start, capacity*domainLossLoad, h)
	f.clock.runUntil(start.Add(arrivalsEnd + drainDuration))
	o.overruns += f.overruns
	o.worstOverruns = max(o.worstOverruns, f.overruns)
	for _, r := range f.requests {
		second := int(r.Arrival.Sub(start) / bucketWidth)
		if r.tier == 3 || second >= len(o.total) {
			continue
		}
		o.total[second]++
		if r.metDeadline() {
			o.inTime[second]++
		}
	}
}

// schedulePoisson schedules Poisson arrivals with the given rate per second.
func (f *fakeFleet) schedulePoisson(start time.Time, rate float64, p policy) {
	var next func()
	next = func() {
		if f.clock.now.Sub(start) > arrivalsEnd {
			return
		}
		r := f.drawRequest()
		f.requests = append(f.requests, r)
		p.arrive(r)
		f.clock.after(toDuration(f.requestRandom.ExpFloat64()/rate), next)
	}
	f.clock.after(0, next)
}

// goodput returns the share of requests that arrived between two times and met
// their deadline.
func (o *domainLossOutcome) goodput(from, to time.Duration) float64 {
	inTime, total := 0.0, 0.0
	for s := int(from / bucketWidth); s < int(to/bucketWidth); s++ {
		inTime += o.inTime[s]
		total += o.total[s]
	}
	return inTime / max(total, 1)
}

// recoverySeconds returns the number of seconds after from until the goodput
// stays above recoveredGoodput.
func (o *domainLossOutcome) recoverySeconds(from, to time.Duration) float64 {
	last := from
	for at := from; at < to; at += bucketWidth {
		if o.goodput(at, at+bucketWidth) < recoveredGoodput {
			last = at + bucketWidth
		}
	}
	return (last - from).Seconds()
}

// BenchmarkDomainLoss removes a third of the fleet and restores it. The
// remaining engines can carry the load, so every missed deadline counts as an
// effect of the loss.
func BenchmarkDomainLoss(b *testing.B) {
	for _, profile := range fleetProfiles {
		for _, c := range domainLossCases {
			b.Run(c.name+"/"+profile.name, func(b *testing.B) {
				for b.Loop() {
					var o domainLossOutcome
					for seed := range uint64(benchSeeds) {
						o.run(profile, c, seed+1)
					}
					b.ReportMetric(max(0, o.goodput(baselineFrom, baselineTo)-o.goodput(baselineTo, restoreAt)), "dip")
					b.ReportMetric(max(0, o.goodput(baselineFrom, baselineTo)-o.goodput(restoreAt, arrivalsEnd)), "dip-return")
					b.ReportMetric(max(o.recoverySeconds(removeAt, restoreAt), o.recoverySeconds(restoreAt, arrivalsEnd)), "seconds-to-recover")
					b.ReportMetric(float64(o.overruns), "cold-overruns")
					b.ReportMetric(float64(o.worstOverruns), "cold-overruns-worst")
				}
			})
		}
	}
}
