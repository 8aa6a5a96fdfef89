package placement

import (
	"slices"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

// waitQueue holds the requests that wait for the endpoints of one service.
type waitQueue struct {
	requests *queue.Queue
	// waiting is the number of queued requests. New requests bypass the queue
	// only while it is zero.
	waiting          atomic.Int32
	demandBySelector map[selector]*tier.Counts
}

// fairnessWindow is how far a team may get ahead of other teams of its tier, as
// a cost at weight 1. The slack lets requests go to endpoints that have their
// prefixes cached.
const fairnessWindow = 1000

// selector identifies the endpoints that can serve a waiting request.
type selector struct {
	version string
	adapter string
}

// job is a request that is being placed.
type job struct {
	request Request
	route   *route
	// query is the input to the scheduler. Its deadline is cleared once the job
	// is late.
	query     scheduler.Request
	deadline  time.Time
	item      queue.Item
	waitQueue *waitQueue
	// target is the only endpoint at which the job's demand is registered; nil
	// means all matching endpoints.
	target *endpointState
	// inDemand is set while the job is counted in the demand. demandSince is
	// when it was last added.
	inDemand    bool
	demandSince time.Time
	// targetUntil is when the job stops waiting for its target endpoint.
	targetUntil time.Time
	// late is set once the deadline can no longer be met.
	late bool
	// onResult receives the result of a queued job. Exactly one argument is
	// non-nil.
	onResult func(*attempt, *Refusal)
}

func newWaitQueue() *waitQueue {
	return &waitQueue{requests: queue.New(queue.TeamConfig{Weight: 1}, fairnessWindow), demandBySelector: map[selector]*tier.Counts{}}
}

func (j *job) selector() selector {
	return selector{version: j.query.Version, adapter: j.query.Adapter}
}

// setDemand counts the job in the demand of the target endpoint, or of all
// matching endpoints if target is nil. It reports whether the demand changed.
func (j *job) setDemand(now time.Time, target *endpointState) bool {
	if j.inDemand && j.target == target {
		return false
	}
	j.clearDemand()
	j.target = target
	j.inDemand = true
	j.demandSince = now
	j.demandCounts()[j.query.Tier]++
	return true
}

// clearDemand removes the job from the demand.
func (j *job) clearDemand() {
	if !j.inDemand {
		return
	}
	j.demandCounts()[j.query.Tier]--
	j.inDemand = false
}

// demandCounts returns the counters in which the job's demand is counted.
func (j *job) demandCounts() *tier.Counts {
	if j.target != nil {
		return &j.target.targetDemand
	}
	sel := j.selector()
	counts := j.waitQueue.demandBySelector[sel]
	if counts == nil {
		counts = &tier.Counts{}
		j.waitQueue.demandBySelector[sel] = counts
	}
	return counts
}

// waitingFor returns how many requests of each tier wait for an endpoint.
func (q *waitQueue) waitingFor(s *endpointState) tier.Counts {
	sum := s.targetDemand
	for sel, counts := range q.demandBySelector {
		if !sel.matches(s) {
			continue
		}
		for t, n := range counts {
			sum[t] += n
		}
	}
	return sum
}

// matches reports whether an endpoint can serve the requests of the selector.
func (sel selector) matches(s *endpointState) bool {
	if sel.version != "" && sel.version != s.spec.Version {
		return false
	}
	return sel.adapter == "" || slices.Contains(s.spec.Adapters, sel.adapter)
}

// oldestMillis returns how long the oldest request of each tier has been
// waiting, in milliseconds.
func (q *waitQueue) oldestMillis(now time.Time) [tier.Max]uint32 {
	var ages [tier.Max]uint32
	for t := range tier.Tier(tier.Max) {
		if since := q.requests.Oldest(t); !since.IsZero() {
			ages[t] = uint32(now.Sub(since).Milliseconds())
		}
	}
	return ages
}
