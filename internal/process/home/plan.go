package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/identity"
)

// Times and bounds of decisions.
const (
	// rankDelay is how much longer the next best host waits before it claims an
	// endpoint that the best one has not claimed.
	rankDelay = 2 * time.Second
	// settledAfter is how long the set of hosts must be unchanged before homes
	// move for the sake of balance.
	settledAfter = 30 * time.Second
	// imbalance is how far above the mean a host's number of homes may lie.
	imbalance = 1.25
	// joinDelay is how long a host waits for news of other hosts before it
	// claims endpoints that never had a home.
	joinDelay = 500 * time.Millisecond
	// A host gives up what it has too much of in about releaseSteps steps of at
	// least minReleases homes each.
	releaseSteps = 8
	minReleases  = 2
)

// Member is a host that may be a home.
type Member struct {
	Host    identity.Host
	Leaving bool
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Self identity.Host
	// Leaving tells that this host gives back all homes.
	Leaving bool
	// Members are the live hosts, with this one.
	Members []Member
	// MembersSince is when the set of members last changed.
	MembersSince time.Time
	// Endpoints are those of the bundle in force.
	Endpoints []string
	Table     *Table
	// UnseenSince is from when on this host would have read a renewal of any
	// lease: it may claim endpoints that it knows nothing of only a lease later.
	// Zero means that it has read the stream from its beginning.
	UnseenSince time.Time
	Lease       time.Duration
	// Released holds, by endpoint, the fencing number of the lease that this
	// host has tried to give back. Such a lease is never used again, since the
	// release may take effect at any time.
	Released map[string]uint64
	Now      time.Time
}

// Actions are what a host writes to the stream next.
type Actions struct {
	Claim   []string
	Renew   []Held
	Release []Held
}

// IsEmpty reports whether there is nothing to write.
func (a Actions) IsEmpty() bool {
	return len(a.Claim) == 0 && len(a.Renew) == 0 && len(a.Release) == 0
}

// Plan decides what a host claims, renews and gives back.
func Plan(s Snapshot) Actions {
	plan := planner{snapshot: s, eligible: eligible(s.Members)}
	wanted := map[string]bool{}
	for _, endpoint := range s.Endpoints {
		wanted[endpoint] = true
		plan.decide(endpoint)
	}
	plan.dropUnwanted(wanted)
	plan.balance()
	return plan.actions
}

// planner collects the actions of one plan.
type planner struct {
	snapshot Snapshot
	eligible []string
	actions  Actions
}

// eligible gives the names of the members that may be a home.
func eligible(members []Member) []string {
	names := []string{}
	for _, member := range members {
		if !member.Leaving {
			names = append(names, member.Host.Host)
		}
	}
	return names
}

// decide decides on one endpoint of the bundle.
func (p *planner) decide(endpoint string) {
	entry, found := p.snapshot.Table.Entry(endpoint)
	held := Held{Endpoint: endpoint, Fence: entry.Fence}
	switch {
	case found && p.isMine(entry) && (p.snapshot.Leaving || p.snapshot.Released[endpoint] == entry.Fence):
		p.actions.Release = append(p.actions.Release, held)
	case found && p.isMine(entry):
		p.actions.Renew = append(p.actions.Renew, held)
	case p.snapshot.Leaving:
	case p.mayClaim(endpoint, entry, found):
		p.actions.Claim = append(p.actions.Claim, endpoint)
	}
}

// isMine reports whether this very process holds the endpoint.
func (p *planner) isMine(entry Entry) bool {
	return !entry.Free && entry.Holder.Incarnation == p.snapshot.Self.Incarnation
}

// mayClaim reports whether an endpoint has no home and this host is next to
// claim it.
func (p *planner) mayClaim(endpoint string, entry Entry, found bool) bool {
	free := entry.Lapsed()
	if !found {
		free = p.unseenLapsed()
	}
	if p.snapshot.Now.Before(free) || !slices.Contains(p.eligible, p.snapshot.Self.Host) {
		return false
	}
	rank := rankOf(endpoint, p.snapshot.Self.Host, p.eligible)
	return !p.snapshot.Now.Before(free.Add(time.Duration(rank) * rankDelay))
}

// unseenLapsed is when a lease that this host has not read of has lapsed.
func (p *planner) unseenLapsed() time.Time {
	s := p.snapshot
	if s.UnseenSince.IsZero() {
		return s.MembersSince.Add(joinDelay)
	}
	return s.UnseenSince.Add(s.Lease + driftMargin(s.Lease))
}

// dropUnwanted gives back endpoints that the bundle no longer has.
func (p *planner) dropUnwanted(wanted map[string]bool) {
	for endpoint, entry := range p.snapshot.Table.entries {
		if !wanted[endpoint] && p.isMine(entry) {
			p.actions.Release = append(p.actions.Release, Held{Endpoint: endpoint, Fence: entry.Fence})
		}
	}
	slices.SortFunc(p.actions.Release, func(a, b Held) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}

// balance gives up a few homes if this host has far more than its share. It
// leaves alone those for which this host is the best, so that they don't come
// back, and does nothing while hosts come and go.
func (p *planner) balance() {
	s := p.snapshot
	if s.Leaving || len(p.eligible) == 0 || s.Now.Sub(s.MembersSince) < settledAfter {
		return
	}
	share := imbalance * float64(len(s.Endpoints)) / float64(len(p.eligible))
	excess := len(p.actions.Renew) - int(share) - 1
	excess = min(excess, max(excess/releaseSteps, minReleases))
	kept := []Held{}
	for _, held := range p.actions.Renew {
		if excess > 0 && rankOf(held.Endpoint, s.Self.Host, p.eligible) != 0 {
			p.actions.Release = append(p.actions.Release, held)
			excess--
			continue
		}
		kept = append(kept, held)
	}
	p.actions.Renew = kept
}

// rankOf gives a host's place among hosts for an endpoint, from 0, by rendezvous
// hashing: hosts that come and go do not change the order of the others.
func rankOf(endpoint, host string, hosts []string) int {
	rank := 0
	own := weight(endpoint, host)
	for _, other := range hosts {
		rival := weight(endpoint, other)
		if rival > own || rival == own && other < host {
			rank++
		}
	}
	return rank
}

func weight(endpoint, host string) uint64 {
	return xxhash.Sum64String(host + "\n" + endpoint)
}

// LeaseFor gives how long leases hold in a fleet of a number of hosts, so that
// all renewals together fit the log.
func LeaseFor(hosts int) time.Duration {
	lease := time.Duration(hosts) * renewalsPerLease * time.Second / maxRenewalsPerSecond
	return min(max(lease, minLease), maxLease)
}

// Bounds of leases and renewals.
const (
	minLease             = 3 * time.Second
	maxLease             = time.Minute
	renewalsPerLease     = 3
	maxRenewalsPerSecond = 20
)
