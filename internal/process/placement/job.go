package placement

import (
	"slices"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
)

// line is what waits for the endpoints of one service.
type line struct {
	queue *queue.Queue
	// waiting is how many requests wait; a request takes the short way only if
	// there are none.
	waiting atomic.Int32
	classes map[class]*tier.Counts
}

// fairWindow is how far a team may get ahead of others of its tier, as a cost
// for a weight of 1. It lets requests meet the endpoints that have their
// prefixes.
const fairWindow = 1000

// class tells which endpoints can serve a request that waits.
type class struct {
	version string
	adapter string
}

// job is a request that is being placed.
type job struct {
	request Request
	route   *route
	// ask is what the scheduler is asked; its deadline is zero once the job is
	// late.
	ask      scheduler.Request
	deadline time.Time
	item     queue.Item
	line     *line
	// target is the endpoint whose home was asked for a slot, nil if any will
	// do.
	target *endpointState
	// counted tells that the job is part of the demand, since demandSince.
	counted     bool
	demandSince time.Time
	// askUntil is when the job stops waiting for one endpoint.
	askUntil time.Time
	// late tells that the deadline cannot be met any more.
	late bool
	// settle gets the result, exactly one of which is not nil, of a job that
	// had to wait.
	settle func(*ticket, *Refusal)
}

func newLine() *line {
	return &line{queue: queue.New(queue.TeamConfig{Weight: 1}, fairWindow), classes: map[class]*tier.Counts{}}
}

func (j *job) class() class { return class{version: j.ask.Version, adapter: j.ask.Adapter} }

// demand makes the job part of the demand: at one endpoint, or at all if at is
// nil. It reports whether that is a change.
func (j *job) demand(now time.Time, at *endpointState) bool {
	if j.counted && j.target == at {
		return false
	}
	j.withdraw()
	j.target = at
	j.counted = true
	j.demandSince = now
	j.counts()[j.ask.Tier]++
	return true
}

// withdraw takes the job out of the demand.
func (j *job) withdraw() {
	if !j.counted {
		return
	}
	j.counts()[j.ask.Tier]--
	j.counted = false
}

// counts is where the job's demand is counted.
func (j *job) counts() *tier.Counts {
	if j.target != nil {
		return &j.target.asked
	}
	c := j.class()
	counts := j.line.classes[c]
	if counts == nil {
		counts = &tier.Counts{}
		j.line.classes[c] = counts
	}
	return counts
}

// demandAt is what waits for a endpoint, by tier.
func (l *line) demandAt(s *endpointState) tier.Counts {
	sum := s.asked
	for c, counts := range l.classes {
		if !c.fits(s) {
			continue
		}
		for t, n := range counts {
			sum[t] += n
		}
	}
	return sum
}

// fits reports whether a endpoint can serve requests of the class.
func (c class) fits(s *endpointState) bool {
	if c.version != "" && c.version != s.spec.Version {
		return false
	}
	return c.adapter == "" || slices.Contains(s.spec.Adapters, c.adapter)
}

// oldest is how long the first request of each tier has waited, in
// milliseconds.
func (l *line) oldest(now time.Time) [tier.Max]uint32 {
	var ages [tier.Max]uint32
	for t := range tier.Tier(tier.Max) {
		if since := l.queue.Oldest(t); !since.IsZero() {
			ages[t] = uint32(now.Sub(since).Milliseconds())
		}
	}
	return ages
}
