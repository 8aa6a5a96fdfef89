package placement

import (
	"slices"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

// waitQueue is what waits for the endpoints of one service.
type waitQueue struct {
	requests *queue.Queue
	// waiting is how many requests wait; a request takes the short way only if
	// there are none.
	waiting          atomic.Int32
	demandBySelector map[selector]*tier.Counts
}

// fairnessWindow is how far a team may get ahead of others of its tier, as a cost
// for a weight of 1. It lets requests meet the endpoints that have their
// prefixes.
const fairnessWindow = 1000

// selector tells which endpoints can serve a request that waits.
type selector struct {
	version string
	adapter string
}

// job is a request that is being placed.
type job struct {
	request Request
	route   *route
	// query is what the scheduler is asked; its deadline is zero once the job is
	// late.
	query     scheduler.Request
	deadline  time.Time
	item      queue.Item
	waitQueue *waitQueue
	// target is the endpoint whose home was asked for a slot, nil if any will
	// do.
	target *endpointState
	// inDemand tells that the job is part of the demand, since demandSince.
	inDemand    bool
	demandSince time.Time
	// targetUntil is when the job stops waiting for one endpoint.
	targetUntil time.Time
	// late tells that the deadline cannot be met any more.
	late bool
	// onResult gets the result, exactly one of which is not nil, of a job that
	// had to wait.
	onResult func(*attempt, *Refusal)
}

func newWaitQueue() *waitQueue {
	return &waitQueue{requests: queue.New(queue.Bound{Weight: 1}, fairnessWindow), demandBySelector: map[selector]*tier.Counts{}}
}

func (j *job) selector() selector {
	return selector{version: j.query.Version, adapter: j.query.Adapter}
}

// setDemand makes the job part of the setDemand: at one endpoint, or at all if at is
// nil. It reports whether that is a change.
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

// clearDemand takes the job out of the demand.
func (j *job) clearDemand() {
	if !j.inDemand {
		return
	}
	j.demandCounts()[j.query.Tier]--
	j.inDemand = false
}

// demandCounts is where the job's demand is counted.
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

// waitingFor is what waits for a endpoint, by tier.
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

// matches reports whether a endpoint can serve requests of the class.
func (sel selector) matches(s *endpointState) bool {
	if sel.version != "" && sel.version != s.spec.Version {
		return false
	}
	return sel.adapter == "" || slices.Contains(s.spec.Adapters, sel.adapter)
}

// oldestMillis is how long the first request of each tier has waited, in
// milliseconds.
func (q *waitQueue) oldestMillis(now time.Time) [tier.Max]uint32 {
	var ages [tier.Max]uint32
	for t := range tier.Tier(tier.Max) {
		if since := q.requests.Oldest(t); !since.IsZero() {
			ages[t] = uint32(now.Sub(since).Milliseconds())
		}
	}
	return ages
}
