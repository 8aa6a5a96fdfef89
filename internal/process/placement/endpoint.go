package placement

import (
	"sync/atomic"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/limit"
	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/request/tier"
	"mustarddoor/internal/version/bundle"
)

const (
	// heartbeatInterval is how often a holder reports at least, idleHeartbeat the same
	// while nothing of it runs or waits at the endpoint.
	heartbeatInterval     = 500 * time.Millisecond
	idleHeartbeatInterval = time.Second
	// homeTimeout is how long a home may be silent and still count as reachable.
	homeTimeout = 3 * heartbeatInterval
	// engineOrphanTTL and plainOrphanLife are how long requests may run at an
	// endpoint after their host was lost.
	engineOrphanTTL = 5 * time.Minute
	plainOrphanTTL  = 2 * time.Second
	// maxPeers bounds the mesh addresses that a home remembers.
	maxPeers = slot.MaxHolders
)

// endpointState is what the process keeps of one endpoint, whatever the configuration.
type endpointState struct {
	id     uint16
	spec   bundle.Endpoint
	holder *slot.Holder
	live   *scheduler.Live
	// dirty tells that the home should hear news of this holder.
	dirty      atomic.Bool
	reportedAt time.Time
	// reportedWaiting is the demand in the last report.
	reportedWaiting tier.Counts
	samples         slowdownSamples
	// plain tells that the endpoint is a plain service, which reports no load.
	plain bool
	// inService tells that the endpoint takes new work.
	inService bool
	// home is the endpoint's home, known if hasHome.
	home    Home
	hasHome bool
	// homeRole is the home's part, if this host is the home.
	homeRole *homeRole
	// onLimitChange is told of the limits that this host sets as the home.
	onLimitChange func(LimitChange)
	// targetDemand are the requests that wait for a slot of just this endpoint.
	targetDemand tier.Counts
	// engineIncarnation is the endpoint's incarnation by its last load report, cacheNext
	// the next cache event.
	engineIncarnation string
	nextCacheSequence uint64
	// detached are slots of requests that this host no longer follows, the
	// oldest first.
	detached []detachedSlot
}

// detachedSlot is a slot in use by a request that this host no longer follows.
type detachedSlot struct {
	tier  tier.Tier
	since time.Time
}

// detachedTTL is how long such a slot stays in use at most.
const detachedTTL = 10 * time.Minute

// homeRole is what a home keeps of one endpoint.
type homeRole struct {
	ledger        *slot.Ledger
	limit         *limit.Limit
	peerAddresses map[identity.Incarnation]string
	plain         bool
	// lastIdleAt is when the endpoint last had nothing in flight, verifiedAt the
	// time of the last load report of the known incarnation.
	lastIdleAt, verifiedAt time.Time
}

func limitConfig(spec *bundle.Endpoint) limit.Config {
	return limit.Config{Cold: spec.ColdSlots, Max: spec.MaxSlots}
}

func newEndpointState(id uint16, spec bundle.Endpoint, plain bool, self identity.Incarnation, now time.Time) *endpointState {
	return &endpointState{
		plain:  plain,
		id:     id,
		spec:   spec,
		holder: slot.NewHolder(spec.Name, self, now),
		live:   scheduler.NewLive(spec.PrefillTokensPerSecond, spec.DecodeTokensPerSecond, now),
	}
}

// updateHome takes the endpoint's present home. self is this host.
func (s *endpointState) updateHome(now time.Time, homes Homes, self identity.Incarnation) {
	home, found := homes.Home(s.spec.Name)
	expired := found && home.Host == self && !home.LeaseUntil.IsZero() && !now.Before(home.LeaseUntil)
	s.hasHome = found && !expired
	if !s.hasHome || home.Host != self {
		s.homeRole = nil
	}
	if !s.hasHome {
		return
	}
	if home.Fence != s.home.Fence || home.Host != s.home.Host {
		s.holder.Follow(home.Fence)
		s.dirty.Store(true)
	}
	s.home = home
	if home.Host == self && s.homeRole == nil {
		s.homeRole = newHomeRole(s, now)
		s.homeRole.ledger.Observe(s.notifyLimitChange)
	}
}

// newHomeRole opens a ledger. Unless no other host can have been the home, it
// waits out what an earlier home may have granted.
func newHomeRole(s *endpointState, now time.Time) *homeRole {
	closedUntil, unknownSlots, orphanTTL := now, 0, engineOrphanTTL
	if s.plain {
		orphanTTL = plainOrphanTTL
	}
	if !s.home.First {
		closedUntil = now.Add(slot.GrantTTL + slot.LapseMargin)
		unknownSlots = s.spec.MaxSlots
	}
	r := &homeRole{
		ledger:        slot.NewLedger(s.spec.Name, s.home.Fence, closedUntil, unknownSlots, orphanTTL),
		limit:         limit.New(limitConfig(&s.spec), now),
		peerAddresses: map[identity.Incarnation]string{},
		plain:         s.plain,
	}
	r.updateLedgerLimit(now)
	return r
}

// updateLedgerLimit hands the limit to the ledger.
//
// An idle endpoint may restart unseen, since no request breaks off. Once idle it
// therefore gets no more than its cold limit until a load report of a later
// time shows the same incarnation.
func (r *homeRole) updateLedgerLimit(now time.Time) {
	if r.ledger.Used() == 0 {
		r.lastIdleAt = now
	}
	value := r.limit.Value(now)
	if !r.plain && !r.verifiedAt.After(r.lastIdleAt) {
		value = min(value, r.limit.Cold())
	}
	r.ledger.SetLimit(value, r.limit.Cold())
	r.ledger.SetCold(r.limit.IsCold())
}

// handleReport lets the home learn from a report and returns its grants.
func (r *homeRole) handleReport(now time.Time, report slot.Report) []slot.Grant {
	previous, taken := r.ledger.Take(now, report)
	if !taken {
		return nil
	}
	if previous.Sequence > 0 && report.Failures > previous.Failures {
		r.limit.Fail(now)
	}
	r.observeIncarnation(now, report.Engine)
	inFlight := r.ledger.Used()
	for _, slowdown := range report.Slowdowns {
		r.limit.Sample(now, slowdown, inFlight)
	}
	r.updateLedgerLimit(now)
	return r.ledger.Grants(now, report.Holder)
}

func (r *homeRole) observeIncarnation(now time.Time, incarnation string) {
	if r.limit.SeeEngine(now, incarnation) {
		r.ledger.Restarted()
	}
}

// observeLoad takes a load report.
func (r *homeRole) observeLoad(now, sampledAt time.Time, load engine.Load) []slot.Grant {
	r.observeIncarnation(now, load.Incarnation)
	r.limit.SeeCache(now, load.CachedTokens)
	r.limit.Verify(sampledAt, load.Incarnation)
	r.verifiedAt = sampledAt
	r.ledger.ObserveLoad(now, sampledAt, load.Running+load.Waiting)
	r.updateLedgerLimit(now)
	return r.ledger.Grants(now)
}

// applyGrant takes a grant for this host and keeps the scheduler's view of the other
// hosts.
func (s *endpointState) applyGrant(now time.Time, grant slot.Grant) bool {
	if !s.holder.Apply(now, grant) {
		return false
	}
	s.live.SetOthers(now, scheduler.Others{
		Used:          grant.OtherUsed,
		PendingTokens: grant.OtherPrefillTokens,
		Headroom:      grant.Headroom,
		Limit:         grant.Limit,
	})
	s.live.SetCold(grant.Cold)
	return true
}

// isReportDue reports whether the holder has been silent for long enough.
func (s *endpointState) isReportDue(now time.Time) bool {
	interval := heartbeatInterval
	if s.holder.Used() == 0 && s.reportedWaiting.Sum() == 0 {
		interval = idleHeartbeatInterval
	}
	return now.Sub(s.reportedAt) >= interval
}

// isHomeReachable reports whether the home has answered lately.
func (s *endpointState) isHomeReachable(now time.Time) bool {
	return s.hasHome && now.Sub(s.holder.HeardAt()) < homeTimeout
}

// releaseDetached frees slots of requests that cannot run any more: at the time
// of the sample the endpoint had only inFlight requests in all.
func (s *endpointState) releaseDetached(sampledAt time.Time, inFlight int) {
	count := 0
	for count < len(s.detached) && s.detached[count].since.Before(sampledAt) {
		count++
	}
	s.releaseOldestDetached(count - inFlight)
}

// expireDetached frees slots that have been in use for too long.
func (s *endpointState) expireDetached(now time.Time) {
	count := 0
	for count < len(s.detached) && now.Sub(s.detached[count].since) > detachedTTL {
		count++
	}
	s.releaseOldestDetached(count)
}

// releaseOldestDetached frees the n oldest slots.
func (s *endpointState) releaseOldestDetached(n int) {
	for range n {
		s.holder.Release(s.detached[0].tier)
		s.detached = s.detached[1:]
		s.dirty.Store(true)
	}
}
