package gateway

import (
	"sync"
	"time"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/version/routing"
)

// sharedLimits enforces the limits shared by all hosts. It implements
// relay.Limits.
type sharedLimits struct {
	settings *Settings

	mu           sync.Mutex
	teams        map[string]*allowance.TeamLimit
	retryBudgets map[string]*allowance.RetryBudget
	hosts        *allowance.Hosts
	// retryShare is this host's share of the slack of retry budgets.
	retryShare float64
	// restored is the teams' usage before this host's start, which was known
	// restoredAge before restoredAt; nil if nothing is known.
	restored    map[string]allowance.History
	restoredAge time.Duration
	restoredAt  time.Time
	// isComplete is set if restored is from a host that knew all usage.
	isComplete bool
}

func newSharedLimits(settings *Settings) *sharedLimits {
	return &sharedLimits{
		settings: settings, hosts: allowance.NewHosts(time.Now()), retryShare: 1,
		teams: map[string]*allowance.TeamLimit{}, retryBudgets: map[string]*allowance.RetryBudget{},
	}
}

// team returns a team's limit and creates it if needed. The caller holds mu.
func (l *sharedLimits) team(team *routing.Team, now time.Time) *allowance.TeamLimit {
	t := l.teams[team.Name]
	if t == nil {
		t = allowance.NewTeamLimit(l.limitConfig(team), l.hosts, l.settings.FirstStart, now)
		l.teams[team.Name] = t
		if l.restored != nil && now.Sub(l.restoredAt) < l.settings.TeamLimitWindow {
			l.restoreTeam(team.Name, t, now)
		}
	}
	return t
}

func (l *sharedLimits) limitConfig(team *routing.Team) allowance.LimitConfig {
	return allowance.LimitConfig{
		Rate: team.Rate, Burst: team.Burst, Window: l.settings.TeamLimitWindow,
		Overshoot: l.settings.TeamLimitOvershoot, Slack: l.settings.TeamLimitSlack,
	}
}

// SetTable applies the teams of a new configuration.
func (l *sharedLimits) SetTable(teams []routing.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for i := range teams {
		l.team(&teams[i], now).Configure(l.limitConfig(&teams[i]))
	}
}

// SetHosts sets the other hosts that share the teams' limits, and this host's share of
// the slack of retry budgets.
func (l *sharedLimits) SetHosts(others map[string]allowance.Sharer, retryShare float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts.Set(others)
	if l.retryShare == retryShare {
		return
	}
	l.retryShare = retryShare
	now := time.Now()
	for _, budget := range l.retryBudgets {
		budget.Resize(l.settings.RetryBudgetSlack*retryShare, l.settings.RetryBudgetWindow, now)
	}
}

// Charge implements relay.Limits.
func (l *sharedLimits) Charge(team *routing.Team, amount float64, hasSpareCapacity bool) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.team(team, now)
	if t.Take(amount, hasSpareCapacity, now) {
		return true, 0
	}
	return false, max(t.WaitTime(amount, now), time.Second)
}

// Refund implements relay.Limits.
func (l *sharedLimits) Refund(team *routing.Team, amount float64, chargedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.team(team, now).Refund(amount, chargedAt, now)
}

// retryBudget returns a service's retry budget and creates it if needed. The
// caller holds mu.
func (l *sharedLimits) retryBudget(service string, now time.Time) *allowance.RetryBudget {
	r := l.retryBudgets[service]
	if r == nil {
		r = allowance.NewRetryBudget(l.settings.RetryBudgetRatio, l.settings.RetryBudgetSlack*l.retryShare, l.settings.RetryBudgetWindow, now)
		l.retryBudgets[service] = r
	}
	return r
}

// CountRequest implements relay.Limits.
func (l *sharedLimits) CountRequest(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.retryBudget(service, now).RecordRequest(now)
}

// AllowRetry implements relay.Limits.
func (l *sharedLimits) AllowRetry(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.retryBudget(service, now).Take(now)
}

// Usage returns what this host has charged to each team. Teams without usage are
// included only if all is set.
func (l *sharedLimits) Usage(all bool) []peers.TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usage []peers.TeamUsage
	now := time.Now()
	for name, team := range l.teams {
		if total := team.ReportUsage(now); total > 0 || all {
			usage = append(usage, peers.TeamUsage{Team: name, Total: total})
		}
	}
	return usage
}

// RecordMessage applies the usage in another host's message. A summary may lack it.
func (l *sharedLimits) RecordMessage(host string, message peers.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	incarnation, usage := message.From.Incarnation, message.Status.Usage
	// Before a configuration names the teams, the totals cannot be kept.
	if len(l.teams) == 0 || message.IsSummary && len(usage) == 0 {
		l.hosts.RecordMessage(host, now)
		return
	}
	includesEarlier := l.hosts.RecordReport(host, now)
	for _, reported := range usage {
		if team := l.teams[reported.Team]; team != nil {
			team.RecordRemoteUsage(host, incarnation, reported.Total, includesEarlier, now)
		}
	}
}
