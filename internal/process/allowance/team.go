package allowance

import "time"

// TeamLimit is a team's limit over all hosts: in each window of time it may use what
// its rate gives in the window, and its burst.
//
// The load that it answers: one team sends many times its usual through all
// hosts, some of which cannot hear the others. Hosts that hear each other count
// each other's use against one limit. A part of the limit is set aside for each
// host that is not heard, as large as what that host allows itself when it
// hears nobody.
//
// The operator tolerates some use beyond the limit. A part of that is given to
// requests for which there is room that nobody else asks for.
type TeamLimit struct {
	window time.Duration
	// limit is what all hosts together may use in a window, overshoot what they
	// may use beside it while there is room.
	limit, overshoot float64
	// hosts is the number of hosts that may spend, reachable of those that are
	// reachable, this one included.
	hosts, reachable int
	own              SlidingWindow
	// charged is all that was charged, reported what the others were told of it.
	charged, reported float64
	remote            map[string]*remoteUsage
}

// remoteUsage is another host, as far as its use is known.
type remoteUsage struct {
	incarnation int64
	total       float64
	window      SlidingWindow
	reportedAt  time.Time
}

// NewTeamLimit returns a team's limit. Unless the fleet starts for the first time,
// the limit counts as used up in the window before, since what was used is not
// known.
func NewTeamLimit(config LimitConfig, firstStart bool, now time.Time) *TeamLimit {
	t := &TeamLimit{window: config.Window, hosts: 1, reachable: 1, own: NewSlidingWindow(config.Window, now), remote: map[string]*remoteUsage{}}
	t.Configure(config)
	if !firstStart {
		t.own.Fill(t.limit, now)
	}
	return t
}

// LimitConfig are a team's limit as the operator states it.
type LimitConfig struct {
	// Rate is in units a second, Burst in units; a rate of 0 is no limit.
	Rate, Burst float64
	// Window is the stretch of time over which the limit holds.
	Window time.Duration
	// Overshoot is the part of the limit, and Slack the amount in units, by
	// which it may be exceeded over all hosts.
	Overshoot, Slack float64
}

// usableOvershootShare is the part of the tolerated excess that is given away; the
// rest covers what hosts learn late of each other.
const usableOvershootShare = 0.5

// Configure takes new terms.
func (t *TeamLimit) Configure(config LimitConfig) {
	t.limit, t.overshoot = 0, 0
	if config.Rate > 0 {
		t.limit = config.Rate*t.window.Seconds() + config.Burst
		t.overshoot = (t.limit*config.Overshoot + config.Slack) * usableOvershootShare
	}
}

// SetHosts tells how many hosts may spend and how many of them are heard, this
// one included.
func (t *TeamLimit) SetHosts(hosts, reachable int) {
	t.hosts = max(hosts, 1)
	t.reachable = min(max(reachable, 1), t.hosts)
}

// maxRemoteUsageAge is the age from which another host's use no longer counts: its
// part of the limit is set aside instead.
const maxRemoteUsageAge = 2 * time.Second

// used is what the heard hosts have used in the window.
func (t *TeamLimit) used(now time.Time) float64 {
	sum := t.own.Sum(now)
	for _, other := range t.remote {
		if now.Sub(other.reportedAt) < maxRemoteUsageAge {
			sum += other.window.Sum(now)
		}
	}
	return sum
}

// allowed is what the heard hosts may use in a window.
func (t *TeamLimit) allowed(hasSpareCapacity bool) float64 {
	limit := t.limit
	if hasSpareCapacity {
		limit += t.overshoot
	}
	return limit * float64(t.reachable) / float64(t.hosts)
}

// Take charges an amount if the limit covers it. hasRoom tells that what it is
// for takes nothing from anybody else.
func (t *TeamLimit) Take(amount float64, hasSpareCapacity bool, now time.Time) bool {
	if t.limit > 0 {
		remaining := t.allowed(hasSpareCapacity) - t.used(now)
		// Until the others know, each host takes no more than its part of what
		// is left, but for a single request.
		unreported := t.charged - t.reported
		if amount > remaining || unreported > 0 && unreported+amount > (remaining+unreported)/float64(t.reachable) {
			return false
		}
	}
	t.add(amount, now)
	return true
}

// Refund gives back what was charged for a request that did not run.
func (t *TeamLimit) Refund(amount float64, now time.Time) { t.add(-amount, now) }

func (t *TeamLimit) add(amount float64, now time.Time) {
	t.charged += amount
	t.own.Add(amount, now)
}

// ReportUsage is all that this host has charged since its start, to be told to the
// others now.
func (t *TeamLimit) ReportUsage() float64 {
	t.reported = t.charged
	return t.charged
}

// RecordRemoteUsage takes in what another host has charged since its start.
func (t *TeamLimit) RecordRemoteUsage(host string, incarnation int64, total float64, now time.Time) {
	other := t.remote[host]
	if other == nil {
		// What it used before it was first heard lies before this host's start,
		// or before its own.
		t.remote[host] = &remoteUsage{incarnation: incarnation, total: total, window: NewSlidingWindow(t.window, now), reportedAt: now}
		return
	}
	if other.incarnation != incarnation {
		other.incarnation, other.total = incarnation, 0
	}
	if total != other.total {
		other.window.Add(total-other.total, now)
	}
	other.total, other.reportedAt = total, now
}

// WaitTime is how long it takes until the limit covers an amount, if nothing more
// is used.
func (t *TeamLimit) WaitTime(amount float64, now time.Time) time.Duration {
	return t.own.WaitTime((t.used(now)+amount-t.allowed(false))/float64(t.reachable), now)
}
