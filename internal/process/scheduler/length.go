package scheduler

import (
	"math"
	"sync/atomic"
)

const (
	// lengthBuckets cover 1 to 2^14 tokens in steps of a factor of root two.
	lengthBuckets      = 28
	bucketsPerDoubling = 2
	// lengthDecayThreshold is the weight of the past: beyond it, all counts are halved.
	lengthDecayThreshold = 1024
	// lengthPriorWeight is the weight of the length assumed before any was seen.
	lengthPriorWeight = 4
)

// LengthEstimator predicts the output length of one route by quantiles of what was
// seen. It is safe for concurrent use and takes no lock.
type LengthEstimator struct {
	counts [lengthBuckets]atomic.Int32
	total  atomic.Int32
}

// NewLengthEstimator returns a prediction that starts from an assumed length in tokens.
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

// Observe takes the length of an answer in tokens.
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

// Quantile returns the length in tokens that the fraction q of answers does
// not exceed.
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
