// Package allowance holds limits that all hosts share. Each host draws on its
// own; what the others draw is learned late, so limits that must hold even for
// hosts out of touch are split into parts that add up to the whole.
//
// The package's functions are pure: the time is passed in.
package allowance

import "time"

// Bucket is a token bucket. The zero bucket is empty and never fills.
type Bucket struct {
	// Rate is in units a second, Burst in units.
	Rate, Burst float64

	level    float64
	filledAt time.Time
}

// NewBucket returns a bucket with a level.
func NewBucket(rate, burst, level float64, now time.Time) Bucket {
	return Bucket{Rate: rate, Burst: burst, level: min(level, burst), filledAt: now}
}

// Resize changes the bucket's limits.
func (b *Bucket) Resize(rate, burst float64, now time.Time) {
	b.refill(now)
	b.Rate, b.Burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level = min(b.level+b.Rate*elapsed.Seconds(), b.Burst)
		b.filledAt = now
	}
}

// Level is what may be taken now.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Take takes an amount if the level covers it.
func (b *Bucket) Take(amount float64, now time.Time) bool {
	b.refill(now)
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}

// Charge takes an amount whatever the level; the level may become negative.
func (b *Bucket) Charge(amount float64, now time.Time) {
	b.refill(now)
	b.level -= amount
}
