package rollout

import "math"

// The buckets of a Histogram: a quarter of an octave each, the first one at
// 1/16 and below.
const (
	bucketCount      = 48
	bucketsPerOctave = 4
	unitBucket       = 16
)

// Histogram counts paces: times as multiples of the time that the endpoint's
// declared speed gives. Its zero value is empty.
type Histogram struct {
	Buckets [bucketCount]uint64 `cbor:"1,keyasint"`
}

// bucketIndex is the bucket of a pace.
func bucketIndex(slowdown float64) int {
	if slowdown <= 0 {
		return 0
	}
	index := unitBucket + int(math.Ceil(math.Log2(slowdown)*bucketsPerOctave))
	return min(max(index, 0), bucketCount-1)
}

// bucketUpperBound is the greatest pace of a bucket.
func bucketUpperBound(index int) float64 {
	return math.Exp2(float64(index-unitBucket) / bucketsPerOctave)
}

// Count is how many paces the histogram holds.
func (h *Histogram) Count() uint64 {
	sum := uint64(0)
	for _, count := range h.Buckets {
		sum += count
	}
	return sum
}

// Quantile estimates the pace that a fraction q of the paces do not exceed. It
// lies in the bucket of that pace. It is zero for an empty histogram.
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

// add adds the paces of different requests.
func (h *Histogram) add(other *Histogram) {
	for index := range h.Buckets {
		h.Buckets[index] += other.Buckets[index]
	}
}
