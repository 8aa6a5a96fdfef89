package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/peers"
)

// A host that followed a slow reader through a storm of changes never counted as behind:
// the lag was measured from the last record that it had read.
func TestLagOfHostThatAdvancesSlowly(t *testing.T) {
	other := netip.MustParseAddrPort("10.0.0.1:7600")
	ahead := uint64(0)
	find := func(condition func(peers.Status) bool, _ time.Time) (netip.AddrPort, bool) {
		if condition(peers.Status{OperatorNext: ahead}) {
			return other, false
		}
		return netip.AddrPort{}, false
	}
	for _, test := range []struct {
		name string
		// lag is by how many records this host is behind the other one, which reads one in
		// each interval.
		lag      uint64
		interval time.Duration
		isBehind bool
	}{
		{"not behind", 0, 50 * time.Millisecond, false},
		{"behind within what is allowed", 2, 100 * time.Millisecond, false},
		{"behind for longer", 20, 100 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := &lagDetector{allowed: maxOperatorLag}
			found := false
			now := time.Now()
			for ahead = test.lag + 1; ahead < 100; ahead++ {
				now = now.Add(test.interval)
				address := detector.check(find, now, true, at(ahead-test.lag), func(s peers.Status) keyed.Position { return s.OperatorPosition() })
				found = found || address == other
			}
			assert.Equal(t, found, test.isBehind)
		})
	}
}
