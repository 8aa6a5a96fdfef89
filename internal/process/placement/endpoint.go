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
	// heartbeat is how often a holder reports at least, idleHeartbeat the same
	// while nothing of it runs or waits at the endpoint.
	heartbeat     = 500 * time.Millisecond
	idleHeartbeat = time.Second
	// silence is how long a home may be silent and still count as reachable.
	silence = 3 * heartbeat
	// engineOrphanLife and plainOrphanLife are how long requests may run at an
	// endpoint after their host was lost.
	engineOrphanLife = 5 * time.Minute
	plainOrphanLife  = 2 * time.Second
	// maxPeers bounds the mesh addresses that a home remembers.
	maxPeers = slot.MaxHolders
)

// endpointState is what the process keeps of one endpoint, whatever the configuration.
type endpointState struct {
	id     uint16
	spec   bundle.Endpoint
	holder *slot.Holder
	live   *scheduler.LiveStats
	// dirty tells that the home should hear news of this holder.
	dirty      atomic.Bool
	reportedAt time.Time
	// waiting is the demand in the last report.
	waiting tier.Counts
	samples samples
	// plain tells that the endpoint is a plain service, which reports no load.
	plain bool
	// inService tells that the endpoint takes new work.
	inService bool
	// home is the endpoint's home, known if hasHome.
	home    Home
	hasHome bool
	// homeRole is the home's part, if this host is the home.
	homeRole *homeRole
	// notify is told of the limits that this host sets as the home.
	notify func(LimitChange)
	// asked are the requests that wait for a slot of just this endpoint.
	asked tier.Counts
	// engine is the endpoint's incarnation by its last load report, cacheNext
	// the next cache event.
	engine    string
	cacheNext uint64
	// detached are slots of requests that this host no longer follows, the
	// oldest first.
	detached []detached
}

// detached is a slot in use by a request that this host no longer follows.
type detached struct {
	tier  tier.Tier
	since time.Time
}

// detachedLife is how long such a slot stays in use at most.
const detachedLife = 10 * time.Minute

// homeRole is what a home keeps of one endpoint.
type homeRole struct {
	ledger *slot.Ledger
	limit  *limit.Limit
	peers  map[identity.Incarnation]string
	plain  bool
	// idleAt is when the endpoint last had nothing in flight, verifiedAt the
	// time of the last load report of the known incarnation.
	idleAt, verifiedAt time.Time
}

func limitsOf(spec *bundle.Endpoint) limit.Config {
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

// follow takes the endpoint's present home. self is this host.
func (s *endpointState) follow(now time.Time, homes Homes, self identity.Incarnation) {
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
		s.homeRole.ledger.OnLimitChange(s.observeLimit)
	}
}

// newHomeRole opens a ledger. Unless no other host can have been the home, it
// waits out what an earlier home may have granted.
func newHomeRole(s *endpointState, now time.Time) *homeRole {
	closedUntil, unknown, life := now, 0, engineOrphanLife
	if s.plain {
		life = plainOrphanLife
	}
	if !s.home.First {
		closedUntil = now.Add(slot.GrantTTL + slot.ExpiryMargin)
		unknown = s.spec.MaxSlots
	}
	o := &homeRole{
		ledger: slot.NewLedger(s.spec.Name, s.home.Fence, closedUntil, unknown, life),
		limit:  limit.New(limitsOf(&s.spec), now),
		peers:  map[identity.Incarnation]string{},
		plain:  s.plain,
	}
	o.refresh(now)
	return o
}

// refresh hands the limit to the ledger.
//
// An idle endpoint may restart unseen, since no request breaks off. Once idle it
// therefore gets no more than its cold limit until a load report of a later
// time shows the same incarnation.
func (o *homeRole) refresh(now time.Time) {
	if o.ledger.Used() == 0 {
		o.idleAt = now
	}
	value := o.limit.Value(now)
	if !o.plain && !o.verifiedAt.After(o.idleAt) {
		value = min(value, o.limit.Cold())
	}
	o.ledger.SetLimit(value, o.limit.Cold())
	o.ledger.SetCold(o.limit.IsCold())
}

// take lets the home learn from a report and returns its grants.
func (o *homeRole) take(now time.Time, report slot.Report) []slot.Grant {
	previous, taken := o.ledger.ApplyReport(now, report)
	if !taken {
		return nil
	}
	if previous.Sequence > 0 && report.Failures > previous.Failures {
		o.limit.RecordFailure(now)
	}
	o.seeEngine(now, report.EngineIncarnation)
	inFlight := o.ledger.Used()
	for _, slowdown := range report.Slowdowns {
		o.limit.ObserveSlowdown(now, slowdown, inFlight)
	}
	o.refresh(now)
	return o.ledger.Grants(now, report.Holder)
}

func (o *homeRole) seeEngine(now time.Time, incarnation string) {
	if o.limit.ObserveIncarnation(now, incarnation) {
		o.ledger.EndpointRestarted()
	}
}

// observe takes a load report.
func (o *homeRole) observe(now, sampled time.Time, load engine.Load) []slot.Grant {
	o.seeEngine(now, load.Incarnation)
	o.limit.ObserveCachedTokens(now, load.CachedTokens)
	o.limit.VerifyIncarnation(sampled, load.Incarnation)
	o.verifiedAt = sampled
	o.ledger.ObserveLoad(now, sampled, load.Running+load.Waiting)
	o.refresh(now)
	return o.ledger.Grants(now)
}

// apply takes a grant for this host and keeps the scheduler's view of the other
// hosts.
func (s *endpointState) apply(now time.Time, grant slot.Grant) bool {
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

// isReportDue reports whether the holder has been silent for long enough.
func (s *endpointState) isReportDue(now time.Time) bool {
	interval := heartbeat
	if s.holder.Used() == 0 && s.waiting.Sum() == 0 {
		interval = idleHeartbeat
	}
	return now.Sub(s.reportedAt) >= interval
}

// isReachable reports whether the home has answered lately.
func (s *endpointState) isReachable(now time.Time) bool {
	return s.hasHome && now.Sub(s.holder.AckedReportSentAt()) < silence
}

// releaseDetached frees slots of requests that cannot run any more: at the time
// of the sample the endpoint had only inFlight requests in all.
func (s *endpointState) releaseDetached(sampled time.Time, inFlight int) {
	older := 0
	for older < len(s.detached) && s.detached[older].since.Before(sampled) {
		older++
	}
	s.dropDetached(older - inFlight)
}

// expireDetached frees slots that have been in use for too long.
func (s *endpointState) expireDetached(now time.Time) {
	expired := 0
	for expired < len(s.detached) && now.Sub(s.detached[expired].since) > detachedLife {
		expired++
	}
	s.dropDetached(expired)
}

// dropDetached frees the n oldest slots.
func (s *endpointState) dropDetached(n int) {
	for range n {
		s.holder.Release(s.detached[0].tier)
		s.detached = s.detached[1:]
		s.dirty.Store(true)
	}
}
