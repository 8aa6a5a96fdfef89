package allowance_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/allowance"
)

// known returns the usage of a team that a host takes into account.
func known(team *allowance.TeamLimit, now time.Time) float64 {
	share, _ := team.UsedShare(now)
	return share * 1000
}

// The first usage that a host reported to another one was taken for older than that
// one, though the host had reported none before: of a team that was new, for example.
func TestFirstReportOfATeam(t *testing.T) {
	view := allowance.NewHosts(start)
	view.Set(map[string]allowance.Sharer{"host": {MaxSilence: reportSilence}})
	assert.Assert(t, view.RecordReport("host", start), "usage from before the start")
	now := start.Add(time.Second)
	includesEarlier := view.RecordReport("host", now)
	team := allowance.NewTeamLimit(config, view, true, now)
	team.RecordRemoteUsage("host", 1, 300, includesEarlier, now)
	assert.Equal(t, known(team, now), 300.0)

	// A host that was added.
	late := start.Add(20 * time.Second)
	team.RecordRemoteUsage("added", 1, 200, view.RecordReport("added", late), late)
	assert.Equal(t, known(team, late), 200.0)

	// At this host's start, the totals of the others are from before it.
	started := allowance.NewHosts(late)
	team = allowance.NewTeamLimit(config, started, true, late)
	team.RecordRemoteUsage("host", 1, 5000, started.RecordReport("host", late), late)
	assert.Equal(t, known(team, late), 0.0)
}

// A late message of a host's earlier process made all that the two processes had ever
// used count as used again.
func TestLateReportOfAnEarlierProcess(t *testing.T) {
	team := allowance.NewTeamLimit(config, allowance.NewHosts(start), true, start)
	team.RecordRemoteUsage("host", 1, 0, false, start)
	team.RecordRemoteUsage("host", 1, 100, false, start)
	team.RecordRemoteUsage("host", 2, 50, false, start)
	team.RecordRemoteUsage("host", 1, 100, false, start)
	team.RecordRemoteUsage("host", 2, 60, false, start)
	assert.Equal(t, known(team, start), 160.0)
}

// In a fleet of 295 hosts, of which some carry callers, each of these got a 295th of what
// was left of a limit between two reports, so that the limit could not be used.
func TestCarryingHostsDivideTheRemainder(t *testing.T) {
	view := allowance.NewHosts(start)
	sharers := map[string]allowance.Sharer{}
	for i := range 294 {
		sharers[strconv.Itoa(i)] = allowance.Sharer{MaxSilence: 8 * time.Second, IsRelayed: true}
		if i < 14 {
			sharers[strconv.Itoa(i)] = allowance.Sharer{MaxSilence: reportSilence}
		}
	}
	view.Set(sharers)
	for name := range sharers {
		view.RecordMessage(name, start)
	}
	team := allowance.NewTeamLimit(config, view, true, start)
	used := 0.0
	for team.Take(1, false, start) {
		used++
	}
	assert.Assert(t, used >= 1000/16 && used <= 1000/15, "%v units", used)
}
