package rollout

import "math"

// Buckets of a Histogram. Each spans a quarter of an octave; the first one
// holds everything up to 1/16.
const (
	bucketCount      = 48
	bucketsPerOctave = 4
	unitBucket       = 16
)

// Histogram counts slowdowns: times as multiples of the time expected from the
// endpoint's declared speed. Its zero value is empty.
type Histogram struct {
	Buckets [bucketCount]uint64 `cbor:"1,keyasint"`
}

// bucketIndex returns the index of the bucket for a slowdown.
func bucketIndex(slowdown float64) int {
	if slowdown <= 0 {
		return 0
	}
	index := unitBucket + int(math.Ceil(math.Log2(slowdown)*bucketsPerOctave))
	return min(max(index, 0), bucketCount-1)
}

// bucketUpperBound returns the greatest slowdown in a bucket.
func bucketUpperBound(index int) float64 {
	return math.Exp2(float64(index-unitBucket) / bucketsPerOctave)
}

// Count returns the number of slowdowns in the histogram.
func (h *Histogram) Count() uint64 {
	sum := uint64(0)
	for _, count := range h.Buckets {
		sum += count
	}
	return sum
}

// Quantile estimates the slowdown that a fraction q of the values do not
// exceed. The estimate lies in the bucket of the exact quantile. It is zero
// for an empty histogram.
func (h *Histogram) Quantile(q float64) float64 {
	total := h.Count()
	if total == 0 {
		return 0
	}
	need := uint64(math.Ceil(q * float64(total)))
	sum := uint64(0)
	for index, count := range h.Buckets {
		if sum+count >= need {
			fraction := float64(need-sum) / float64(count)
			return bucketUpperBound(index-1) * math.Exp2(fraction/bucketsPerOctave)
		}
		sum += count
	}
	return bucketUpperBound(bucketCount - 1)
}

// merge takes the pointwise maximum of two readings of the same histogram.
func (h *Histogram) merge(other *Histogram) {
	for index := range h.Buckets {
		h.Buckets[index] = max(h.Buckets[index], other.Buckets[index])
	}
}

// add adds the slowdowns of different requests.
func (h *Histogram) add(other *Histogram) {
	for index := range h.Buckets {
		h.Buckets[index] += other.Buckets[index]
	}
}
