package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/allowance"
)

// A team that kept using its whole limit got more than that when all hosts restarted:
// its usage after the last record was taken for none.
func TestSteadyTeamWhenAllHostsRestart(t *testing.T) {
	const uncovered, down = 950 * time.Millisecond, 400 * time.Millisecond
	uses := &usageRecord{}
	before := allowance.NewTeamLimit(config, allowance.NewHosts(start), true, start)
	crashAt := start.Add(20 * time.Second)
	var history allowance.History
	for now := start; now.Before(crashAt); now = now.Add(10 * time.Millisecond) {
		if before.Take(2.5, true, now) { // twice what the limit allows
			uses.add(2.5, now)
		}
		if now.Equal(crashAt.Add(-uncovered)) {
			history, _ = before.History(now)
		}
	}
	restartedAt := crashAt.Add(down)
	after := allowance.NewTeamLimit(config, allowance.NewHosts(start), false, restartedAt)
	after.Restore(&history, uncovered+down, restartedAt)
	for now := restartedAt; now.Before(restartedAt.Add(2 * window)); now = now.Add(10 * time.Millisecond) {
		if after.Take(2.5, true, now) {
			uses.add(2.5, now)
		}
	}
	assert.Assert(t, uses.highest(window) <= allowedInWindow, "%v", uses.highest(window))
	assert.Assert(t, uses.since(restartedAt.Add(window)) >= 900, "%v", uses.since(restartedAt.Add(window)))
}

// allowedInWindow is what the platform tolerates in a window with config.
const allowedInWindow = 1000*1.1 + 200
