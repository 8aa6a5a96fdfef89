package dispatch

import "time"

// Options are the decisions that a deployment switches on.
type Options struct {
	// MatchSlots gives a free slot to the first queued request that the endpoint can
	// serve without harm, instead of to the first one in the queue.
	MatchSlots bool
	// FairShares lets the requests of a team that is over its fair share of slot time
	// yield to those of the other teams.
	FairShares bool
}

// Use sets the options. It is called before the dispatcher is used.
func (d *Dispatcher) Use(options Options) { d.options = options }

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
