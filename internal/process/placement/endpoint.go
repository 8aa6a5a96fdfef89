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
	// heartbeatInterval is the maximum time between two reports of a holder.
	// idleHeartbeatInterval applies while the holder has nothing running or
	// waiting at the endpoint.
	heartbeatInterval     = 500 * time.Millisecond
	idleHeartbeatInterval = time.Second
	// homeTimeout is how long a home may stay silent before it counts as
	// unreachable.
	homeTimeout = 3 * heartbeatInterval
	// engineOrphanTTL and plainOrphanTTL bound how long requests may keep
	// running at an endpoint after their host was lost.
	engineOrphanTTL = 5 * time.Minute
	plainOrphanTTL  = 2 * time.Second
	// maxPeers limits the number of peer addresses that a home keeps.
	maxPeers = slot.MaxHolders
)

// endpointState is the state of one endpoint. It outlives configuration
// changes.
type endpointState struct {
	id     uint16
	spec   bundle.Endpoint
	holder *slot.Holder
	live   *scheduler.LiveStats
	// dirty is set when a report to the home is due.
	dirty      atomic.Bool
	reportedAt time.Time
	// reportedWaiting is the demand sent in the last report.
	reportedWaiting tier.Counts
	samples         slowdownSamples
	// plain is set for plain services, which report no load.
	plain bool
	// inService is set while the endpoint accepts new requests.
	inService bool
	// home is the current home of the endpoint; valid only if hasHome is set.
	home    Home
	hasHome bool
	// homeRole is the state of the home; nil unless this host is the home.
	homeRole *homeRole
	// onLimitChange is called with every limit that this host sets as the home.
	onLimitChange func(LimitChange)
	// targetDemand counts the requests that wait for a slot of this endpoint
	// only.
	targetDemand tier.Counts
	// engineIncarnation is the incarnation in the last load report.
	// nextCacheSequence is the expected sequence number of the next cache
	// event.
	engineIncarnation string
	nextCacheSequence uint64
	// detached lists the slots held by detached requests, oldest first.
	detached []detachedSlot
}

// detachedSlot is a slot still in use by a request that this host no longer
// tracks.
type detachedSlot struct {
	tier  tier.Tier
	since time.Time
}

// detachedTTL is how long a detached slot stays in use at most.
const detachedTTL = 10 * time.Minute

// homeRole is the state that a home keeps for one endpoint.
type homeRole struct {
	ledger        *slot.Ledger
	limit         *limit.Limit
	peerAddresses map[identity.Incarnation]string
	plain         bool
	// lastIdleAt is when the endpoint last had no requests in flight.
	// verifiedAt is the sample time of the last load report.
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
		live:   scheduler.NewLiveStats(spec.PrefillTokensPerSecond, spec.DecodeTokensPerSecond, now),
	}
}

// updateHome looks up the current home of the endpoint and takes on or gives up
// the home role. self identifies this host.
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
		s.homeRole.ledger.OnLimitChange(s.notifyLimitChange)
	}
}

// newHomeRole creates the ledger of a new home. Unless this host is the first
// home, the ledger grants nothing until all grants of a previous home have
// expired, and counts all slots as possibly in use.
func newHomeRole(s *endpointState, now time.Time) *homeRole {
	blockedUntil, unknownSlots, orphanTTL := now, 0, engineOrphanTTL
	if s.plain {
		orphanTTL = plainOrphanTTL
	}
	if !s.home.First {
		blockedUntil = now.Add(slot.GrantTTL + slot.ExpiryMargin)
		unknownSlots = s.spec.MaxSlots
	}
	r := &homeRole{
		ledger:        slot.NewLedger(s.spec.Name, s.home.Fence, blockedUntil, unknownSlots, orphanTTL),
		limit:         limit.New(limitConfig(&s.spec), now),
		peerAddresses: map[identity.Incarnation]string{},
		plain:         s.plain,
	}
	r.updateLedgerLimit(now)
	return r
}

// updateLedgerLimit applies the current concurrency limit to the ledger.
//
// An idle endpoint can restart unnoticed because no request fails. Once it has
// been idle, its limit is therefore capped at the cold limit until a later load
// report has been seen, which would reveal a new incarnation.
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

// handleReport records a holder's report, updates the limit from it and returns
// the resulting grants.
func (r *homeRole) handleReport(now time.Time, report slot.Report) []slot.Grant {
	previous, accepted := r.ledger.ApplyReport(now, report)
	if !accepted {
		return nil
	}
	if previous.Sequence > 0 && report.Failures > previous.Failures {
		r.limit.RecordFailure(now)
	}
	r.observeIncarnation(now, report.EngineIncarnation)
	inFlight := r.ledger.Used()
	for _, slowdown := range report.Slowdowns {
		r.limit.ObserveSlowdown(now, slowdown, inFlight)
	}
	r.updateLedgerLimit(now)
	return r.ledger.Grants(now, report.Holder)
}

func (r *homeRole) observeIncarnation(now time.Time, incarnation string) {
	if r.limit.ObserveIncarnation(now, incarnation) {
		r.ledger.EndpointRestarted()
	}
}

// observeLoad processes a load report that was sampled at sampledAt.
func (r *homeRole) observeLoad(now, sampledAt time.Time, load engine.Load) []slot.Grant {
	r.observeIncarnation(now, load.Incarnation)
	r.limit.ObserveCachedTokens(now, load.CachedTokens)
	r.limit.VerifyIncarnation(sampledAt, load.Incarnation)
	r.verifiedAt = sampledAt
	r.ledger.ObserveLoad(now, sampledAt, load.Running+load.Waiting)
	r.updateLedgerLimit(now)
	return r.ledger.Grants(now)
}

// applyGrant applies a grant to this host and updates the scheduler's view of
// the other hosts' usage. It returns false if the grant is outdated.
func (s *endpointState) applyGrant(now time.Time, grant slot.Grant) bool {
	if !s.holder.ApplyGrant(now, grant) {
		return false
	}
	s.live.SetRemoteUsage(now, scheduler.RemoteUsage{
		Used:          grant.OtherUsed,
		PendingTokens: grant.OtherPrefillTokens,
		Headroom:      grant.Headroom,
		Limit:         grant.Limit,
	})
	s.live.SetCold(grant.Cold)
	return true
}

// isReportDue reports whether the heartbeat interval has passed since the last
// report.
func (s *endpointState) isReportDue(now time.Time) bool {
	interval := heartbeatInterval
	if s.holder.Used() == 0 && s.reportedWaiting.Sum() == 0 {
		interval = idleHeartbeatInterval
	}
	return now.Sub(s.reportedAt) >= interval
}

// isHomeReachable reports whether the home has acknowledged a report within
// homeTimeout.
func (s *endpointState) isHomeReachable(now time.Time) bool {
	return s.hasHome && now.Sub(s.holder.AckedReportSentAt()) < homeTimeout
}

// releaseDetached releases the detached slots whose requests must have ended:
// at sampledAt the endpoint had only inFlight requests in total.
func (s *endpointState) releaseDetached(sampledAt time.Time, inFlight int) {
	count := 0
	for count < len(s.detached) && s.detached[count].since.Before(sampledAt) {
		count++
	}
	s.releaseOldestDetached(count - inFlight)
}

// expireDetached releases the detached slots that are older than detachedTTL.
func (s *endpointState) expireDetached(now time.Time) {
	count := 0
	for count < len(s.detached) && now.Sub(s.detached[count].since) > detachedTTL {
		count++
	}
	s.releaseOldestDetached(count)
}

// releaseOldestDetached releases the n oldest detached slots.
func (s *endpointState) releaseOldestDetached(n int) {
	for range n {
		s.holder.Release(s.detached[0].tier)
		s.detached = s.detached[1:]
		s.dirty.Store(true)
	}
}
