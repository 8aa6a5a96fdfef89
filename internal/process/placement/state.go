package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/queue"
	"mustarddoor/internal/request/tier"
	"mustarddoor/internal/version/bundle"
)

// snapshot is the immutable part of the core that requests read without a lock.
// It is replaced as a whole.
type snapshot struct {
	view   View
	routes map[string]*route
	pools  map[string]*pool
}

// route is a route of the bundle.
type route struct {
	name     string
	service  string
	tier     tier.Tier
	tierName string
	// firstTokenBudget is the time allowed until the first token; zero means no
	// deadline.
	firstTokenBudget time.Duration
	maxOutputTokens  int
	outputLengths    *scheduler.LengthEstimator
}

// pool holds the in-service endpoints and the wait queue of one service.
type pool struct {
	service   string
	scheduler *scheduler.Pool
	// endpoints has the same order as the endpoints of the scheduler pool.
	endpoints []*endpointState
	waitQueue *waitQueue
}

// defaultOutputTokens is the initial output length prediction of a route that
// does not specify one.
const defaultOutputTokens = 128

// update builds and installs the snapshot for a new view.
func (c *core) update(now time.Time, view View) {
	next := &snapshot{view: view, routes: map[string]*route{}, pools: map[string]*pool{}}
	if view.Bundle != nil {
		c.buildRoutes(next)
		c.buildPools(now, next)
		c.setTeamLimits(view.Bundle.Teams)
	}
	c.sortedEndpoints = slices.SortedFunc(maps.Values(c.endpoints), func(a, b *endpointState) int {
		return strings.Compare(a.spec.Name, b.spec.Name)
	})
	c.snapshot.Store(next)
	for service, q := range c.waitQueues {
		if next.pools[service] == nil {
			c.refuseAll(q, Refusal{Reason: ReasonNoEndpoint, RetryAfter: longRetryAfter})
		}
	}
}

func (c *core) buildRoutes(next *snapshot) {
	tiers := map[string]bundle.Tier{}
	for _, t := range next.view.Bundle.Tiers {
		tiers[t.Name] = t
	}
	for _, r := range next.view.Bundle.Routes {
		t := tiers[r.Tier]
		next.routes[r.Name] = &route{
			name:             r.Name,
			service:          r.Service,
			tier:             tier.FromRank(t.Rank),
			tierName:         t.Name,
			firstTokenBudget: time.Duration(t.FirstTokenMillis) * time.Millisecond,
			maxOutputTokens:  r.MaxOutputTokens,
			outputLengths:    c.outputLengthsFor(&r),
		}
	}
}

// outputLengthsFor returns the output length statistics of a route. They are
// kept across configuration changes.
func (c *core) outputLengthsFor(r *bundle.Route) *scheduler.LengthEstimator {
	lengths := c.outputLengths[r.Name]
	if lengths == nil {
		assumed := r.ExpectedOutputTokens
		if assumed <= 0 {
			assumed = defaultOutputTokens
		}
		lengths = scheduler.NewLengthEstimator(assumed)
		c.outputLengths[r.Name] = lengths
	}
	return lengths
}

func (c *core) buildPools(now time.Time, next *snapshot) {
	endpointsByService := map[string][]scheduler.Endpoint{}
	plain := map[string]bool{}
	for _, service := range next.view.Bundle.Services {
		endpointsByService[service.Name] = nil
		plain[service.Name] = service.Kind == bundle.KindPlain
	}
	for _, spec := range next.view.Bundle.Endpoints {
		s := c.upsertEndpoint(now, spec, plain[spec.Service])
		c.setInService(now, s, next.view.isInService(&spec))
		if s.inService {
			endpointsByService[spec.Service] = append(endpointsByService[spec.Service], s.schedulerEndpoint())
		}
	}
	c.dropUnlisted(now, next.view.Bundle)
	for service, endpoints := range endpointsByService {
		next.pools[service] = c.newPool(service, endpoints)
	}
}

// isInService reports whether an endpoint accepts new requests.
func (v *View) isInService(spec *bundle.Endpoint) bool {
	return !slices.Contains(v.ExcludedDomains, spec.Domain) && !slices.Contains(v.ExcludedEndpoints, spec.Name)
}

// upsertEndpoint updates the state of an endpoint, creating it if necessary.
func (c *core) upsertEndpoint(now time.Time, spec bundle.Endpoint, plain bool) *endpointState {
	s := c.endpoints[spec.Name]
	if s == nil {
		s = newEndpointState(c.lowestFreeID(), spec, plain, c.self, now)
		s.onLimitChange = c.onLimitChange
		c.endpoints[spec.Name] = s
		c.endpointsByID[s.id] = s
		s.updateHome(now, c.homes, c.self)
		return s
	}
	s.spec = spec
	if s.homeRole != nil {
		s.homeRole.limit.SetConfig(limitConfig(&spec))
		s.homeRole.updateLedgerLimit(now)
	}
	return s
}

// lowestFreeID returns the lowest unused endpoint ID.
func (c *core) lowestFreeID() uint16 {
	for id := uint16(0); ; id++ {
		if c.endpointsByID[id] == nil {
			return id
		}
	}
}

// setInService takes an endpoint into or out of service. An endpoint that
// returns to service starts cold.
func (c *core) setInService(now time.Time, s *endpointState, inService bool) {
	if inService == s.inService {
		return
	}
	s.inService = inService
	s.dirty.Store(true)
	if !inService {
		s.holder.ReleaseUnused(0)
		return
	}
	if s.homeRole != nil {
		s.homeRole.limit.Resume(now)
		s.homeRole.updateLedgerLimit(now)
	}
}

// dropUnlisted takes endpoints that are no longer in the bundle out of service
// and removes those with no requests in flight.
func (c *core) dropUnlisted(now time.Time, b *bundle.Bundle) {
	for name, s := range c.endpoints {
		listed := slices.ContainsFunc(b.Endpoints, func(e bundle.Endpoint) bool { return e.Name == name })
		if listed {
			continue
		}
		c.setInService(now, s, false)
		if s.holder.Used() == 0 {
			delete(c.endpoints, name)
			delete(c.endpointsByID, s.id)
			c.prefixIndex.RemoveEndpoint(s.id, now)
		}
	}
}

func (c *core) newPool(service string, endpoints []scheduler.Endpoint) *pool {
	if c.waitQueues[service] == nil {
		c.waitQueues[service] = newWaitQueue()
	}
	p := &pool{service: service, scheduler: scheduler.NewPool(endpoints, c.prefixIndex), waitQueue: c.waitQueues[service]}
	for _, e := range p.scheduler.Endpoints() {
		p.endpoints = append(p.endpoints, c.endpointsByID[e.ID])
	}
	return p
}

func (c *core) setTeamLimits(teams []bundle.Team) {
	for _, q := range c.waitQueues {
		for _, t := range teams {
			q.requests.SetTeamConfig(t.Name, queue.TeamConfig{Weight: t.Weight, MaxRequests: t.QueueRequests, MaxBytes: t.QueueBytes})
		}
	}
}

// schedulerEndpoint returns the endpoint in the form used by the scheduler.
func (s *endpointState) schedulerEndpoint() scheduler.Endpoint {
	return scheduler.Endpoint{
		ID:         s.id,
		Name:       s.spec.Name,
		Address:    s.spec.Address,
		Domain:     s.spec.Domain,
		Version:    s.spec.Version,
		Adapters:   s.spec.Adapters,
		LocalSlots: &s.holder.LocalSlots,
		Live:       s.live,
	}
}
