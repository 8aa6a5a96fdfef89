package session

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/identity"
)

func newFleet(hosts, domains int) []identity.Host {
	var fleet []identity.Host
	for i := range hosts {
		host := identity.Host{Domain: fmt.Sprint("domain-", i%domains)}
		host.Incarnation = identity.Incarnation{Host: fmt.Sprint("host-", i), Number: 1}
		fleet = append(fleet, host)
	}
	return fleet
}

// witnessCounts returns how often each host was selected as a witness for self.
func witnessCounts(self identity.Host, live []identity.Host) map[identity.Incarnation]int {
	counts := map[identity.Incarnation]int{}
	for draw := range 4 * maxWitnesses {
		counts[PickWitness(self, live, func(n int) int { return draw % n })]++
	}
	return counts
}

func TestWitnesses(t *testing.T) {
	cases := []struct {
		hosts, domains, want int
	}{
		{1, 1, 1}, // no peer: the zero incarnation
		{2, 2, 1},
		{6, 1, 5},
		{9, 3, 6},
		{30, 1, maxWitnesses},
		{330, 10, maxWitnesses},
	}
	for _, c := range cases {
		fleet := newFleet(c.hosts, c.domains)
		chosen := witnessCounts(fleet[0], fleet)
		assert.Equal(t, len(chosen), c.want, "%+v", c)
		assert.Equal(t, chosen[identity.Incarnation{}] > 0, c.hosts == 1, "%+v", c)
		assert.Assert(t, chosen[fleet[0].Incarnation] == 0, "%+v", c)
		for _, host := range fleet {
			if c.domains > 1 && host.Domain == fleet[0].Domain {
				assert.Equal(t, chosen[host.Incarnation], 0, "%+v", c)
			}
		}
	}
}

func TestMembershipChangeAddsAtMostOneWitness(t *testing.T) {
	fleet := newFleet(330, 10)
	before := witnessCounts(fleet[0], fleet)
	for i := 1; i < len(fleet); i += 3 {
		after := witnessCounts(fleet[0], append(append([]identity.Host{}, fleet[:i]...), fleet[i+1:]...))
		added := 0
		for host := range after {
			if before[host] == 0 {
				added++
			}
		}
		assert.Assert(t, added <= 1)
	}
}

func TestWitnessesSpreadOverFleet(t *testing.T) {
	fleet := newFleet(330, 10)
	ownerCounts := map[identity.Incarnation]int{}
	for _, host := range fleet {
		for witness := range witnessCounts(host, fleet) {
			ownerCounts[witness]++
		}
	}
	maxOwners := 0
	for _, count := range ownerCounts {
		maxOwners = max(maxOwners, count)
	}
	assert.Assert(t, maxOwners <= 3*maxWitnesses, "a host witnesses for %d", maxOwners)
}

// BenchmarkPickWitness measures the selection, which is made once per session,
// and reports the number of witnesses that an owner keeps connections to.
func BenchmarkPickWitness(b *testing.B) {
	for _, hosts := range []int{9, 30, 100, 330} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			fleet := newFleet(hosts, 10)
			for b.Loop() {
				PickWitness(fleet[0], fleet, rand.IntN)
			}
			b.ReportMetric(float64(len(witnessCounts(fleet[0], fleet))), "witnesses")
		})
	}
}

// fixedPeers is a fleet that does not change.
type fixedPeers []identity.Host

func (p fixedPeers) Live() []identity.Host { return p }

// A witness that did not reply is named by no session for a while, unless no
// other host is left.
func TestLostWitnessIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, 3)
		issuer := NewIssuer(fleet[0], fixedPeers(fleet[1:]), NewClock())
		named := func() map[identity.Incarnation]bool {
			witnesses := map[identity.Incarnation]bool{}
			for range 64 {
				witnesses[issuer.Issue().Witness] = true
			}
			return witnesses
		}
		assert.Equal(t, len(named()), 2)
		issuer.MarkLost(fleet[1].Incarnation)
		assert.DeepEqual(t, named(), map[identity.Incarnation]bool{fleet[2].Incarnation: true})
		issuer.MarkLost(fleet[2].Incarnation)
		assert.Equal(t, len(named()), 2)
		time.Sleep(lostWitnessTime + time.Second)
		issuer.MarkLost(fleet[2].Incarnation)
		assert.DeepEqual(t, named(), map[identity.Incarnation]bool{fleet[1].Incarnation: true})
	})
}
