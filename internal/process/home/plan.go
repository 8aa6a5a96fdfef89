package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/identity"
)

// Times and bounds of plans.
const (
	// claimDelayPerRank is how much longer each next-ranked host waits before
	// it claims an endpoint that the higher-ranked hosts have not claimed.
	claimDelayPerRank = 2 * time.Second
	// minStableTime is how long the set of hosts must be unchanged before homes
	// move for balance.
	minStableTime = 30 * time.Second
	// maxImbalance is the maximum ratio of a host's number of homes to the
	// mean.
	maxImbalance = 1.25
	// firstClaimDelay is how long a host waits to discover other hosts before
	// it claims endpoints that never had a home.
	firstClaimDelay = 500 * time.Millisecond
	// A host releases its excess homes in about rebalanceSteps steps of at
	// least minReleases homes each.
	rebalanceSteps = 8
	minReleases    = 2
)

// Member is a live host.
type Member struct {
	Host    identity.Host
	Leaving bool
}

// PlanInput holds everything that a plan depends on.
type PlanInput struct {
	Self identity.Host
	// Leaving is set if this host releases all homes.
	Leaving bool
	// Members are the live hosts, including this one.
	Members []Member
	// MembersChangedAt is when the set of members last changed.
	MembersChangedAt time.Time
	// Endpoints are those of the bundle in force.
	Endpoints []string
	Table     *Table
	// GapAt is when this host skipped trimmed records; zero if it has read the
	// stream from its beginning. The skipped records may hold leases that this
	// host doesn't know of. It reads any renewal of these within a lease's TTL,
	// so it may claim endpoints that it knows nothing of only after that time.
	GapAt    time.Time
	LeaseTTL time.Duration
	// Released holds, by endpoint, the fencing token of the lease that this
	// host has tried to release. Such a lease is never used again, since the
	// release may take effect at any time.
	Released map[string]uint64
	Now      time.Time
}

// Actions are the changes that a host writes to the stream next.
type Actions struct {
	Claim   []string
	Renew   []LeaseRef
	Release []LeaseRef
}

// IsEmpty reports whether there is nothing to write.
func (a Actions) IsEmpty() bool {
	return len(a.Claim) == 0 && len(a.Renew) == 0 && len(a.Release) == 0
}

// Plan decides which endpoints a host claims, renews and releases.
func Plan(input PlanInput) Actions {
	plan := planner{input: input, eligible: eligible(input.Members)}
	wanted := map[string]bool{}
	for _, endpoint := range input.Endpoints {
		wanted[endpoint] = true
		plan.planEndpoint(endpoint)
	}
	plan.releaseRemoved(wanted)
	plan.rebalance()
	return plan.actions
}

// planner collects the actions of one plan.
type planner struct {
	input    PlanInput
	eligible []string
	actions  Actions
}

// eligible returns the names of the members that may become homes.
func eligible(members []Member) []string {
	names := []string{}
	for _, member := range members {
		if !member.Leaving {
			names = append(names, member.Host.Host)
		}
	}
	return names
}

// planEndpoint plans one endpoint of the bundle.
func (p *planner) planEndpoint(endpoint string) {
	entry, found := p.input.Table.Entry(endpoint)
	held := LeaseRef{Endpoint: endpoint, Fence: entry.Fence}
	switch {
	case found && p.isHeldBySelf(entry) && (p.input.Leaving || p.input.Released[endpoint] == entry.Fence):
		p.actions.Release = append(p.actions.Release, held)
	case found && p.isHeldBySelf(entry):
		p.actions.Renew = append(p.actions.Renew, held)
	case p.input.Leaving:
	case p.mayClaim(endpoint, entry, found):
		p.actions.Claim = append(p.actions.Claim, endpoint)
	}
}

// isHeldBySelf reports whether this incarnation holds the endpoint.
func (p *planner) isHeldBySelf(entry Entry) bool {
	return !entry.Free && entry.Holder.Incarnation == p.input.Self.Incarnation
}

// mayClaim reports whether an endpoint has no home and it is this host's turn,
// by rank, to claim it.
func (p *planner) mayClaim(endpoint string, entry Entry, found bool) bool {
	expiry := entry.Expiry()
	if !found {
		expiry = p.unknownLeaseExpiry()
	}
	if p.input.Now.Before(expiry) || !slices.Contains(p.eligible, p.input.Self.Host) {
		return false
	}
	rank := rankOf(endpoint, p.input.Self.Host, p.eligible)
	return !p.input.Now.Before(expiry.Add(time.Duration(rank) * claimDelayPerRank))
}

// unknownLeaseExpiry returns the time at which any lease that this host has not
// read of has expired.
func (p *planner) unknownLeaseExpiry() time.Time {
	input := p.input
	if input.GapAt.IsZero() {
		return input.MembersChangedAt.Add(firstClaimDelay)
	}
	return input.GapAt.Add(input.LeaseTTL + driftMargin(input.LeaseTTL))
}

// releaseRemoved releases endpoints that are no longer in the bundle.
func (p *planner) releaseRemoved(wanted map[string]bool) {
	for endpoint, entry := range p.input.Table.entries {
		if !wanted[endpoint] && p.isHeldBySelf(entry) {
			p.actions.Release = append(p.actions.Release, LeaseRef{Endpoint: endpoint, Fence: entry.Fence})
		}
	}
	slices.SortFunc(p.actions.Release, func(a, b LeaseRef) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}

// rebalance releases a few homes if this host has far more than its share. It
// keeps those for which this host ranks first, since it would claim them again,
// and does nothing until the set of hosts has been stable for minStableTime.
func (p *planner) rebalance() {
	input := p.input
	if input.Leaving || len(p.eligible) == 0 || input.Now.Sub(input.MembersChangedAt) < minStableTime {
		return
	}
	share := maxImbalance * float64(len(input.Endpoints)) / float64(len(p.eligible))
	excess := len(p.actions.Renew) - int(share) - 1
	excess = min(excess, max(excess/rebalanceSteps, minReleases))
	kept := []LeaseRef{}
	for _, held := range p.actions.Renew {
		if excess > 0 && rankOf(held.Endpoint, input.Self.Host, p.eligible) != 0 {
			p.actions.Release = append(p.actions.Release, held)
			excess--
			continue
		}
		kept = append(kept, held)
	}
	p.actions.Renew = kept
}

// rankOf returns a host's rank among hosts for an endpoint, from 0, by
// rendezvous hashing: adding or removing hosts doesn't change the order of the
// others.
func rankOf(endpoint, host string, hosts []string) int {
	rank := 0
	ownWeight := rendezvousWeight(endpoint, host)
	for _, other := range hosts {
		otherWeight := rendezvousWeight(endpoint, other)
		if otherWeight > ownWeight || otherWeight == ownWeight && other < host {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(endpoint, host string) uint64 {
	return xxhash.Sum64String(host + "\n" + endpoint)
}

// LeaseTTL returns the lease TTL for a fleet of the given size, chosen so that
// all renewals together stay within maxRenewalsPerSecond appends to the log.
func LeaseTTL(hosts int) time.Duration {
	ttl := time.Duration(hosts) * renewalsPerTTL * time.Second / maxRenewalsPerSecond
	return min(max(ttl, minLeaseTTL), maxLeaseTTL)
}

// Bounds of leases and renewals.
const (
	minLeaseTTL          = 3 * time.Second
	maxLeaseTTL          = time.Minute
	renewalsPerTTL       = 3
	maxRenewalsPerSecond = 20
)
