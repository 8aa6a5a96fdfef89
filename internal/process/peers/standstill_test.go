package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/allowance"
)

// A host that had stood still took all others for unreachable until it had read their
// messages: its directory named only itself.
func TestHostsStayReachableAsThisOneStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMembership(host("9"))
		receiveStatus(m, host("1"), 1, Status{Ready: true}, m.Now())
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, frontendAddresses(m, m.Now()), []string{"1:1"})
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			m.Now()
		}
		assert.Equal(t, len(frontendAddresses(m, m.Now())), 0, "it has ended meanwhile")
	})
}

// After a standstill, limits are shared as with hosts that are cut off until these have
// reported their usage again.
func TestUsageIsOutdatedAfterStandstill(t *testing.T) {
	m := NewMembership(host("9"))
	receiveStatus(m, host("1"), 1, Status{}, start)
	name := host("1").PeerAddress.String()
	reported := m.Sharers(start)
	assert.Assert(t, reported[name] != allowance.Sharer{})
	m.MarkAllOutdated()
	assert.DeepEqual(t, m.Sharers(start), map[string]allowance.Sharer{name: {}})
	receiveStatus(m, host("1"), 2, Status{}, start)
	assert.DeepEqual(t, m.Sharers(start), reported)
}

// The age of a relayed message includes the time for which its relay did not run.
func TestRelayedAgeIncludesStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMembership(host("9"))
		receiveStatus(m, host("1"), 1, Status{}, m.Now())
		time.Sleep(4 * time.Second)
		now := m.Now()
		for _, p := range m.peers {
			assert.Equal(t, p.summary(false, now, m.clock.Stood()).AgeMillis, int64(4000))
		}
	})
}
