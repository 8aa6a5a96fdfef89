// Package allowance implements rate limits and budgets that all hosts share.
// Each host charges its own usage and learns that of the others with a delay.
// Limits that must hold even for unreachable hosts are therefore split into
// shares that add up to the whole.
//
// The functions read no clock: the time is passed in.
package allowance

import "time"

// Bucket is a token bucket. The zero bucket is empty and never fills.
type Bucket struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64

	level    float64
	filledAt time.Time
}

// NewBucket returns a bucket with the given initial level.
func NewBucket(rate, burst, level float64, now time.Time) Bucket {
	return Bucket{Rate: rate, Burst: burst, level: min(level, burst), filledAt: now}
}

// Resize changes the rate and burst.
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

// Level returns the amount available now.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Take charges an amount if the level covers it, and reports whether it did.
func (b *Bucket) Take(amount float64, now time.Time) bool {
	b.refill(now)
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}

// Charge charges an amount unconditionally; the level may become negative.
func (b *Bucket) Charge(amount float64, now time.Time) {
	b.refill(now)
	b.level -= amount
}
