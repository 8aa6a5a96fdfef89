package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/version/routing"
)

// In a large fleet, messages of hosts without usage arrive as summaries only. Each of these
// hosts counted as cut off, so that nearly the whole limit was set aside.
func TestIdleHostsLeaveTheLimitToOthers(t *testing.T) {
	for _, idle := range []int{79, 280} {
		l := newSharedLimits(&Settings{FirstStart: true, TeamLimitWindow: 8 * time.Second})
		team := &routing.Team{Name: "team", Rate: 1000}
		l.SetTable([]routing.Team{*team})
		sharers := map[string]allowance.Sharer{}
		for i := range idle {
			sharers[fmt.Sprint("idle", i)] = allowance.Sharer{MaxSilence: 8 * time.Second, IsRelayed: true}
		}
		l.SetHosts(sharers, 1)
		for name := range sharers {
			l.RecordMessage(name, peers.Message{From: peers.Host{Incarnation: 1}, IsSummary: true})
		}
		used := 0.0
		for range 78 { // up to 98% of the limit
			allowed, _ := l.Charge(team, 100, false)
			assert.Assert(t, allowed, "%v of 8000 used beside %d idle hosts", used, idle)
			used += 100
			l.Usage(false)
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// Totals that arrived before a configuration were lost, and the next ones counted as used
// since this host's start.
func TestReportBeforeConfiguration(t *testing.T) {
	l := newSharedLimits(&Settings{FirstStart: true, TeamLimitWindow: 8 * time.Second})
	l.SetHosts(map[string]allowance.Sharer{"host": {MaxSilence: time.Second}}, 1)
	report := func(total float64) {
		l.RecordMessage("host", peers.Message{From: peers.Host{Incarnation: 1}, Status: peers.Status{Usage: []peers.TeamUsage{{Team: "team", Total: total}}}})
	}
	report(50_000)
	l.SetTable([]routing.Team{{Name: "team", Rate: 1000}})
	report(50_000)
	report(50_800)
	assert.Equal(t, l.usedShares(time.Now())["team"], 0.1)
}
