// Package retry limits how often requests are dispatched again.
package retry

import "sync/atomic"

const (
	// unitsPerRetry is the cost of one retry in the budget's fixed-point units.
	unitsPerRetry = 1000
	// unitsPerDispatch is credited for each first dispatch: ten of them pay for
	// one retry.
	unitsPerDispatch = unitsPerRetry / 10
	// maxBalance limits the accumulated budget.
	maxBalance = 10 * unitsPerRetry
)

// Budget allows retries in proportion to first dispatches, so that retries
// cannot amplify an overload. It is lock-free and safe for concurrent use.
type Budget struct{ balance atomic.Int64 }

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.balance.Store(maxBalance)
	return b
}

// RecordDispatch credits the budget with a first dispatch.
func (b *Budget) RecordDispatch() {
	for {
		saved := b.balance.Load()
		if saved >= maxBalance || b.balance.CompareAndSwap(saved, min(saved+unitsPerDispatch, maxBalance)) {
			return
		}
	}
}

// TryTake takes one retry from the budget. It returns false if the budget is
// exhausted.
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
