package intake_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/intake"
)

func TestLimits(t *testing.T) {
	for _, m := range []intake.Machine{{}, {112 << 20, 4100}, {184 << 20, 4100}, {536 << 20, 8192}, {96 << 20, 1000}} {
		l := intake.LimitsOf(m)
		if m.MemoryBytes > 0 {
			connections := l.Callers + l.Peers + 3*l.Others
			assert.Assert(t, connections < m.Descriptors, "%+v", l)
			assert.Assert(t, l.HeadMemory+l.BodyMemory+connections*(16<<10) < m.MemoryBytes*6/10, "%+v", l)
		}
		// A body at the limit fits while its buffer of half the size is copied.
		assert.Assert(t, l.BodyMemoryFor(4<<20) >= 6<<20, "%+v", l)
		// So does a head of 16 KiB, of short lines.
		assert.Assert(t, intake.HeadMemory(16<<10, 4<<10) < l.HeadMemory)
		assert.Assert(t, l.BodyMemoryFor(1) > l.BodyMemoryFor(1<<20))
	}
	assert.Equal(t, intake.HeadMemory(1500, 30), 0)
}

// A crowd takes all connections or memory: the next caller gets room from those that are
// refused, stalled or largest, and never from a request that has arrived.
func TestOrderOfShedding(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	holders := map[string]intake.Holder{
		"refused":      {Phase: intake.PhaseEnding, Since: now, Body: 1},
		"slow head":    {Phase: intake.PhaseHead, Since: ago(3 * time.Second), Head: 10},
		"silent":       {Phase: intake.PhaseNew, Since: ago(2 * time.Second)},
		"stalled body": {Phase: intake.PhaseBody, Since: ago(1500 * time.Millisecond), Head: 5, Body: 100},
		"large body":   {Phase: intake.PhaseBody, Since: now, Body: 5000},
		"small body":   {Phase: intake.PhaseBody, Since: now, Body: 50},
		"young":        {Phase: intake.PhaseNew, Since: ago(300 * time.Millisecond)},
		"kept":         {Phase: intake.PhaseKept, Since: ago(9 * time.Second)},
		"served":       {Phase: intake.PhaseServing, Since: ago(9 * time.Second), Head: 9000, Body: 9000},
		"just come":    {Phase: intake.PhaseNew, Since: now},
	}
	order := func(r intake.Resource, held, more int) (names []string) {
		for name, h := range holders {
			if intake.CanShed(h, r, held, more, now) {
				names = append(names, name)
			}
		}
		slices.SortFunc(names, func(a, b string) int {
			if intake.ShedsBefore(holders[a], holders[b], r, now) {
				return -1
			}
			return 1
		})
		return names
	}
	assert.DeepEqual(t, order(intake.ResourceConnection, 0, 0), []string{"refused", "slow head", "silent", "stalled body", "young", "kept"})
	assert.DeepEqual(t, order(intake.ResourceHeadMemory, 0, 1), []string{"slow head", "stalled body"})
	assert.DeepEqual(t, order(intake.ResourceBodyMemory, 0, 60), []string{"refused", "stalled body", "large body"})
	assert.DeepEqual(t, order(intake.ResourceBodyMemory, 4000, 4000), []string{"refused", "stalled body"})
}
