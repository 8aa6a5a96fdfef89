package allowance

import "time"

// RetryBudget bounds the sends beyond the first of each request to one service.
//
// The load that it answers: all endpoints of a service fail at once, and every
// request asks for a repeat. Each host keeps to a part of the budget that its
// own requests earn, so that no host needs to hear the others.
type RetryBudget struct {
	bucket Bucket
	ratio  float64
}

// usableBudgetShare is the part of the stated budget that is used; the rest covers
// requests that the platform counts in another window.
const usableBudgetShare = 0.8

// NewRetryBudget returns a budget of ratio repeats for each request and a number of
// repeats in each window beside that, of which this host has a part.
func NewRetryBudget(ratio, slack float64, window time.Duration, hosts int, now time.Time) *RetryBudget {
	share := slack * usableBudgetShare / float64(max(hosts, 1))
	// A full bucket and what flows in during one window add up to the share.
	return &RetryBudget{
		bucket: NewBucket(share/2/window.Seconds(), share/2+1, share/2, now),
		ratio:  ratio * usableBudgetShare,
	}
}

// RecordRequest earns the part of a repeat for a request.
func (r *RetryBudget) RecordRequest(now time.Time) {
	r.bucket.Charge(-r.ratio, now)
	r.bucket.level = min(r.bucket.level, r.bucket.Burst)
}

// Take charges a repeat if the budget allows it.
func (r *RetryBudget) Take(now time.Time) bool { return r.bucket.Take(1, now) }

// Resize takes another number of hosts.
func (r *RetryBudget) Resize(slack float64, window time.Duration, hosts int, now time.Time) {
	share := slack * usableBudgetShare / float64(max(hosts, 1))
	r.bucket.Resize(share/2/window.Seconds(), share/2+1, now)
}
