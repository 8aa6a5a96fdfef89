package canary

import "math"

const (
	// A version is bad if it has at least minFailures failures and their number
	// exceeds the expected one by some standard deviations. The expected failure
	// rate is the old version's, times failureRateFactor, plus failureRateMargin.
	minFailures       = 4
	failureRateFactor = 1.5
	failureRateMargin = 0.03
	// A version is also bad if both versions have minLatencySamples successful
	// requests and the new one is slower by more than slowdownFactor and some
	// standard deviations. Bad versions are several times slower.
	minLatencySamples = 10
	slowdownFactor    = 2.0
	// minDeviations is high because the versions are compared many times during a
	// move, and a lower threshold would sometimes be exceeded by chance.
	// finalDeviations applies when the next stage is due, which is once for each:
	// a version that looks bad must not get all requests for want of proof.
	minDeviations   = 4.0
	finalDeviations = 2.0
	// A version is bad too if so many of its responses are slow, by one of the
	// bounds of the histogram, that chance produces as many with less than this
	// probability, at any time and when the next stage is due.
	slowShareProbability      = 1e-6
	finalSlowShareProbability = 1e-3
)

// certainty is how certain a verdict must be.
type certainty struct {
	// deviations is in standard deviations of a mean or a number.
	deviations           float64
	slowShareProbability float64
}

var (
	atAnyTime = certainty{minDeviations, slowShareProbability}
	whenDue   = certainty{finalDeviations, finalSlowShareProbability}
)

// isBad reports whether the new version fails more often or is slower than the
// old one.
func isBad(e Evidence, c certainty) bool {
	n, expected := float64(e.New.total()), expectedRate(e.Old.failureRate())
	if e.New.Failed >= minFailures && float64(e.New.Failed) > n*expected+c.deviations*math.Sqrt(n*expected*(1-expected)) {
		return true
	}
	if e.New.Succeeded < minLatencySamples || e.Old.Succeeded < minLatencySamples {
		return false
	}
	slowdown, limit := e.slowdown(c.deviations)
	return slowdown > limit || e.hasSlowShare(c.slowShareProbability)
}

// expectedRate returns the rate up to which failures, or slow responses, of the new
// version are acceptable, for a rate of the old one.
func expectedRate(old float64) float64 { return min(failureRateFactor*old+failureRateMargin, 1) }

// slowdown returns how many times as long as the old version's the responses of
// the new one take, and beyond which factor the new version is bad.
func (e Evidence) slowdown(deviations float64) (factor, limit float64) {
	newMean, newVariance := e.New.meanLogSlowdown()
	oldMean, oldVariance := e.Old.meanLogSlowdown()
	return math.Exp(newMean - oldMean), slowdownFactor * math.Exp(deviations*math.Sqrt(newVariance+oldVariance))
}

// Slowdown returns how many times as long as the old version's the responses of
// the new one take, and beyond which factor it is bad at any time of the move.
func (e Evidence) Slowdown() (factor, limit float64) { return e.slowdown(minDeviations) }

// hasSlowShare reports whether more of the new version's responses are slow than
// chance explains, by any measure of slow. When only some responses are slow, the
// mean says little: these few spread the times so much that it is uncertain.
func (e Evidence) hasSlowShare(probability float64) bool {
	newSlow, oldSlow := 0, 0
	newTotal, oldTotal := e.New.Slowdowns.total(), e.Old.Slowdowns.total()
	if newTotal < minLatencySamples || oldTotal < minLatencySamples {
		return false
	}
	for i := slowdownBuckets - 1; i > 0; i-- {
		newSlow += e.New.Slowdowns[i]
		oldSlow += e.Old.Slowdowns[i]
		expected := expectedRate(float64(oldSlow+1) / float64(oldTotal+1))
		isMore := newSlow >= minFailures && float64(newSlow) > expected*float64(newTotal)
		if isMore && binomialTail(newTotal, newSlow, expected) < probability {
			return true
		}
	}
	return false
}

// binomialTail returns the probability of at least k successes in n trials that
// succeed with probability p.
func binomialTail(n, k int, p float64) float64 {
	if p >= 1 {
		return 1
	}
	logN, _ := math.Lgamma(float64(n + 1))
	sum := 0.0
	for i := k; i <= n; i++ {
		logI, _ := math.Lgamma(float64(i + 1))
		logRest, _ := math.Lgamma(float64(n - i + 1))
		sum += math.Exp(logN - logI - logRest + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}
