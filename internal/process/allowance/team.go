package allowance

import "time"

// TeamLimit is a team's limit over all hosts: in each sliding window, the team
// may use its rate times the window, plus its burst.
//
// It has to hold when one team sends many times its usual load through all
// hosts while some hosts are cut off from the others. Hosts that receive each
// other's reports count their usage against one limit. For a host that is cut off,
// the share of the limit is set aside up to which that host admits requests when it
// receives no reports, less what it is known to have used of it.
//
// The operator tolerates some overshoot. A share of it is granted to requests
// that use spare capacity, which no other team needs.
type TeamLimit struct {
	window time.Duration
	// limit is what all hosts together may use in a window, overshoot what they
	// may use beyond it while there is spare capacity.
	limit, overshoot float64
	// overshootFrom is when the whole overshoot may be granted: before it, the usage may
	// have been higher than assumed by as much.
	overshootFrom time.Time
	hosts         *Hosts
	own           SlidingWindow
	// charged is the total ever charged on this host, reports its value in the last
	// reports to the other hosts.
	charged float64
	reports reports
	remote  map[string]*remoteUsage
}

// remoteUsage is the known usage of another host.
type remoteUsage struct {
	processUsage
	// previous is that of the process before.
	previous   processUsage
	window     SlidingWindow
	reportedAt time.Time
}

// processUsage is the total that a process has reported.
type processUsage struct {
	incarnation int64
	total       float64
}

// NewTeamLimit returns a team's limit. Except at the first start of the fleet,
// the limit counts as used up in the preceding window, since the real usage is
// unknown.
func NewTeamLimit(config LimitConfig, hosts *Hosts, firstStart bool, now time.Time) *TeamLimit {
	t := &TeamLimit{window: config.Window, hosts: hosts, own: NewSlidingWindow(config.Window, now), remote: map[string]*remoteUsage{}}
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

// forgetUsageAfter is the silence after which a host's totals are forgotten. They then
// count as new if it returns.
const forgetUsageAfter = 10 * time.Minute

// used returns the usage of all hosts in the window that this host has recorded.
func (t *TeamLimit) used(now time.Time) float64 {
	sum := t.own.Sum(now)
	for name, other := range t.remote {
		usage := other.window.Sum(now)
		if usage == 0 && now.Sub(other.reportedAt) > forgetUsageAfter {
			delete(t.remote, name)
		}
		sum += usage
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

// setAside returns what hosts that are cut off may use in addition to what they are known
// to have used, and whether there are any.
func (t *TeamLimit) setAside(now time.Time) (amount float64, isAnyCutOff bool) {
	share := t.limit / float64(t.hosts.count())
	for _, s := range t.hosts.sharers {
		if !s.isCutOff(now) {
			continue
		}
		isAnyCutOff = true
		used := 0.0
		if other := t.remote[s.name]; other != nil {
			used = other.window.Sum(now)
		}
		amount += max(0, share-used)
	}
	return amount, isAnyCutOff
}

// allowed returns what this host and those that receive its reports may use in a
// window, in addition to what the others are known to have used. Overshoot is granted
// only while this host knows all usage.
func (t *TeamLimit) allowed(hasSpareCapacity bool, now time.Time) float64 {
	setAside, isAnyCutOff := t.setAside(now)
	if hasSpareCapacity && !isAnyCutOff {
		if now.Before(t.overshootFrom) {
			return t.limit + t.overshoot/2
		}
		return t.limit + t.overshoot
	}
	return t.limit - setAside
}

// Take charges an amount if the limit covers it, and reports whether it did.
// hasSpareCapacity is set if the request takes no capacity from other teams.
func (t *TeamLimit) Take(amount float64, hasSpareCapacity bool, now time.Time) bool {
	if t.limit > 0 {
		remaining := t.allowed(hasSpareCapacity, now) - t.used(now)
		// Until the others know its usage, each host takes no more than its share
		// of the remainder, except for a single request.
		parts, confirmedUpTo := t.hosts.exchange(now)
		unknown := max(0, t.charged-t.reports.chargedUpTo(confirmedUpTo))
		if amount > remaining || unknown > 0 && unknown+amount > (remaining+unknown)/float64(parts) {
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

// ReportUsage returns the total charged on this host since its start, for a report to
// the others.
func (t *TeamLimit) ReportUsage(now time.Time) float64 {
	t.reports.add(t.charged, now)
	return t.charged
}

// RecordRemoteUsage records the total that another host has charged since its start.
// If includesEarlier is set and it is the first one, the total counts as used before
// this host's start.
func (t *TeamLimit) RecordRemoteUsage(host string, incarnation int64, total float64, includesEarlier bool, now time.Time) {
	other := t.remote[host]
	if other == nil {
		other = &remoteUsage{window: NewSlidingWindow(t.window, now)}
		other.incarnation = incarnation
		if includesEarlier {
			other.total = total
		}
		t.remote[host] = other
	}
	if other.incarnation != incarnation {
		// A late message of an earlier process is followed by those of the new one.
		other.processUsage, other.previous = other.previous, other.processUsage
		if other.incarnation != incarnation {
			other.processUsage = processUsage{incarnation: incarnation}
		}
	}
	switch {
	case total > other.total:
		other.window.Add(min(total-other.total, t.limit+t.overshoot), now)
	case total < other.total: // by refunds
		other.window.RemoveOldest(other.total-total, now)
	}
	other.total, other.reportedAt = total, now
}

// WaitTime returns the time until the limit covers the amount, if nothing more
// is used.
func (t *TeamLimit) WaitTime(amount float64, now time.Time) time.Duration {
	parts, _ := t.hosts.exchange(now)
	return t.own.WaitTime((t.used(now)+amount-t.allowed(false, now))/float64(parts), now)
}
