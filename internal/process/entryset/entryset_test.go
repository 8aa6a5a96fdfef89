package entryset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	wide   = Resources{Cores: 0.8, LinkMbps: 200, Connections: 4000}
	narrow = Resources{Cores: 0.192, LinkMbps: 10, Connections: 900}
)

// fleet returns hosts in some domains: in each of them, the given number of
// large and of small ones.
func fleet(domains, large, small int) []Host {
	var hosts []Host
	for d := range domains {
		for i := range large + small {
			h := Host{Address: fmt.Sprintf("10.%d.0.%03d:1", d, i), Domain: fmt.Sprint("z", d), Capacity: narrow, IsSettled: true}
			if i < large {
				h.Capacity = wide
			}
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func without(hosts []Host, drop func(Host) bool) []Host {
	return slices.DeleteFunc(slices.Clone(hosts), drop)
}

func isLarge(h Host) bool { return h.Capacity == wide }

func countLarge(hosts []Host) int { return len(hosts) - len(without(hosts, isLarge)) }

// The sizes of fleet that the users run or plan, at rest and under load.
func TestSelect(t *testing.T) {
	for _, test := range []struct {
		name         string
		hosts        []Host
		demand       Resources
		large, small int
	}{
		{"a single host", fleet(1, 0, 1), Resources{}, 0, 1},
		{"6 equal hosts all carry callers", fleet(3, 0, 2), Resources{}, 0, 6},
		{"9 equal hosts all carry callers", fleet(3, 0, 3), Resources{}, 0, 9},
		{"61 hosts", fleet(3, 2, 18), Resources{}, 6, 0},
		{"85 hosts at rest", fleet(3, 2, 26), Resources{}, 6, 0},
		{"85 hosts in a burst", fleet(3, 2, 26), Resources{Cores: 2.6, LinkMbps: 80, Connections: 1000}, 6, 0},
		{"295 hosts", fleet(5, 3, 56), Resources{Cores: 6, LinkMbps: 300, Connections: 3000}, 15, 0},
		{"85 equal hosts at rest", fleet(3, 0, 28), Resources{}, 0, 16},
		{"85 equal hosts under load", fleet(3, 0, 28), Resources{Cores: 3}, 0, 27},
		{"more load than the large hosts bear", fleet(3, 2, 26), Resources{Cores: 5}, 6, 38},
		{"more load than the small hosts' links bear", fleet(3, 2, 26), Resources{LinkMbps: 2000}, 6, 0},
		{"a failure domain is lost", fleet(2, 2, 26), Resources{Cores: 1.5}, 4, 0},
		{"a single large host cannot bear a loss", fleet(1, 1, 20), Resources{}, 1, 3},
		{"all large hosts are lost", without(fleet(3, 2, 26), isLarge), Resources{Cores: 1.4}, 0, 16},
		{"all large hosts of one domain only", without(fleet(3, 4, 20), func(h Host) bool { return isLarge(h) && h.Domain != "z0" }), Resources{}, 4, 2},
		{"unlimited resources", []Host{{Address: "a"}, {Address: "b"}}, Resources{Cores: 9}, 0, 2},
		{"no host", nil, Resources{}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := Select(test.hosts, test.demand)
			assert.Equal(t, countLarge(set), test.large)
			assert.Equal(t, len(set)-countLarge(set), test.small)
		})
	}
}

// A host that has just come back is selected only if it is needed.
func TestUnsettledHosts(t *testing.T) {
	hosts := fleet(3, 2, 26)
	hosts[0].IsSettled = false
	assert.Equal(t, len(Select(hosts, Resources{})), 5)
	for i := range hosts {
		hosts[i].IsSettled = false
	}
	assert.Equal(t, len(Select(hosts, Resources{})), 6)
}

// The set follows the load up at once and down slowly: callers drop their
// connections to addresses that are no longer named.
func TestSelectorHysteresis(t *testing.T) {
	hosts := fleet(3, 0, 28)
	now := time.Unix(1_700_000_000, 0)
	selector := Selector{}
	assert.Equal(t, len(selector.Select(hosts, now)), 16)
	for i := range hosts {
		hosts[i].Used.Cores = 3.0 / float64(len(hosts))
	}
	now = now.Add(100 * time.Millisecond)
	assert.Equal(t, len(selector.Select(hosts, now)), 27)
	for i := range hosts {
		hosts[i].Used.Cores = 0
	}
	assert.Equal(t, len(selector.Select(hosts, now.Add(2*time.Second))), 25)
	assert.Equal(t, len(selector.Select(hosts, now.Add(time.Minute))), 16)
}

// The load of a burst on 85 hosts: 5 s of 1.7 times the traffic, then the loss
// of a failure domain in the burst. Callers stay with the same hosts.
func TestBurstKeepsTheSet(t *testing.T) {
	hosts := fleet(3, 2, 26)
	now := time.Unix(1_700_000_000, 0)
	selector := Selector{}
	before := selector.Select(hosts, now)
	for i := range hosts {
		if isLarge(hosts[i]) {
			hosts[i].Used = Resources{Cores: 0.39, LinkMbps: 20, Connections: 200}
		}
	}
	assert.DeepEqual(t, addresses(selector.Select(hosts, now.Add(time.Second))), addresses(before))
	survivors := without(hosts, func(h Host) bool { return h.Domain == "z1" })
	after := selector.Select(survivors, now.Add(2*time.Second))
	assert.DeepEqual(t, addresses(after), addresses(without(before, func(h Host) bool { return h.Domain == "z1" })))
}

func addresses(hosts []Host) []string {
	var list []string
	for _, h := range hosts {
		list = append(list, h.Address)
	}
	slices.Sort(list)
	return list
}

// For any fleet and load, the set is the same for every order of the hosts, and
// the loss of any failure domain leaves an address while there are several.
func TestSelectProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Host {
			return Host{
				Address: rapid.StringMatching(`10\.[0-9]\.[0-9]\.[0-9]{3}`).Draw(t, "address"), Domain: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "domain"),
				Capacity:  Resources{rapid.SampledFrom([]float64{0, 0.192, 0.4, 0.8, 3}).Draw(t, "cores"), rapid.SampledFrom([]float64{0, 10, 20, 200}).Draw(t, "mbps"), float64(rapid.IntRange(0, 4000).Draw(t, "connections"))},
				IsSettled: rapid.Bool().Draw(t, "settled"),
			}
		}), 1, 320, func(h Host) string { return h.Address }).Draw(t, "hosts")
		demand := Resources{rapid.Float64Range(0, 200).Draw(t, "cores"), rapid.Float64Range(0, 5000).Draw(t, "mbps"), rapid.Float64Range(0, 1e5).Draw(t, "connections")}
		set := Select(hosts, demand)
		if len(set) == 0 || len(set) > MaxHosts {
			t.Fatalf("%d hosts selected", len(set))
		}
		if countDomains(hosts) > 1 && countDomains(set) < 2 {
			t.Fatalf("the set is in one failure domain: %v", set)
		}
		shuffled := rapid.Permutation(hosts).Draw(t, "shuffled")
		if got, want := addresses(Select(shuffled, demand)), addresses(set); !slices.Equal(got, want) {
			t.Fatalf("%v for one order, %v for another", got, want)
		}
	})
}

// Callers were sent to hosts that had lost all endpoints of a service. They are sent to
// the others, and to some of those only if the others are too few to bear losses.
func TestSelectAvoidsCutOffHosts(t *testing.T) {
	for _, test := range []struct {
		name                string
		hosts               []Host
		isCutOff            func(i int) bool
		connected, wantCut  int
		wantConnectedAtMost int
	}{
		{"one of 6", fleet(3, 0, 2), func(i int) bool { return i == 0 }, 5, 0, 5},
		{"a domain of 9", fleet(3, 0, 3), func(i int) bool { return i < 3 }, 6, 0, 6},
		{"six of 9", fleet(3, 0, 3), func(i int) bool { return i%3 != 0 }, 3, 1, 3},
		{"all but one of 6", fleet(3, 0, 2), func(i int) bool { return i != 0 }, 1, 3, 1},
		{"all of 6", fleet(3, 0, 2), func(int) bool { return true }, 0, 6, 0},
		{"a domain of 295", fleet(5, 3, 56), func(i int) bool { return i < 59 }, 4, 0, 12},
		{"all large ones of 295", fleet(5, 3, 56), func(i int) bool { return i%59 < 3 }, 4, 0, 64},
		{"all but two of 295", fleet(5, 3, 56), func(i int) bool { return i > 1 }, 2, 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i := range test.hosts {
				test.hosts[i].IsCutOff = test.isCutOff(i)
			}
			set := Select(test.hosts, Resources{})
			cutOff := len(without(set, func(h Host) bool { return !h.IsCutOff }))
			assert.Equal(t, cutOff, test.wantCut)
			assert.Assert(t, len(set)-cutOff >= test.connected && len(set)-cutOff <= test.wantConnectedAtMost, "%d connected hosts", len(set)-cutOff)
			assert.Assert(t, bearsLosses(set, test.hosts))
		})
	}
}

// Whatever hosts are cut off, the selection is not empty.
func TestSelectionIsNeverEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(0, 3).Draw(t, "large"), rapid.IntRange(1, 8).Draw(t, "small"))
		for i := range hosts {
			hosts[i].IsCutOff, hosts[i].IsSettled = rapid.Bool().Draw(t, "cut"), rapid.Bool().Draw(t, "settled")
		}
		set := Select(hosts, Resources{Cores: rapid.Float64Range(0, 20).Draw(t, "cores")})
		if !bearsLosses(set, hosts) {
			t.Fatalf("%d of %d hosts selected", len(set), len(hosts))
		}
	})
}
