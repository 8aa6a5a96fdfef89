package allowance

import "time"

// RetryBudget limits the retries of requests to one service.
//
// It prevents retry storms: when all endpoints of a service fail at once, every
// request asks for a retry. Each host keeps to the share of the budget that its
// own requests earn, so that no host depends on reports from the others.
type RetryBudget struct {
	bucket Bucket
	ratio  float64
}

// usableBudgetShare is the share of the configured budget that is used. The
// rest covers requests that the platform counts in another window.
const usableBudgetShare = 0.8

// NewRetryBudget returns a budget of ratio retries per request, plus slack
// retries in each window.
func NewRetryBudget(ratio, slack float64, window time.Duration, now time.Time) *RetryBudget {
	share := slack * usableBudgetShare
	// A full bucket plus the refill during one window equals the share.
	return &RetryBudget{
		bucket: NewBucket(share/2/window.Seconds(), share/2+1, share/2, now),
		ratio:  ratio * usableBudgetShare,
	}
}

// RecordRequest adds the fraction of a retry that a request earns.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.bucket.Charge(-r.ratio, now)
	r.bucket.level = min(r.bucket.level, r.bucket.Burst)
}

// Take charges a retry if the budget covers it, and reports whether it did.
func (r *RetryBudget) Take(now time.Time) bool { return r.bucket.Take(1, now) }

// Resize changes the slack.
func (r *RetryBudget) Resize(slack float64, window time.Duration, now time.Time) {
	share := slack * usableBudgetShare
	r.bucket.Resize(share/2/window.Seconds(), share/2+1, now)
}
