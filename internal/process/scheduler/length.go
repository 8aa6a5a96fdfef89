package scheduler

import (
	"math"
	"sync/atomic"
)

const (
	// lengthBuckets is the number of histogram buckets. They cover 1 to 2^14
	// tokens, each larger than the one before by a factor of sqrt(2).
	lengthBuckets      = 28
	bucketsPerDoubling = 2
	// lengthDecayThreshold is the total count at which all counts are halved,
	// so that recent lengths outweigh older ones.
	lengthDecayThreshold = 1024
	// lengthPriorWeight is the initial count of the assumed length.
	lengthPriorWeight = 4
)

// LengthEstimator predicts the output length of one route from the quantiles of
// the observed lengths. It is lock-free and safe for concurrent use.
type LengthEstimator struct {
	counts [lengthBuckets]atomic.Int32
	total  atomic.Int32
}

// NewLengthEstimator returns an estimator that starts from an assumed length in
// tokens.
func NewLengthEstimator(assumed int) *LengthEstimator {
	e := &LengthEstimator{}
	e.counts[bucketFor(assumed)].Store(lengthPriorWeight)
	e.total.Store(lengthPriorWeight)
	return e
}

func bucketFor(tokens int) int {
	bucket := int(math.Log2(float64(max(tokens, 1))) * bucketsPerDoubling)
	return min(bucket, lengthBuckets-1)
}

// Observe records the length of an answer in tokens.
func (e *LengthEstimator) Observe(tokens int) {
	e.counts[bucketFor(tokens)].Add(1)
	if e.total.Add(1) == lengthDecayThreshold {
		e.decay()
	}
}

// decay halves all counts.
func (e *LengthEstimator) decay() {
	for i := range e.counts {
		half := e.counts[i].Load() / 2
		e.counts[i].Add(-half)
		e.total.Add(-half)
	}
}

// Quantile returns the q-quantile of the lengths in tokens, rounded up to the
// end of its bucket.
func (e *LengthEstimator) Quantile(q float64) int {
	remaining := int32(q * float64(e.total.Load()))
	for i := range e.counts {
		remaining -= e.counts[i].Load()
		if remaining < 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(lengthBuckets - 1)
}

func bucketUpperBound(bucket int) int {
	return int(math.Exp2(float64(bucket+1) / bucketsPerDoubling))
}
