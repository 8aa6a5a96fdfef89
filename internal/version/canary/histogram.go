package canary

import "math"

const (
	// slowdownBuckets is the number of buckets of a histogram. Each one is wider
	// than the one before by the factor exp(bucketWidth), and the first one holds
	// slowdowns up to exp(lowestSlowdown).
	slowdownBuckets = 20
	bucketWidth     = 0.5
	lowestSlowdown  = -4.0
)

// Histogram counts requests by the logarithm of their slowdown.
type Histogram [slowdownBuckets]int

func (h *Histogram) record(logSlowdown float64) {
	bucket := math.Ceil((logSlowdown - lowestSlowdown) / bucketWidth)
	h[int(min(max(bucket, 0), slowdownBuckets-1))]++
}

func (h Histogram) add(other Histogram) Histogram {
	for i, count := range other {
		h[i] += count
	}
	return h
}

// faster returns the histogram with all slowdowns lower by a number of buckets.
func (h Histogram) faster(buckets int) Histogram {
	shifted := Histogram{}
	for i, count := range h {
		shifted[max(i-buckets, 0)] += count
	}
	return shifted
}

// total returns the number of requests.
func (h Histogram) total() int {
	total := 0
	for _, count := range h {
		total += count
	}
	return total
}
