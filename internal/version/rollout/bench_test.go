package rollout

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
)

// Sizes of BenchmarkVersionMove.
const (
	moveSeeds       = 10
	moveDuration    = 300 * time.Second
	concurrentMoves = 4
	// shortMoveSeeds and shortMoveDuration are used by BenchmarkFalseVerdict.
	shortMoveSeeds    = 250
	shortMoveDuration = 60 * time.Second
)

// BenchmarkVersionMove simulates version moves in virtual time. Each share or
// time is reported as the worst of all seeds, and as the median under the same
// name with the suffix -median:
//   - completed-in-time and taken-back are fractions of the seeds,
//   - bad-share is the number of requests to the new version from its first
//     faulty request to the end of the move, as a fraction of the service's
//     requests since the start of the move,
//   - momentary-share is the same number as a fraction of the requests since the
//     first faulty request only,
//   - seconds-to-stop is the time from the first faulty request to the last
//     request to the new version on any host,
//   - sent-bytes-per-second is what one host sends to all others.
func BenchmarkVersionMove(b *testing.B) {
	for _, s := range scenarios {
		for _, fleet := range simFleets {
			b.Run(s.name+"/"+fleet.name, func(b *testing.B) {
				for range b.N {
					reportMoves(b, fleet, s)
				}
			})
		}
	}
}

func reportMoves(b *testing.B, fleet simFleet, s scenario) {
	completed, takenBack := 0.0, 0.0
	var shares, momentary, stops, rates []float64
	for _, r := range simulateMoves(fleet, s, moveDuration, moveSeeds) {
		if r.completed {
			completed++
		}
		if r.takenBack {
			takenBack++
		}
		shares = append(shares, float64(r.requestsToNewAfterFault)/float64(r.requests))
		momentary = append(momentary, float64(r.requestsToNewAfterFault)/float64(max(r.requestsAfterFault, 1)))
		rates = append(rates, float64(r.sentBytes)/float64(fleet.hosts)/r.duration.Seconds())
		stops = append(stops, (r.lastRequestToNew - r.faultSeenAt).Seconds())
	}
	if !s.bad {
		b.ReportMetric(completed/moveSeeds, "completed-in-time")
		b.ReportMetric(takenBack/moveSeeds, "false-taken-back")
		reportWorst(b, rates, "sent-bytes-per-second")
		return
	}
	b.ReportMetric(takenBack/moveSeeds, "taken-back")
	reportWorst(b, shares, "bad-share")
	reportWorst(b, momentary, "momentary-share")
	reportWorst(b, stops, "seconds-to-stop")
}

// simulateMoves simulates one move for each seed, with limited concurrency.
func simulateMoves(fleet simFleet, s scenario, maxDuration time.Duration, seeds int) []simResult {
	results := make([]simResult, seeds)
	var group errgroup.Group
	group.SetLimit(concurrentMoves)
	for seed := range results {
		group.Go(func() error {
			results[seed] = newSimulation(fleet, s, maxDuration, uint64(seed)+1).run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// reportWorst reports the greatest value and the median.
func reportWorst(b *testing.B, figures []float64, unit string) {
	slices.Sort(figures)
	b.ReportMetric(figures[len(figures)-1], unit)
	b.ReportMetric(figures[len(figures)/2], unit+"-median")
}

// BenchmarkFalseVerdict simulates many short moves to healthy versions.
func BenchmarkFalseVerdict(b *testing.B) {
	for _, s := range scenarios {
		if s.bad {
			continue
		}
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				reportFalsePositives(b, s)
			}
		})
	}
}

func reportFalsePositives(b *testing.B, s scenario) {
	completed, takenBack := 0.0, 0.0
	for _, r := range simulateMoves(simFleets[1], s, shortMoveDuration, shortMoveSeeds) {
		if r.completed {
			completed++
		}
		if r.takenBack {
			takenBack++
		}
	}
	b.ReportMetric(completed/shortMoveSeeds, "completed-in-time")
	b.ReportMetric(takenBack/shortMoveSeeds, "false-taken-back")
}

// BenchmarkChoose picks versions from several goroutines concurrently.
func BenchmarkChoose(b *testing.B) {
	controller := newTestController(&recorder{}, "host-1")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			controller.Choose("usta", "gauge")
		}
	})
}

// BenchmarkDecide decides on a move with 16 routes and reports from a number
// of hosts.
func BenchmarkDecide(b *testing.B) {
	for _, hosts := range []uint64{9, 30, maxHosts} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			before := heapBytes()
			e := fullEvidence(b, hosts)
			after := heapBytes()
			for b.Loop() {
				Decide(Input{MaxDuration: time.Minute, Window: recentWindows, Evidence: e})
			}
			b.ReportMetric((after-before)/1024, "KiB")
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// fullEvidence returns evidence with all recent windows on 16 routes.
func fullEvidence(b *testing.B, hosts uint64) *Evidence {
	e := NewEvidence()
	for host := range hosts {
		for route := range 16 {
			for window := range uint64(recentWindows) {
				for _, isNew := range []bool{false, true} {
					arm := Arm{New: isNew, Route: strconv.Itoa(route)}
					counts := healthy(100 * (window + 1))
					counts.FirstToken.Late = 5 * window
					report := Report{Host: identity.Incarnation{Host: "h", Number: host}, Arm: arm, Window: window, Counts: counts}
					assert.NilError(b, e.Merge(report))
				}
			}
		}
	}
	return e
}

// BenchmarkEvidenceBytes measures what a host sends to all others during a
// move to a healthy version, by the number of hosts.
func BenchmarkEvidenceBytes(b *testing.B) {
	const seeds = 2
	for _, hosts := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			fleet := simFleets[1]
			fleet.hosts = hosts
			for range b.N {
				var rates []float64
				for _, r := range simulateMoves(fleet, scenarios[0], moveDuration, seeds) {
					rates = append(rates, float64(r.sentBytes)/float64(hosts)/r.duration.Seconds())
				}
				reportWorst(b, rates, "sent-bytes-per-second")
			}
		})
	}
}
