package allowance

import "time"

// windowIntervals is the number of intervals in a window. Usage expires up to
// one interval late, 3% of the window.
const windowIntervals = 32

// SlidingWindow sums the usage over the most recent window of time.
type SlidingWindow struct {
	// interval is the length of an interval.
	interval time.Duration
	sums     [windowIntervals + 1]float64
	// start is the creation time. Intervals are counted from it on the
	// monotonic clock, since the wall clock can jump.
	start time.Time
	// newest is the number of the newest interval.
	newest int64
	total  float64
}

// NewSlidingWindow returns an empty window.
func NewSlidingWindow(length time.Duration, now time.Time) SlidingWindow {
	return SlidingWindow{interval: max(length/windowIntervals, time.Millisecond), start: now}
}

func (w *SlidingWindow) intervalNumber(now time.Time) int64 {
	return int64(now.Sub(w.start) / w.interval)
}

// expireOld drops the intervals that have left the window.
func (w *SlidingWindow) expireOld(now time.Time) {
	number := w.intervalNumber(now)
	if number-w.newest > windowIntervals {
		w.sums, w.total, w.newest = [windowIntervals + 1]float64{}, 0, number
		return
	}
	for w.newest < number {
		w.newest++
		index := w.newest % (windowIntervals + 1)
		w.total -= w.sums[index]
		w.sums[index] = 0
	}
}

// Add adds an amount to the usage.
func (w *SlidingWindow) Add(amount float64, now time.Time) {
	w.expireOld(now)
	w.sums[w.newest%(windowIntervals+1)] += amount
	w.total += amount
}

// Fill adds an amount, spread evenly over the whole window.
func (w *SlidingWindow) Fill(amount float64, now time.Time) {
	w.expireOld(now)
	for i := range w.sums {
		w.sums[i] += amount / (windowIntervals + 1)
	}
	w.total += amount
}

// Sum returns the usage in the window.
func (w *SlidingWindow) Sum(now time.Time) float64 {
	w.expireOld(now)
	return w.total
}

// WaitTime returns the time until the sum has fallen by the amount if nothing
// more is used, or the whole window if it never does.
func (w *SlidingWindow) WaitTime(amount float64, now time.Time) time.Duration {
	w.expireOld(now)
	for part := int64(1); part <= windowIntervals+1; part++ {
		amount -= w.sums[(w.newest+part)%(windowIntervals+1)]
		if amount <= 0 {
			return time.Duration(part) * w.interval
		}
	}
	return time.Duration(windowIntervals) * w.interval
}

// Remove takes back an amount that was added at a time, if it is still in the window.
func (w *SlidingWindow) Remove(amount float64, addedAt, now time.Time) {
	w.expireOld(now)
	if number := w.intervalNumber(addedAt); number >= 0 && w.newest-number <= windowIntervals {
		w.sums[number%(windowIntervals+1)] -= amount
		w.total -= amount
	}
}

// RemoveOldest takes back an amount that was added at an unknown time. It takes the
// oldest usage, so that later sums are at least as high as the true ones.
func (w *SlidingWindow) RemoveOldest(amount float64, now time.Time) {
	w.expireOld(now)
	for back := int64(windowIntervals); back >= 0 && amount > 0; back-- {
		if number := w.newest - back; number >= 0 {
			sum := &w.sums[number%(windowIntervals+1)]
			removed := max(min(amount, *sum), 0)
			*sum -= removed
			w.total -= removed
			amount -= removed
		}
	}
}
