package scheduler

import (
	"math"
	"sync/atomic"
)

const (
	// lengthBuckets cover 1 to 2^14 tokens in steps of a factor of root two.
	lengthBuckets    = 28
	bucketsPerDouble = 2
	// lengthWindow is the weight of the past: beyond it, all counts are halved.
	lengthWindow = 1024
	// lengthPrior is the weight of the length assumed before any was seen.
	lengthPrior = 4
)

// Lengths predicts the output length of one route by quantiles of what was
// seen. It is safe for concurrent use and takes no lock.
type Lengths struct {
	counts [lengthBuckets]atomic.Int32
	total  atomic.Int32
}

// NewLengths returns a prediction that starts from an assumed length in tokens.
func NewLengths(assumed int) *Lengths {
	l := &Lengths{}
	l.counts[bucketOf(assumed)].Store(lengthPrior)
	l.total.Store(lengthPrior)
	return l
}

func bucketOf(tokens int) int {
	bucket := int(math.Log2(float64(max(tokens, 1))) * bucketsPerDouble)
	return min(bucket, lengthBuckets-1)
}

// Observe takes the length of an answer in tokens.
func (l *Lengths) Observe(tokens int) {
	l.counts[bucketOf(tokens)].Add(1)
	if l.total.Add(1) == lengthWindow {
		l.age()
	}
}

// age halves all counts.
func (l *Lengths) age() {
	for i := range l.counts {
		half := l.counts[i].Load() / 2
		l.counts[i].Add(-half)
		l.total.Add(-half)
	}
}

// Quantile returns the length in tokens that the fraction q of answers does
// not exceed.
func (l *Lengths) Quantile(q float64) int {
	rest := int32(q * float64(l.total.Load()))
	for i := range l.counts {
		rest -= l.counts[i].Load()
		if rest < 0 {
			return upperBound(i)
		}
	}
	return upperBound(lengthBuckets - 1)
}

func upperBound(bucket int) int {
	return int(math.Exp2(float64(bucket+1) / bucketsPerDouble))
}
