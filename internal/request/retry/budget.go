// Package retry bounds how often requests are dispatched again.
package retry

import "sync/atomic"

const (
	// unitsPerRetry is one retry in the budget's fixed-point numbers.
	unitsPerRetry = 1000
	// unitsPerDispatch is what each first dispatch adds: one retry for ten of them.
	unitsPerDispatch = unitsPerRetry / 10
	// maxBalance is the most that is saved up.
	maxBalance = 10 * unitsPerRetry
)

// Budget allows retries in proportion to first dispatches, so that retries
// cannot feed an overload. It is safe for concurrent use and takes no lock.
type Budget struct{ balance atomic.Int64 }

// NewBudget returns a budget that is saved up in full.
func NewBudget() *Budget {
	b := &Budget{}
	b.balance.Store(maxBalance)
	return b
}

// RecordDispatch records a first dispatch.
func (b *Budget) RecordDispatch() {
	for {
		saved := b.balance.Load()
		if saved >= maxBalance || b.balance.CompareAndSwap(saved, min(saved+unitsPerDispatch, maxBalance)) {
			return
		}
	}
}

// TryTake takes one retry from the budget, if there is one.
func (b *Budget) TryTake() bool {
	for {
		saved := b.balance.Load()
		if saved < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(saved, saved-unitsPerRetry) {
			return true
		}
	}
}
