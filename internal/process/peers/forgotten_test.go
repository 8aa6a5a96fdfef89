package peers

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// largeCuts adds fleets of 90 and 300 hosts, which take minutes.
var largeCuts = flag.Bool("large-cuts", false, "cut fleets of 90 and 300 hosts, too")

// Parts of a fleet that had been apart for longer than it takes to forget a host stayed apart
// after their link was back, each with the whole of every limit.
func TestPartsOfAFleetFindEachOther(t *testing.T) {
	domainOf := func(a netip.AddrPort) byte { return a.Addr().As4()[1] }
	type fleet struct{ carrying, idle int }
	fleets := []fleet{{2, 0}, {2, 12}}
	if *largeCuts {
		fleets = append(fleets, fleet{2, 28}, fleet{3, 97})
	}
	cuts := map[string]func(from, to netip.AddrPort) bool{
		"in two":   func(from, to netip.AddrPort) bool { return (domainOf(from) == 0) != (domainOf(to) == 0) },
		"in three": func(from, to netip.AddrPort) bool { return domainOf(from) != domainOf(to) },
		"one-way":  func(from, to netip.AddrPort) bool { return domainOf(from) == 0 && domainOf(to) != 0 },
	}
	for _, size := range fleets {
		for name, isLost := range cuts {
			for _, duration := range []time.Duration{30 * time.Second, 5 * time.Minute} {
				t.Run(fmt.Sprintf("%d hosts %s for %v", 3*(size.carrying+size.idle), name, duration), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						n := newNetwork(t, 3, size.carrying, size.idle)
						time.Sleep(5 * time.Second)
						n.setLost(isLost)
						time.Sleep(duration)
						lowest, _ := n.reachable()
						assert.Assert(t, lowest < len(n.hosts)-1)
						n.setLost(nil)
						time.Sleep(5 * time.Second)
						lowest, _ = n.reachable()
						assert.Equal(t, lowest, len(n.hosts)-1)
					})
				})
			}
		}
	}
}

// sentTo returns the hosts that get messages in a period, and how many they get together.
func sentTo(m *Membership, from time.Time, period time.Duration) (to map[netip.AddrPort]bool, count int) {
	to = map[netip.AddrPort]bool{}
	for now := from; now.Before(from.Add(period)); now = now.Add(minSendInterval) {
		addresses, _ := m.recipients(now)
		count += len(addresses)
		for _, address := range addresses {
			to[address] = true
		}
	}
	return to, count
}

// A host that is alone sends a message a second to hosts that it has forgotten, however many.
func TestForgottenHostsAreLookedForAtAConstantRate(t *testing.T) {
	m := NewMembership(host("1"))
	for i := range 2000 {
		m.AddPeer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7600), start)
	}
	now := start.Add(forgetTimeout + time.Minute)
	m.recipients(now)
	assert.Equal(t, m.knownCount(), 0)
	assert.Equal(t, m.ForgottenCount(), defaultMaxForgotten)
	const seconds = 1000
	to, count := sentTo(m, now, seconds*time.Second)
	assert.Assert(t, count > 0.9*seconds && count < 1.1*seconds, "%d messages in %d s", count, seconds)
	assert.Assert(t, len(to) > seconds/2, "%d hosts", len(to))
	sentTo(m, now.Add(reconnectTimeout+time.Minute), 2*reconnectInterval)
	assert.Equal(t, m.ForgottenCount(), 0)
}

// Seeds were asked only at the start.
func TestSeedsAreAlwaysLookedFor(t *testing.T) {
	m := NewMembership(host("1"))
	seed := peerAddress("2")
	m.AddSeed(seed, start)
	now := start.Add(2 * reconnectTimeout)
	m.recipients(now)
	sentTo(m, now, 2*reconnectInterval)
	to, _ := sentTo(m, now.Add(reconnectTimeout+time.Minute), 2*reconnectInterval)
	assert.Assert(t, to[seed])
	// A reachable seed receives the usual messages only.
	now = now.Add(2 * reconnectTimeout)
	receiveStatus(m, host("2"), 1, Status{}, now)
	_, count := sentTo(m, now, reachableTimeout/2)
	assert.Equal(t, count, int(reachableTimeout/2/minSendInterval)+1)
}
