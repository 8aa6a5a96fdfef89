package allowance

import "time"

// TeamLimit is a team's limit over all hosts: in each sliding window, the team
// may use its rate times the window, plus its burst.
//
// It has to hold when one team sends many times its usual load through all
// hosts while some hosts are cut off from the others. Hosts that can reach each
// other count each other's usage against one limit. For each unreachable host a
// share of the limit is set aside, as large as what that host allows itself
// when it reaches no other host.
//
// The operator tolerates some overshoot. A share of it is granted to requests
// that use spare capacity, which no other team needs.
type TeamLimit struct {
	window time.Duration
	// limit is what all hosts together may use in a window, overshoot what they
	// may use beyond it while there is spare capacity.
	limit, overshoot float64
	// overshootFrom is when overshoot may be granted: before it, the usage may have
	// been higher than assumed by as much.
	overshootFrom time.Time
	// hosts is the number of hosts that may admit requests, reachable the
	// number of those that this host hears from, itself included.
	hosts, reachable int
	own              SlidingWindow
	// charged is the total ever charged on this host, reported its value in the
	// last report to the other hosts.
	charged, reported float64
	remote            map[string]*remoteUsage
}

// remoteUsage is the known usage of another host.
type remoteUsage struct {
	incarnation int64
	total       float64
	window      SlidingWindow
	reportedAt  time.Time
}

// NewTeamLimit returns a team's limit. Except at the first start of the fleet,
// the limit counts as used up in the preceding window, since the real usage is
// unknown.
func NewTeamLimit(config LimitConfig, firstStart bool, now time.Time) *TeamLimit {
	t := &TeamLimit{window: config.Window, hosts: 1, reachable: 1, own: NewSlidingWindow(config.Window, now), remote: map[string]*remoteUsage{}}
	t.Configure(config)
	if !firstStart {
		t.own.Fill(t.limit, now)
		t.overshootFrom = now.Add(config.Window)
	}
	return t
}

// LimitConfig is a team's limit as configured by the operator.
type LimitConfig struct {
	// Rate is in units per second, Burst in units; a rate of 0 means no limit.
	Rate, Burst float64
	// Window is the time over which the limit holds.
	Window time.Duration
	// Overshoot, as a share of the limit, and Slack, in units, are how far the
	// limit may be exceeded over all hosts.
	Overshoot, Slack float64
}

// usableOvershootShare is the share of the tolerated overshoot that is granted.
// The rest covers usage that hosts learn of late.
const usableOvershootShare = 0.5

// Configure applies a new configuration.
func (t *TeamLimit) Configure(config LimitConfig) {
	t.limit, t.overshoot = 0, 0
	if config.Rate > 0 {
		t.limit = config.Rate*t.window.Seconds() + config.Burst
		t.overshoot = (t.limit*config.Overshoot + config.Slack) * usableOvershootShare
	}
}

// SetHosts sets the number of hosts that may admit requests and how many of
// them this host hears from, itself included.
func (t *TeamLimit) SetHosts(hosts, reachable int) {
	t.hosts = max(hosts, 1)
	t.reachable = min(max(reachable, 1), t.hosts)
}

// maxRemoteUsageAge is the age at which another host's usage no longer counts:
// a share of the limit is set aside for that host instead. In a large fleet, an
// idle host's usage arrives through two relays, up to 4 s late.
const maxRemoteUsageAge = 4500 * time.Millisecond

// used returns the usage of the reachable hosts in the window.
func (t *TeamLimit) used(now time.Time) float64 {
	sum := t.own.Sum(now)
	for _, other := range t.remote {
		if now.Sub(other.reportedAt) < maxRemoteUsageAge {
			sum += other.window.Sum(now)
		}
	}
	return sum
}

// UsedShare returns the share of its limit that the team has used in the window, as
// far as this host knows or assumes, and whether it has a limit.
func (t *TeamLimit) UsedShare(now time.Time) (share float64, isLimited bool) {
	if t.limit <= 0 {
		return 0, false
	}
	return t.used(now) / t.limit, true
}

// allowed returns what the reachable hosts may use in a window.
func (t *TeamLimit) allowed(hasSpareCapacity bool, now time.Time) float64 {
	limit := t.limit
	if hasSpareCapacity && !now.Before(t.overshootFrom) {
		limit += t.overshoot
	}
	return limit * float64(t.reachable) / float64(t.hosts)
}

// Take charges an amount if the limit covers it, and reports whether it did.
// hasSpareCapacity is set if the request takes no capacity from other teams.
func (t *TeamLimit) Take(amount float64, hasSpareCapacity bool, now time.Time) bool {
	if t.limit > 0 {
		remaining := t.allowed(hasSpareCapacity, now) - t.used(now)
		// Until its usage is reported, each host takes no more than its share
		// of the remainder, except for a single request.
		unreported := t.charged - t.reported
		if amount > remaining || unreported > 0 && unreported+amount > (remaining+unreported)/float64(t.reachable) {
			return false
		}
	}
	t.charged += amount
	t.own.Add(amount, now)
	return true
}

// Refund reverses the charge of a request that did not run.
func (t *TeamLimit) Refund(amount float64, chargedAt, now time.Time) {
	t.charged -= amount
	t.own.Remove(amount, chargedAt, now)
}

// ReportUsage returns the total charged on this host since its start and marks
// it as reported to the others.
func (t *TeamLimit) ReportUsage() float64 {
	t.reported = t.charged
	return t.charged
}

// RecordRemoteUsage records the total that another host has charged since its
// start.
func (t *TeamLimit) RecordRemoteUsage(host string, incarnation int64, total float64, now time.Time) {
	other := t.remote[host]
	if other == nil {
		// The usage before the first report was charged before this host's
		// start, or before the other host's own.
		t.remote[host] = &remoteUsage{incarnation: incarnation, total: total, window: NewSlidingWindow(t.window, now), reportedAt: now}
		return
	}
	if other.incarnation != incarnation {
		other.incarnation, other.total = incarnation, 0
	}
	switch {
	case total > other.total:
		other.window.Add(total-other.total, now)
	case total < other.total: // by refunds
		other.window.RemoveOldest(other.total-total, now)
	}
	other.total, other.reportedAt = total, now
}

// WaitTime returns the time until the limit covers the amount, if nothing more
// is used.
func (t *TeamLimit) WaitTime(amount float64, now time.Time) time.Duration {
	return t.own.WaitTime((t.used(now)+amount-t.allowed(false, now))/float64(t.reachable), now)
}
