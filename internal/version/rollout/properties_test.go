package rollout

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/identity"
)

func TestStageMergeIsMaximum(t *testing.T) {
	order := []Stage{0, 1, fullLoadStage, StageDone, StageRolledBack}
	for low := range order {
		for high := low; high < len(order); high++ {
			assert.Equal(t, order[low].Merge(order[high]), order[high])
			assert.Equal(t, order[high].Merge(order[low]), order[high])
		}
	}
	assert.Equal(t, StageRolledBack.Share(), Fraction(0))
	assert.Equal(t, StageDone.Share(), fractionUnit)
}

func TestRampStepsIncrease(t *testing.T) {
	for stage := Stage(0); stage < fullLoadStage; stage++ {
		next, due := stage.next()
		assert.Assert(t, next.Share() > stage.Share())
		assert.Assert(t, due > rampSteps[stage].due)
	}
	assert.Assert(t, Stage(0).Share().Float() <= 0.02)
	assert.Assert(t, completionDue > rampSteps[fullLoadStage].due)
}

// TestSplitterIsExact checks that the number of picks never differs by more
// than one from the sum of the fractions, even if the fraction changes.
func TestSplitterIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		phase := Fraction(rapid.Uint64Range(0, uint64(fractionUnit)-1).Draw(t, "phase"))
		splitter := newSplitter(phase)
		picks, sum := 0.0, 0.0
		for range rapid.IntRange(1, 5).Draw(t, "stages") {
			fraction := Fraction(rapid.Uint64Range(0, uint64(fractionUnit)).Draw(t, "fraction"))
			for range rapid.IntRange(0, 300).Draw(t, "events") {
				sum += fraction.Float()
				if splitter.pick(fraction) {
					picks++
				}
				assert.Assert(t, math.Abs(picks-sum) <= 1, "%v picks, sum %v", picks, sum)
			}
		}
	})
}

// drawReports draws readings of counters that never decrease.
func drawReports(t *rapid.T) []Report {
	var reports []Report
	for host := range rapid.IntRange(1, 3).Draw(t, "hosts") {
		for _, arm := range []Arm{{New: true, Route: "a"}, {Route: "a"}, {Route: "b"}} {
			window, counts := uint64(0), Counts{}
			for range rapid.IntRange(0, 60).Draw(t, "readings") {
				window += rapid.Uint64Range(0, 3).Draw(t, "gap")
				counts.Succeeded += rapid.Uint64Range(0, 9).Draw(t, "succeeded")
				counts.Failed += rapid.Uint64Range(0, 2).Draw(t, "failed")
				counts.FirstToken.Late += rapid.Uint64Range(0, 2).Draw(t, "late")
				histogram := &Histogram{}
				histogram.Buckets[3] = counts.Succeeded
				reports = append(reports, Report{
					Host:       identity.Incarnation{Host: "host", Number: uint64(host)},
					Arm:        arm,
					Window:     window,
					Counts:     counts,
					FirstToken: histogram,
				})
			}
		}
	}
	return reports
}

func mergeAll(t *rapid.T, reports []Report) *Evidence {
	e := NewEvidence()
	for _, report := range reports {
		assert.NilError(t, e.Merge(report))
	}
	return e
}

// TestEvidenceMergeIgnoresOrderAndRepetition checks that merging is
// commutative and idempotent.
func TestEvidenceMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := drawReports(t)
		want := mergeAll(t, reports)
		repeated := slices.Concat(rapid.Permutation(reports).Draw(t, "order"), reports[:len(reports)/2])
		got := mergeAll(t, repeated)
		assert.DeepEqual(t, got.Routes(), want.Routes())
		for _, arm := range []Arm{{New: true, Route: "a"}, {Route: "a"}, {Route: "b"}} {
			assert.Equal(t, got.Total(arm), want.Total(arm))
			assert.DeepEqual(t, got.FirstToken(arm), want.FirstToken(arm))
			for window := range uint64(100) {
				assert.Equal(t, got.CountsAfter(arm, window), want.CountsAfter(arm, window))
			}
		}
	})
}

func TestEvidenceCountsRecentWindows(t *testing.T) {
	e := NewEvidence()
	arm := Arm{New: true, Route: "a"}
	for window := uint64(1); window <= 100; window++ {
		report := Report{Host: testHost, Arm: arm, Window: window, Counts: Counts{Succeeded: 10 * window}}
		assert.NilError(t, e.Merge(report))
	}
	assert.Equal(t, e.Total(arm).Succeeded, uint64(1000))
	assert.Equal(t, e.CountsAfter(arm, 99).Succeeded, uint64(10))
	assert.Equal(t, e.CountsAfter(arm, 100-recentWindows).Succeeded, uint64(10*recentWindows))
	assert.Equal(t, e.CountsAfter(arm, 1).Succeeded, uint64(10*recentWindows))
}

func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	for number := range uint64(maxHosts) {
		report := Report{Host: identity.Incarnation{Host: "h", Number: number}, Arm: Arm{Route: "a"}}
		assert.NilError(t, e.Merge(report))
	}
	report := Report{Host: identity.Incarnation{Host: "h", Number: maxHosts}, Arm: Arm{Route: "a"}}
	assert.ErrorIs(t, e.Merge(report), ErrFull)
	for number := range maxRoutes {
		arm := Arm{Route: string(rune('a' + number))}
		assert.NilError(t, e.Merge(Report{Host: identity.Incarnation{Host: "h"}, Arm: arm}))
	}
	assert.ErrorIs(t, e.Merge(Report{Host: identity.Incarnation{Host: "h"}, Arm: Arm{Route: "one more"}}), ErrFull)
}

// TestLogRatioIsSupermartingale checks that one more trial at a rate up to the
// null rate does not increase the expected likelihood ratio.
func TestLogRatioIsSupermartingale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trials := rapid.Uint64Range(0, 2000).Draw(t, "trials")
		sample := Sample{Hits: rapid.Uint64Range(0, trials).Draw(t, "hits"), Trials: trials}
		null := rapid.Float64Range(0.001, 0.9).Draw(t, "null")
		rate := null * rapid.Float64Range(0, 1).Draw(t, "part")
		hit := math.Exp(logLikelihoodRatio(Sample{sample.Hits + 1, trials + 1}, null) - logLikelihoodRatio(sample, null))
		miss := math.Exp(logLikelihoodRatio(Sample{sample.Hits, trials + 1}, null) - logLikelihoodRatio(sample, null))
		assert.Assert(t, rate*hit+(1-rate)*miss <= 1+1e-9)
	})
}

func TestHistogramQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &Histogram{}
		slowdowns := rapid.SliceOfN(rapid.Float64Range(0.07, 200), 1, 200).Draw(t, "paces")
		for _, slowdown := range slowdowns {
			h.Buckets[bucketIndex(slowdown)]++
		}
		slices.Sort(slowdowns)
		want := slowdowns[int(math.Ceil(0.9*float64(len(slowdowns))))-1]
		got := h.Quantile(0.9)
		low, high := bucketUpperBound(bucketIndex(want)-1), bucketUpperBound(bucketIndex(want))
		assert.Assert(t, got >= low*(1-1e-9) && got <= high*(1+1e-9), "%v for %v", got, want)
	})
}
