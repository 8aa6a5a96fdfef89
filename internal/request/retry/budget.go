// Package retry bounds how often requests are dispatched again.
package retry

import "sync/atomic"

const (
	// unit is one retry in the budget's fixed-point numbers.
	unit = 1000
	// earned is what each first dispatch adds: one retry for ten of them.
	earned = unit / 10
	// maxSaved is the most that is saved up.
	maxSaved = 10 * unit
)

// Budget allows retries in proportion to first dispatches, so that retries
// cannot feed an overload. It is safe for concurrent use and takes no lock.
type Budget struct{ saved atomic.Int64 }

// NewBudget returns a budget that is saved up in full.
func NewBudget() *Budget {
	b := &Budget{}
	b.saved.Store(maxSaved)
	return b
}

// Dispatched records a first dispatch.
func (b *Budget) Dispatched() {
	for {
		saved := b.saved.Load()
		if saved >= maxSaved || b.saved.CompareAndSwap(saved, min(saved+earned, maxSaved)) {
			return
		}
	}
}

// Allow takes one retry from the budget, if there is one.
func (b *Budget) Allow() bool {
	for {
		saved := b.saved.Load()
		if saved < unit {
			return false
		}
		if b.saved.CompareAndSwap(saved, saved-unit) {
			return true
		}
	}
}
