package gateway

import (
	"sync"
	"time"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/version/routing"
)

// limits are the limits that hold over all hosts. It implements relay.Limits.
type limits struct {
	settings *Settings

	mu      sync.Mutex
	teams   map[string]*allowance.TeamLimit
	repeats map[string]*allowance.RetryBudget
	hosts   int
	heard   int
}

func newLimits(settings *Settings) *limits {
	return &limits{
		settings: settings, hosts: 1, heard: 1,
		teams: map[string]*allowance.TeamLimit{}, repeats: map[string]*allowance.RetryBudget{},
	}
}

// team is a team's limit. The caller holds mu.
func (l *limits) team(team *routing.Team, now time.Time) *allowance.TeamLimit {
	t := l.teams[team.Name]
	if t == nil {
		t = allowance.NewTeamLimit(l.terms(team), l.settings.FirstStart, now)
		t.SetHosts(l.hosts, l.heard)
		l.teams[team.Name] = t
	}
	return t
}

func (l *limits) terms(team *routing.Team) allowance.LimitConfig {
	return allowance.LimitConfig{
		Rate: team.Rate, Burst: team.Burst, Window: l.settings.TeamWindow,
		Overshoot: l.settings.TeamOvershoot, Slack: l.settings.TeamSlack,
	}
}

// SetTable takes a new version of the configuration.
func (l *limits) SetTable(teams []routing.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for i := range teams {
		l.team(&teams[i], now).Configure(l.terms(&teams[i]))
	}
}

// SetHosts tells how many hosts share the limits and how many are heard.
func (l *limits) SetHosts(hosts, heard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == hosts && l.heard == heard {
		return
	}
	l.hosts, l.heard = hosts, heard
	now := time.Now()
	for _, team := range l.teams {
		team.SetHosts(hosts, heard)
	}
	for _, repeats := range l.repeats {
		repeats.Resize(l.settings.RepeatSlack, l.settings.RepeatWindow, hosts, now)
	}
}

// Charge implements relay.Limits.
func (l *limits) Charge(team *routing.Team, amount float64, hasRoom bool) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.team(team, now)
	if t.Take(amount, hasRoom, now) {
		return true, 0
	}
	return false, max(t.WaitTime(amount, now), time.Second)
}

// Return implements relay.Limits.
func (l *limits) Return(team *routing.Team, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.team(team, now).Refund(amount, now)
}

// repeat is a service's budget. The caller holds mu.
func (l *limits) repeat(service string, now time.Time) *allowance.RetryBudget {
	r := l.repeats[service]
	if r == nil {
		r = allowance.NewRetryBudget(l.settings.RepeatRatio, l.settings.RepeatSlack, l.settings.RepeatWindow, l.hosts, now)
		l.repeats[service] = r
	}
	return r
}

// Request implements relay.Limits.
func (l *limits) Request(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.repeat(service, now).RecordRequest(now)
}

// Repeat implements relay.Limits.
func (l *limits) Repeat(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.repeat(service, now).Take(now)
}

// Spent is what this host has charged to each team, or to those that have spent
// something.
func (l *limits) Spent(all bool) []peers.Spending {
	l.mu.Lock()
	defer l.mu.Unlock()
	var spent []peers.Spending
	for name, team := range l.teams {
		if total := team.ReportUsage(); total > 0 || all {
			spent = append(spent, peers.Spending{Team: name, Total: total})
		}
	}
	return spent
}

// Hear takes in what another host has charged.
func (l *limits) Hear(host string, incarnation int64, spent []peers.Spending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range spent {
		if team := l.teams[s.Team]; team != nil {
			team.RecordRemoteUsage(host, incarnation, s.Total, now)
		}
	}
}
