package allowance

import "time"

// windowIntervals is the number of parts of a window: what is used is forgotten a
// part late, 3% of the window.
const windowIntervals = 32

// SlidingWindow sums what was used in the last stretch of time.
type SlidingWindow struct {
	// interval is the length of a part.
	interval time.Duration
	sums     [windowIntervals + 1]float64
	// start is when the window was made; parts are counted from there on the
	// steady clock, since the time of day jumps.
	start time.Time
	// newest is the number of the newest part.
	newest int64
	total  float64
}

// NewSlidingWindow returns a window that has seen nothing.
func NewSlidingWindow(length time.Duration, now time.Time) SlidingWindow {
	return SlidingWindow{interval: max(length/windowIntervals, time.Millisecond), start: now}
}

func (w *SlidingWindow) intervalNumber(now time.Time) int64 {
	return int64(now.Sub(w.start) / w.interval)
}

// expireOld drops the parts that have left the window.
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

// Add notes that an amount was used.
func (w *SlidingWindow) Add(amount float64, now time.Time) {
	w.expireOld(now)
	w.sums[w.newest%(windowIntervals+1)] += amount
	w.total += amount
}

// Fill notes an amount as used evenly over the whole window.
func (w *SlidingWindow) Fill(amount float64, now time.Time) {
	w.expireOld(now)
	for i := range w.sums {
		w.sums[i] += amount / (windowIntervals + 1)
	}
	w.total += amount
}

// Sum is what was used in the window.
func (w *SlidingWindow) Sum(now time.Time) float64 {
	w.expireOld(now)
	return w.total
}

// WaitTime is how long it takes until the sum has fallen by an amount if nothing
// more is used; the whole window if it never does.
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
