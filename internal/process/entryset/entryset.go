// Package entryset selects the hosts that callers are sent to: hosts and their
// measured load go in, addresses come out. It reads no clock and sends nothing,
// so that hosts with the same view give callers the same answer.
//
// It is built for large fleets of unlike hosts and requests that are shorter
// than a load report takes to reach every host. A host that carries callers
// places their requests by what it knows of the other carriers' load, so few
// carriers decide with fresher loads than many do. The set is therefore as small
// as the load allows, and large enough to bear the loss of a failure domain.
//
// Callers choose among the addresses at random, with equal probability. A set
// of n hosts thus carries n times what its smallest host can, and adding small
// hosts to large ones can reduce what the set carries.
package entryset

import (
	"cmp"
	"slices"
)

// Resources are amounts of what hosts need to serve callers.
type Resources struct {
	// Cores is processor time per time.
	Cores float64 `json:"cores"`
	// LinkMbps is the traffic on the network link in Mbit/s, in its busier
	// direction.
	LinkMbps float64 `json:"link_mbps"`
	// Connections is the number of callers' connections.
	Connections float64 `json:"connections"`
}

// Host is a host that accepts callers.
type Host struct {
	// Address is where callers connect.
	Address string
	// Domain is the host's failure domain.
	Domain string
	// Capacity is what the host has; a field that is 0 is unknown and sets no
	// limit. Used is what it spent on callers lately.
	Capacity, Used Resources
	// IsCutOff is set if the host can reach no endpoint of some service. Other hosts
	// then carry its callers' requests to it.
	IsCutOff bool
	// IsSettled is set once the host has been reachable for some time. Hosts
	// that come and go are selected only if they are needed.
	IsSettled bool
}

const (
	// MaxHosts is the largest size of a set.
	MaxHosts = 64
	// minHosts and minDomains bear losses that come faster than the set can
	// change.
	minHosts   = 4
	minDomains = 2
	// fewHosts is the number of hosts up to which the exchange of loads is as
	// fast as it gets, so that a smaller set would gain nothing.
	fewHosts = 16
	// similarCapacity is the share of the largest capacity from which hosts
	// count as equally large.
	similarCapacity = 0.5
	// targetUtilization is the share of its capacity that a host may use while
	// the set can grow by a host of similar size. It leaves room for the share
	// of a failure domain that is lost, until the set has grown.
	targetUtilization = 0.6
	// maxUtilization is that share if the set can only grow by smaller hosts.
	maxUtilization = 0.85
)

// Select returns the hosts to send callers to, given what callers need of all
// hosts together.
func Select(hosts []Host, demand Resources) []Host {
	connected := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.IsCutOff })
	if len(connected) == 0 {
		connected = hosts // no host is better than another
	}
	settled := slices.DeleteFunc(slices.Clone(connected), func(h Host) bool { return !h.IsSettled })
	set, suffices := selectFrom(settled, demand)
	if suffices && bearsLosses(set, hosts) {
		return set
	}
	set, _ = selectFrom(connected, demand)
	return addForLosses(set, hosts)
}

// addForLosses adds hosts that are cut off to a set that is too small to bear losses.
// They relieve no other host, since those carry their requests.
func addForLosses(set, hosts []Host) []Host {
	cutOff := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return !h.IsCutOff })
	set = slices.Clone(set)
	for _, h := range orderByPreference(cutOff) {
		if bearsLosses(set, hosts) {
			break
		}
		set = append(set, h)
	}
	return set
}

// bearsLosses reports whether a set has the least number of hosts and failure
// domains, as far as the fleet has them.
func bearsLosses(set, fleet []Host) bool {
	return len(set) >= min(minHosts, len(fleet)) && countDomains(set) >= min(minDomains, countDomains(fleet))
}

func countDomains(hosts []Host) int {
	domains := map[string]bool{}
	for _, h := range hosts {
		domains[h.Domain] = true
	}
	return len(domains)
}

// selectFrom returns the shortest sufficient prefix of the hosts in order of
// preference. If no prefix suffices, it returns the one with the lowest
// utilization.
func selectFrom(hosts []Host, demand Resources) (set []Host, suffices bool) {
	ordered := orderByPreference(hosts)
	best, lowest := 0, 0.0
	for n := startSize(ordered); n <= min(len(ordered), MaxHosts); n++ {
		used := utilization(ordered[:n], demand)
		if used <= allowedUtilization(ordered, n) {
			return ordered[:n], true
		}
		if best == 0 || used < lowest {
			best, lowest = n, used
		}
	}
	return ordered[:best], false
}

// allowedUtilization returns the utilization up to which the first n hosts
// suffice.
func allowedUtilization(ordered []Host, n int) float64 {
	if n == 0 || n < len(ordered) && sizeOf(ordered[n], ordered[n-1].Capacity) >= similarCapacity {
		return targetUtilization
	}
	return maxUtilization
}

// utilization returns the share of its capacity that the most loaded host of a
// set uses if the hosts share the demand evenly.
func utilization(set []Host, demand Resources) float64 {
	highest := 0.0
	for _, h := range set {
		highest = max(highest, h.Capacity.shareTaken(demand))
	}
	return highest / float64(len(set))
}

// shareTaken returns the largest share that an amount takes of any resource.
func (r Resources) shareTaken(amount Resources) float64 {
	share := 0.0
	for _, pair := range [][2]float64{{amount.Cores, r.Cores}, {amount.LinkMbps, r.LinkMbps}, {amount.Connections, r.Connections}} {
		if pair[1] > 0 {
			share = max(share, pair[0]/pair[1])
		}
	}
	return share
}

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{Cores: r.Cores + other.Cores, LinkMbps: r.LinkMbps + other.LinkMbps, Connections: r.Connections + other.Connections}
}

// Scale returns a multiple of the amounts.
func (r Resources) Scale(factor float64) Resources {
	return Resources{Cores: r.Cores * factor, LinkMbps: r.LinkMbps * factor, Connections: r.Connections * factor}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{Cores: max(r.Cores, other.Cores), LinkMbps: max(r.LinkMbps, other.LinkMbps), Connections: max(r.Connections, other.Connections)}
}

// startSize returns the size of the smallest set to consider: all of the largest
// hosts, but no more of them than exchange their loads quickly, and enough to
// bear losses.
func startSize(ordered []Host) int {
	largest := maxCapacity(ordered)
	for size, next := range ordered {
		isLast := size >= fewHosts || sizeOf(next, largest) < similarCapacity
		if isLast && bearsLosses(ordered[:size], ordered) {
			return size
		}
	}
	return len(ordered)
}

func maxCapacity(hosts []Host) Resources {
	largest := Resources{}
	for _, h := range hosts {
		largest = largest.Max(h.Capacity)
	}
	return largest
}

// sizeOf returns the share of the largest capacity that a host has, of the
// resource of which it has least.
func sizeOf(h Host, largest Resources) float64 {
	size := 1.0
	for _, pair := range [][2]float64{{h.Capacity.Cores, largest.Cores}, {h.Capacity.LinkMbps, largest.LinkMbps}, {h.Capacity.Connections, largest.Connections}} {
		if pair[0] > 0 && pair[1] > 0 {
			size = min(size, pair[0]/pair[1])
		}
	}
	return size
}

// orderByPreference returns the hosts with the largest ones first. Hosts of a
// size take turns by failure domain, so that each prefix is spread over the
// domains.
func orderByPreference(hosts []Host) []Host {
	largest := maxCapacity(hosts)
	type ranked struct {
		Host
		size float64
		// turn is the number of hosts of the same size and domain before it.
		turn int
	}
	ordered := make([]ranked, len(hosts))
	for i, h := range hosts {
		ordered[i] = ranked{Host: h, size: sizeOf(h, largest)}
	}
	slices.SortFunc(ordered, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.Address, b.Address))
	})
	type group struct {
		size   float64
		domain string
	}
	turns := map[group]int{}
	for i := range ordered {
		g := group{ordered[i].size, ordered[i].Domain}
		ordered[i].turn = turns[g]
		turns[g]++
	}
	slices.SortStableFunc(ordered, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.turn, b.turn), cmp.Compare(a.Domain, b.Domain))
	})
	result := make([]Host, len(ordered))
	for i := range ordered {
		result[i] = ordered[i].Host
	}
	return result
}
