package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Options are the decisions that a deployment switches on.
type Options struct {
	// MatchSlots gives a free slot to the first queued request that the endpoint can
	// serve without harm, instead of to the first one in the queue.
	MatchSlots bool
	// FairShares lets the requests of a team that is over its fair share of slot time
	// yield to those of the other teams.
	FairShares bool
}

// optionCounters count the decisions that the options change. Without an option, its
// counters are nil.
type optionCounters struct {
	// outOfOrder counts the requests that got a slot before an earlier one that it did
	// not fit, anySlot those that had waited so long that they got any slot.
	outOfOrder, anySlot metrics.Counter
	// refusedOverShare counts the refusals to teams over their share.
	refusedOverShare metrics.Counter
}

// Use sets the options and registers their counters. It is called before the dispatcher is
// used.
func (d *Dispatcher) Use(options Options, registry metrics.Registry) {
	d.options = options
	if options.MatchSlots {
		d.counters.outOfOrder = metrics.GetOrRegisterCounter("dispatch.out_of_order", registry)
		d.counters.anySlot = metrics.GetOrRegisterCounter("dispatch.any_slot", registry)
	}
	if options.FairShares {
		d.counters.refusedOverShare = metrics.GetOrRegisterCounter("dispatch.refused_over_share", registry)
	}
}

// recordAsked records that a job's team asks for slot time. The caller holds mu.
func (d *Dispatcher) recordAsked(queue *waitQueue, job *Job, now time.Time) {
	if d.options.FairShares {
		queue.teams.RecordAsked(job.Team, d.teamWeight(job.Team), queue.slotTime(job), now)
	}
}

// recordServed records that a job got an endpoint. The caller holds mu.
func (d *Dispatcher) recordServed(queue *waitQueue, job *Job, now time.Time) {
	if job.IsRetry {
		return
	}
	slotTime := queue.slotTime(job)
	queue.Shares.RecordServed(job.Route.Name, slotTime, now)
	if d.options.FairShares {
		if d.isOverShare(queue, job, now) {
			queue.Shares.RecordOverShare(job.Route.Name, slotTime, now)
		}
		queue.teams.RecordGranted(job.Team, slotTime, now)
	}
}

// isOverShare reports whether a job's team is over its fair share. The caller holds mu.
func (d *Dispatcher) isOverShare(queue *waitQueue, job *Job, now time.Time) bool {
	return d.options.FairShares && queue.teams.IsOver(job.Team, now)
}

// teamWeight returns the weight of a team's fair share: its limit, if all teams have one
// in the same unit, and 1 otherwise. The caller holds mu.
func (d *Dispatcher) teamWeight(name string) float64 {
	if d.table == nil || !d.table.HasComparableLimits() {
		return 1
	}
	if team := d.table.Team(name); team != nil {
		return team.Rate
	}
	return 1
}

// TeamShare is the recent slot time of a team at a service as this host decided on it.
// Times are in seconds and count less the longer ago they are.
type TeamShare struct {
	Service string  `json:"service"`
	Team    string  `json:"team"`
	Asked   float64 `json:"asked_seconds"`
	Granted float64 `json:"granted_seconds"`
	// Share is the most that the team may have before it is over its share; absent while
	// there is room for all.
	Share *float64 `json:"share_seconds,omitempty"`
}

// TeamShares returns the shares of all teams, sorted by service and team. There are none
// without fair shares.
func (d *Dispatcher) TeamShares() []TeamShare {
	d.mu.Lock()
	defer d.mu.Unlock()
	var shares []TeamShare
	for service, queue := range d.queues {
		for _, team := range queue.teams.Teams(time.Now()) {
			share := TeamShare{Service: service, Team: team.Name, Asked: team.Asked, Granted: team.Granted}
			if !math.IsInf(team.Share, 1) {
				share.Share = &team.Share
			}
			shares = append(shares, share)
		}
	}
	slices.SortStableFunc(shares, func(a, b TeamShare) int { return cmp.Compare(a.Service, b.Service) })
	return shares
}
