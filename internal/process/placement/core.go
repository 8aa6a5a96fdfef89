package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/retry"
	"mustarddoor/internal/request/tier"
)

const (
	// minPatience and maxPatience bound how long a request waits for a slot of
	// one endpoint before any other will do. patienceShare is the part of the
	// time to its deadline that it may spend on that.
	minPatience     = 10 * time.Millisecond
	maxPatience     = 30 * time.Second
	patienceShare   = 2
	patienceReserve = time.Second
	// worthWaiting is the least number of cached tokens to wait for.
	worthWaiting = 200
	// manyWaiting is the largest demand of one tier that is reported; homes
	// need not know more.
	manyWaiting = 4
	// retryAfterShed and retryAfterFull are what refused callers are told.
	retryAfterShed = time.Second
	retryAfterFull = 5 * time.Second
	// settleRounds bounds how often one flush lets grants of local homes lead
	// to new reports.
	settleRounds = 4
)

// core is a host's part in the placement of requests, without clock, lock and
// network: time is passed in, messages are handed in and out. Only quick and
// the methods of tickets may be called at the same time as others.
type core struct {
	self   identity.Incarnation
	mesh   string
	homes  Homes
	random func() uint64
	state  atomic.Pointer[state]
	budget *retry.Budget
	index  *scheduler.Index

	sites map[string]*site
	byID  map[uint16]*site
	// order is the sites by name.
	order   []*site
	lines   map[string]*line
	lengths map[string]*scheduler.Lengths
	out     outbox
	leaving atomic.Bool
	// recheck is when a request that asked for a slot wants to try elsewhere;
	// zero if none does.
	recheck time.Time
	stats   *stats
	// notifyLimit is told of the limits that this host sets; it may be nil.
	notifyLimit func(LimitChange)
}

func newCore(self identity.Host, homes Homes, random func() uint64, stats *stats, now time.Time) *core {
	if random == nil {
		random = rand.Uint64
	}
	c := &core{
		self:    self.Incarnation,
		mesh:    self.MeshAddress,
		homes:   homes,
		random:  random,
		budget:  retry.NewBudget(),
		index:   scheduler.NewIndex(now),
		sites:   map[string]*site{},
		byID:    map[uint16]*site{},
		lines:   map[string]*line{},
		lengths: map[string]*scheduler.Lengths{},
		stats:   stats,
	}
	c.state.Store(&state{})
	return c
}

// newJob looks up the route of a request and makes it ready to be placed.
func (c *core) newJob(now time.Time, request Request) (*job, *Refusal) {
	st := c.state.Load()
	r := st.routes[request.Route]
	if r == nil {
		return nil, &Refusal{Reason: ReasonUnknownRoute}
	}
	if request.Arrival.IsZero() {
		request.Arrival = now
	}
	j := &job{request: request, route: r}
	j.ask = scheduler.Request{
		Tier:         r.tier,
		Adapter:      request.Adapter,
		PromptTokens: request.PromptTokens,
		OutputTokens: r.predict(request.MaxOutputTokens),
		Prefixes:     request.Prefixes,
		Avoid:        scheduler.NoEndpoint,
		Random:       c.random(),
	}
	if r.budget > 0 {
		j.deadline = request.Arrival.Add(r.budget)
		j.ask.Deadline = j.deadline
	}
	if st.view.Versions != nil {
		j.ask.Version = st.view.Versions.Choose(r.service, r.name)
	}
	return j, nil
}

// lengthQuantile is the quantile of a route's answers that a decision assumes.
const lengthQuantile = 0.6

// predict is the expected output length in tokens within a bound.
func (r *route) predict(bound int) int {
	if bound <= 0 || r.maxOutput > 0 && r.maxOutput < bound {
		bound = r.maxOutput
	}
	length := r.lengths.Quantile(lengthQuantile)
	if bound > 0 {
		length = min(length, bound)
	}
	return length
}

// quick places a job without waiting, if nothing else waits and a slot is at
// hand. It returns nothing if the job must go the long way. It takes no lock.
func (c *core) quick(now time.Time, j *job) (*ticket, *Refusal) {
	if c.leaving.Load() {
		return nil, &Refusal{Reason: ReasonLeaving, RetryAfter: retryAfterShed}
	}
	p := c.state.Load().pools[j.route.service]
	if p == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull}
	}
	if p.line.waiting.Load() > 0 {
		return nil, nil
	}
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionNone:
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull}
	case scheduler.ActionLate:
		return nil, &Refusal{Reason: ReasonDeadline, RetryAfter: retryAfterShed}
	case scheduler.ActionDispatch:
		return c.dispatch(now, p, j, d), nil
	default:
		return nil, nil
	}
}

// dispatch takes the slot that a decision found, or returns nil if it is gone.
func (c *core) dispatch(now time.Time, p *pool, j *job, d scheduler.Decision) *ticket {
	s := p.sites[d.Endpoint]
	if !s.holder.TryAcquire(now, j.ask.Tier) {
		return nil
	}
	t := &ticket{
		core:     c,
		site:     s,
		job:      j,
		endpoint: &p.plan.Endpoints()[d.Endpoint],
		estimate: d.Estimate,
		at:       now,
		sendBy:   s.holder.Lapse(),
		prefill:  max(j.ask.PromptTokens-d.Estimate.Cached, 0),
	}
	s.live.AddPending(t.prefill)
	s.dirty.Store(true)
	for _, prefix := range j.ask.Prefixes {
		c.index.Add(now, s.id, prefix.Hash)
	}
	c.budget.Dispatched()
	return t
}

// wait puts a job into its line. The job is settled later, perhaps at once.
func (c *core) wait(now time.Time, j *job) {
	p := c.state.Load().pools[j.route.service]
	if p == nil {
		j.settle(nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull})
		return
	}
	j.line = p.line
	j.item = queue.Item{
		Tier:     j.ask.Tier,
		Team:     j.request.Team,
		Cost:     float64(j.ask.PromptTokens)/costRatio + float64(j.ask.OutputTokens) + 1,
		Bytes:    j.request.Bytes,
		Since:    now,
		Deadline: j.ask.Deadline,
		Value:    j,
	}
	evicted, err := p.line.queue.Push(&j.item)
	if err != nil {
		j.settle(nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: retryAfterFull})
		return
	}
	p.line.waiting.Add(1)
	for _, old := range evicted {
		c.refuse(old.Value.(*job), Refusal{Reason: ReasonQueueFull, RetryAfter: retryAfterFull})
	}
	c.rate(now, p, j)
	c.pump(now, p)
}

// costRatio is how many prompt tokens cost a team as much as one output token.
const costRatio = 20

// leaveLine takes a job out of the demand; its item is out of the queue.
func (j *job) leaveLine() {
	j.withdraw()
	j.line.waiting.Add(-1)
}

// refuse settles a job whose item is out of the queue.
func (c *core) refuse(j *job, refusal Refusal) {
	j.leaveLine()
	j.settle(nil, &refusal)
}

// cancel takes a job out that no longer wants to wait. It returns false if the
// job was settled before.
func (c *core) cancel(j *job) bool {
	if j.line == nil || !j.line.queue.Remove(&j.item) {
		return false
	}
	j.leaveLine()
	return true
}

// pump dispatches what waits for a pool, the highest tiers first, as far as
// there are slots.
func (c *core) pump(now time.Time, p *pool) {
	if p.line.waiting.Load() == 0 {
		return
	}
	for t := range tier.Tier(tier.Max) {
		for c.dispatchNext(now, p, t) {
		}
	}
}

// dispatchNext dispatches the best waiting request of a tier, if any can go.
func (c *core) dispatchNext(now time.Time, p *pool, t tier.Tier) bool {
	item := p.line.queue.Best(t, func(item *queue.Item) float64 {
		return c.rate(now, p, item.Value.(*job))
	})
	if item == nil {
		return false
	}
	j := item.Value.(*job)
	if j.late && c.confirmed(now, p, j) {
		p.line.queue.Remove(item)
		c.refuse(j, Refusal{Reason: ReasonCapacity, RetryAfter: retryAfterShed})
		return true
	}
	d := c.decide(now, p, j)
	if d.Action != scheduler.ActionDispatch {
		return false
	}
	dispatched := c.dispatch(now, p, j, d)
	if dispatched == nil {
		return false
	}
	p.line.queue.Take(item)
	j.leaveLine()
	j.settle(dispatched, nil)
	return true
}

const (
	// notNow is the rating of a request that cannot be dispatched now.
	notNow = -1
	// ageWeight is the rating that a second of waiting adds; a second of
	// prefill saved adds one.
	ageWeight = 0.1
)

// rate tells how much a waiting job deserves a slot now, and keeps its demand.
func (c *core) rate(now time.Time, p *pool, j *job) float64 {
	j.ask.HeldOnly = !j.askUntil.IsZero() && !now.Before(j.askUntil)
	d := c.decide(now, p, j)
	switch d.Action {
	case scheduler.ActionDispatch:
		if j.late {
			return 0
		}
		saved := float64(d.Estimate.Cached) / scheduler.DefaultPrefill
		return saved + ageWeight*now.Sub(j.item.Since).Seconds()
	case scheduler.ActionAsk:
		c.ask(now, j, p.sites[d.Endpoint], d.Estimate)
	case scheduler.ActionLate:
		c.markLate(now, j)
	default:
		j.demand(now, nil)
	}
	return notNow
}

// ask registers a demand at one site; if that brings nothing soon, any site
// will do.
func (c *core) ask(now time.Time, j *job, s *site, e scheduler.Estimate) {
	if j.counted {
		return
	}
	j.demand(now, s)
	j.askUntil = now.Add(j.patience(now, e))
	if c.recheck.IsZero() || j.askUntil.Before(c.recheck) {
		c.recheck = j.askUntil
	}
}

// patience is how long a job waits for one endpoint: longer if that saves the
// prefill of what is cached there, and never a great part of what is left to
// the deadline.
func (j *job) patience(now time.Time, e scheduler.Estimate) time.Duration {
	if e.Cached < worthWaiting {
		return minPatience
	}
	if j.ask.Deadline.IsZero() {
		return maxPatience
	}
	left := j.ask.Deadline.Sub(now)
	return min(max(left-patienceReserve, left/patienceShare, minPatience), maxPatience)
}

// markLate notes that a job's deadline cannot be met any more. Until it may be
// shed, it may still be served, after all others of its tier.
func (c *core) markLate(now time.Time, j *job) {
	j.late = true
	j.ask.Deadline = time.Time{}
	j.demand(now, nil)
}

// confirmed reports whether a job may be shed: every home that can be reached
// has confirmed, since it knows of the demand, that no lower tier is served.
func (c *core) confirmed(now time.Time, p *pool, j *job) bool {
	if !j.counted || j.site != nil {
		return false
	}
	for _, s := range p.sites {
		if !j.class().fits(s) || !s.isReachable(now) {
			continue
		}
		grant, _ := s.holder.Last()
		if !s.holder.HeardAt().After(j.demandSince) || !grant.Confirms(j.ask.Tier) {
			return false
		}
	}
	return true
}

// shed refuses the late jobs of a pool for which the homes have confirmed it,
// and marks those that have become late.
func (c *core) shed(now time.Time, p *pool) {
	for t := range tier.Tier(tier.Max) {
		p.line.queue.Each(t, func(item *queue.Item) bool {
			c.shedOne(now, p, item.Value.(*job))
			return true
		})
	}
}

func (c *core) shedOne(now time.Time, p *pool, j *job) {
	if !j.late && j.ask.Deadline.IsZero() {
		return
	}
	if !j.late {
		c.rate(now, p, j)
	}
	if !j.late || !c.confirmed(now, p, j) {
		return
	}
	p.line.queue.Remove(&j.item)
	c.refuse(j, Refusal{Reason: ReasonCapacity, RetryAfter: retryAfterShed})
}

// tick does what time alone brings about.
func (c *core) tick(now time.Time) {
	for _, s := range c.order {
		s.follow(now, c.homes, c.self)
		if s.office != nil {
			s.office.refresh(now)
			c.route(now, s, s.office.ledger.Grants(now))
		}
		if now.Sub(s.reportedAt) >= heartbeat {
			s.dirty.Store(true)
		}
	}
	for _, p := range c.state.Load().pools {
		c.pump(now, p)
		c.shed(now, p)
	}
	c.flush(now)
}

// flush sends the reports that are due, and lets the homes of this host answer
// at once.
func (c *core) flush(now time.Time) {
	if !c.recheck.IsZero() && !now.Before(c.recheck) {
		c.recheck = time.Time{}
		c.pumpAll(now)
	}
	for range settleRounds {
		granted := false
		for _, s := range c.order {
			granted = c.report(now, s) || granted
		}
		if !granted {
			return
		}
		c.pumpAll(now)
	}
}

func (c *core) pumpAll(now time.Time) {
	for _, p := range c.state.Load().pools {
		c.pump(now, p)
	}
}

// report sends a site's report if it is due. It returns whether that brought a
// grant at once.
func (c *core) report(now time.Time, s *site) bool {
	grant, _ := s.holder.Last()
	if s.holder.Surrender(grant.Idle) {
		s.dirty.Store(true)
	}
	demand := c.demandOf(now, s)
	if !s.dirty.Swap(false) && demand.Waiting == s.waiting {
		return false
	}
	if !s.hasHome {
		return false
	}
	s.waiting = demand.Waiting
	s.reportedAt = now
	for _, stretch := range s.samples.drain() {
		s.holder.Sample(stretch)
	}
	report := s.holder.Report(now, demand)
	if s.office != nil {
		return c.route(now, s, s.office.take(now, report))
	}
	message := c.out.to(peer{s.home.Host, s.home.MeshAddress})
	message.Reports = append(message.Reports, report)
	return false
}

// demandOf is what this host wants of a site.
func (c *core) demandOf(now time.Time, s *site) slot.Demand {
	demand := slot.Demand{PrefillTokens: s.live.Pending()}
	l := c.lines[s.spec.Service]
	if l == nil || !s.inService {
		return demand
	}
	demand.Waiting = l.demandAt(s)
	for t := range demand.Waiting {
		demand.Waiting[t] = min(demand.Waiting[t], manyWaiting)
	}
	if highest, any := demand.Waiting.Highest(); any {
		demand.OldestMillis = l.oldest(now)
		s.holder.LowerFloor(highest)
	}
	return demand
}

// route applies or sends the grants of a home on this host. It returns whether
// one of them was for this host.
func (c *core) route(now time.Time, s *site, grants []slot.Grant) bool {
	own := false
	for _, grant := range grants {
		if grant.Holder == c.self {
			own = s.apply(now, grant) || own
			continue
		}
		address, known := s.office.peers[grant.Holder]
		if !known {
			continue
		}
		message := c.out.to(peer{grant.Holder, address})
		message.Grants = append(message.Grants, grant)
	}
	return own
}

// deliver takes a message from another host.
func (c *core) deliver(now time.Time, from peer, message Message) {
	for _, report := range message.Reports {
		s := c.sites[report.Endpoint]
		if s == nil || s.office == nil || report.Holder != from.host {
			continue
		}
		if from.address != "" && (len(s.office.peers) < maxPeers) {
			s.office.peers[from.host] = from.address
		}
		c.route(now, s, s.office.take(now, report))
	}
	touched := false
	for _, grant := range message.Grants {
		s := c.sites[grant.Endpoint]
		if s != nil && grant.Holder == c.self {
			touched = s.apply(now, grant) || touched
		}
	}
	if touched {
		c.pumpAll(now)
	}
	c.flush(now)
}
