package allowance

import "time"

// windowSlots is the number of parts of a window: what is used is forgotten a
// part late, 3% of the window.
const windowSlots = 32

// Window sums what was used in the last stretch of time.
type Window struct {
	// slot is the length of a part.
	slot  time.Duration
	slots [windowSlots + 1]float64
	// start is when the window was made; parts are counted from there on the
	// steady clock, since the time of day jumps.
	start time.Time
	// newest is the number of the newest part.
	newest int64
	sum    float64
}

// NewWindow returns a window that has seen nothing.
func NewWindow(length time.Duration, now time.Time) Window {
	return Window{slot: max(length/windowSlots, time.Millisecond), start: now}
}

func (w *Window) number(now time.Time) int64 { return int64(now.Sub(w.start) / w.slot) }

// forget drops the parts that have left the window.
func (w *Window) forget(now time.Time) {
	number := w.number(now)
	if number-w.newest > windowSlots {
		w.slots, w.sum, w.newest = [windowSlots + 1]float64{}, 0, number
		return
	}
	for w.newest < number {
		w.newest++
		index := w.newest % (windowSlots + 1)
		w.sum -= w.slots[index]
		w.slots[index] = 0
	}
}

// Add notes that an amount was used.
func (w *Window) Add(amount float64, now time.Time) {
	w.forget(now)
	w.slots[w.newest%(windowSlots+1)] += amount
	w.sum += amount
}

// Fill notes an amount as used evenly over the whole window.
func (w *Window) Fill(amount float64, now time.Time) {
	w.forget(now)
	for i := range w.slots {
		w.slots[i] += amount / (windowSlots + 1)
	}
	w.sum += amount
}

// Sum is what was used in the window.
func (w *Window) Sum(now time.Time) float64 {
	w.forget(now)
	return w.sum
}

// Wait is how long it takes until the sum has fallen by an amount if nothing
// more is used; the whole window if it never does.
func (w *Window) Wait(amount float64, now time.Time) time.Duration {
	w.forget(now)
	for part := int64(1); part <= windowSlots+1; part++ {
		amount -= w.slots[(w.newest+part)%(windowSlots+1)]
		if amount <= 0 {
			return time.Duration(part) * w.slot
		}
	}
	return time.Duration(windowSlots) * w.slot
}
