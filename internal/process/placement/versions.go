package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
)

// decide runs the scheduler for a job. A job whose version is no longer
// allowed, or has no slot available even through the endpoints' homes, switches
// to the fallback version of the service.
func (c *core) decide(now time.Time, p *pool, j *job) scheduler.Decision {
	versions := c.snapshot.Load().view.Versions
	if versions != nil && !versions.Allows(j.route.service, j.query.Version) {
		j.setVersion(versions.Fallback(j.route.service))
	}
	d := p.scheduler.Decide(now, &j.query)
	if versions == nil || d.Action == scheduler.ActionDispatch || d.Action == scheduler.ActionRequestSlot {
		return d
	}
	if !j.setVersion(versions.Fallback(j.route.service)) {
		return d
	}
	return p.scheduler.Decide(now, &j.query)
}

// setVersion changes the version that the job requires and reports whether it
// changed. A change resets the job's demand.
func (j *job) setVersion(version string) bool {
	if j.query.Version == version {
		return false
	}
	j.clearDemand()
	j.targetUntil = time.Time{}
	j.query.LocalSlotsOnly = false
	j.query.Version = version
	return true
}
