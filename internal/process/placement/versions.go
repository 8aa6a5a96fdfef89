package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
)

// decide asks the scheduler about a job. A job whose version is no longer
// allowed, or has no slot even at the endpoints' homes, takes the service's
// steady version.
func (c *core) decide(now time.Time, p *pool, j *job) scheduler.Decision {
	versions := c.state.Load().view.Versions
	if versions != nil && !versions.Allows(j.route.service, j.ask.Version) {
		j.setVersion(versions.Fallback(j.route.service))
	}
	d := p.plan.Decide(now, &j.ask)
	if versions == nil || d.Action == scheduler.ActionDispatch || d.Action == scheduler.ActionAsk {
		return d
	}
	if !j.setVersion(versions.Fallback(j.route.service)) {
		return d
	}
	return p.plan.Decide(now, &j.ask)
}

// setVersion makes the job ask for a version, and reports whether that is
// another one than before. Its demand begins anew.
func (j *job) setVersion(version string) bool {
	if j.ask.Version == version {
		return false
	}
	j.withdraw()
	j.askUntil = time.Time{}
	j.ask.HeldOnly = false
	j.ask.Version = version
	return true
}
