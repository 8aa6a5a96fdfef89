package rollout

import "math"

// alternative is a rate of hits that a bad version may have, given by its odds
// ratio to the null rate, and its weight in the mixture.
type alternative struct {
	oddsRatio float64
	weight    float64
}

// alternatives is the mixture of the sequential test. It has only rates above
// the null rate, so that the likelihood ratio is a supermartingale for every
// version at or below the null rate.
var alternatives = []alternative{
	{2, 0.05}, {4, 0.1}, {8, 0.1}, {16, 0.1}, {32, 0.1}, {64, 0.1}, {128, 0.1}, {512, 0.15}, {8192, 0.2},
}

// Sample holds the number of trials and the number of hits among them.
type Sample struct {
	Hits   uint64 `json:"hits"`
	Trials uint64 `json:"trials"`
}

// Rate returns the fraction of hits, or zero without trials.
func (s Sample) Rate() float64 {
	if s.Trials == 0 {
		return 0
	}
	return float64(s.Hits) / float64(s.Trials)
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of the
// mixture against the null rate. For a version whose rate is at most the null
// rate, the probability that it ever exceeds x, over any number of
// evaluations, is at most exp(-x).
func logLikelihoodRatio(sample Sample, null float64) float64 {
	hits := float64(sample.Hits)
	misses := float64(sample.Trials) - hits
	odds := null / (1 - null)
	sum := math.Inf(-1)
	for _, a := range alternatives {
		alternativeOdds := odds * a.oddsRatio
		rate := alternativeOdds / (1 + alternativeOdds)
		ratio := hits*math.Log(rate/null) + misses*math.Log((1-rate)/(1-null))
		sum = logSumExp(sum, math.Log(a.weight)+ratio)
	}
	return sum
}

// logSumExp returns log(exp(a) + exp(b)).
func logSumExp(a, b float64) float64 {
	high, low := math.Max(a, b), math.Min(a, b)
	if math.IsInf(high, -1) {
		return high
	}
	return high + math.Log1p(math.Exp(low-high))
}

// nullRate returns the rate that a healthy version may have, given the old
// version's sample over the same time and, as a prior, over the whole move. It
// is an upper confidence bound, but at least minRate.
func nullRate(recent, wholeMove Sample, minRate float64) float64 {
	prior := math.Max(wholeMove.Rate(), minRate)
	trials := float64(recent.Trials) + priorTrials
	rate := (float64(recent.Hits) + priorTrials*prior) / trials
	bound := rate + confidenceDeviations*math.Sqrt(rate*(1-rate)/trials)
	return math.Min(math.Max(bound, minRate), maxNullRate)
}

// Parameters of nullRate.
const (
	// priorTrials is the weight of the whole move relative to the recent
	// windows.
	priorTrials = 50
	// confidenceDeviations is the width of the confidence bound in standard
	// deviations.
	confidenceDeviations = 1
	maxNullRate          = 0.9
)
