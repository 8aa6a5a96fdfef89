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

// state is the part of the core that requests read without a lock. It is
// replaced as a whole.
type state struct {
	view   View
	routes map[string]*route
	pools  map[string]*pool
}

// route is one route of the bundle.
type route struct {
	name     string
	service  string
	tier     tier.Tier
	tierName string
	// budget is the time to the first token; zero means none.
	budget    time.Duration
	maxOutput int
	lengths   *scheduler.LengthEstimator
}

// pool is the endpoints of a service that are in service, with what waits.
type pool struct {
	service string
	plan    *scheduler.Pool
	// endpoints are in the order of the plan's endpoints.
	endpoints []*endpointState
	line      *line
}

// defaultOutput is the length of an answer in tokens of a route that assumes
// none.
const defaultOutput = 128

// update builds the next state from a view.
func (c *core) update(now time.Time, view View) {
	next := &state{view: view, routes: map[string]*route{}, pools: map[string]*pool{}}
	if view.Bundle != nil {
		c.buildRoutes(next)
		c.buildPools(now, next)
		c.setBounds(view.Bundle.Teams)
	}
	c.order = slices.SortedFunc(maps.Values(c.endpoints), func(a, b *endpointState) int {
		return strings.Compare(a.spec.Name, b.spec.Name)
	})
	c.state.Store(next)
	for service, l := range c.lines {
		if next.pools[service] == nil {
			c.refuseAll(l, Refusal{Reason: ReasonNoEndpoint, RetryAfter: retryAfterFull})
		}
	}
}

func (c *core) buildRoutes(next *state) {
	tiers := map[string]bundle.Tier{}
	for _, t := range next.view.Bundle.Tiers {
		tiers[t.Name] = t
	}
	for _, r := range next.view.Bundle.Routes {
		t := tiers[r.Tier]
		next.routes[r.Name] = &route{
			name:      r.Name,
			service:   r.Service,
			tier:      tier.FromRank(t.Rank),
			tierName:  t.Name,
			budget:    time.Duration(t.FirstTokenMillis) * time.Millisecond,
			maxOutput: r.MaxOutputTokens,
			lengths:   c.lengthsOf(&r),
		}
	}
}

// lengthsOf keeps what was learnt of a route's answers over changes of the
// configuration.
func (c *core) lengthsOf(r *bundle.Route) *scheduler.LengthEstimator {
	known := c.lengths[r.Name]
	if known == nil {
		assumed := r.ExpectedOutputTokens
		if assumed <= 0 {
			assumed = defaultOutput
		}
		known = scheduler.NewLengthEstimator(assumed)
		c.lengths[r.Name] = known
	}
	return known
}

func (c *core) buildPools(now time.Time, next *state) {
	members := map[string][]scheduler.Endpoint{}
	plain := map[string]bool{}
	for _, service := range next.view.Bundle.Services {
		members[service.Name] = nil
		plain[service.Name] = service.Kind == bundle.KindPlain
	}
	for _, spec := range next.view.Bundle.Endpoints {
		s := c.stateOf(now, spec, plain[spec.Service])
		c.setService(now, s, next.view.takes(&spec))
		if s.inService {
			members[spec.Service] = append(members[spec.Service], s.endpoint())
		}
	}
	c.dropSites(now, next.view.Bundle)
	for service, endpoints := range members {
		next.pools[service] = c.poolOf(service, endpoints)
	}
}

// takes reports whether an endpoint may take new work.
func (v *View) takes(spec *bundle.Endpoint) bool {
	return !slices.Contains(v.DomainsOut, spec.Domain) && !slices.Contains(v.EndpointsOut, spec.Name)
}

// stateOf returns the state of an endpoint, a new one if it is unknown.
func (c *core) stateOf(now time.Time, spec bundle.Endpoint, plain bool) *endpointState {
	s := c.endpoints[spec.Name]
	if s == nil {
		s = newEndpointState(c.newID(), spec, plain, c.self, now)
		s.notify = c.notifyLimit
		c.endpoints[spec.Name] = s
		c.byID[s.id] = s
		s.follow(now, c.homes, c.self)
		return s
	}
	s.spec = spec
	if s.homeRole != nil {
		s.homeRole.limit.SetConfig(limitsOf(&spec))
		s.homeRole.refresh(now)
	}
	return s
}

// newID returns the least number that no endpoint has.
func (c *core) newID() uint16 {
	for id := uint16(0); ; id++ {
		if c.byID[id] == nil {
			return id
		}
	}
}

// setService takes a endpoint in or out. An endpoint that comes back starts cold.
func (c *core) setService(now time.Time, s *endpointState, inService bool) {
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
		s.homeRole.refresh(now)
	}
}

// dropSites forgets the endpoints that are no longer in the bundle and have
// nothing in flight.
func (c *core) dropSites(now time.Time, b *bundle.Bundle) {
	for name, s := range c.endpoints {
		listed := slices.ContainsFunc(b.Endpoints, func(e bundle.Endpoint) bool { return e.Name == name })
		if listed {
			continue
		}
		c.setService(now, s, false)
		if s.holder.Used() == 0 {
			delete(c.endpoints, name)
			delete(c.byID, s.id)
			c.index.RemoveEndpoint(s.id, now)
		}
	}
}

func (c *core) poolOf(service string, endpoints []scheduler.Endpoint) *pool {
	if c.lines[service] == nil {
		c.lines[service] = newLine()
	}
	p := &pool{service: service, plan: scheduler.NewPool(endpoints, c.index), line: c.lines[service]}
	for _, e := range p.plan.Endpoints() {
		p.endpoints = append(p.endpoints, c.byID[e.ID])
	}
	return p
}

func (c *core) setBounds(teams []bundle.Team) {
	for _, l := range c.lines {
		for _, t := range teams {
			l.queue.SetTeamConfig(t.Name, queue.TeamConfig{Weight: t.Weight, MaxRequests: t.QueueRequests, MaxBytes: t.QueueBytes})
		}
	}
}

// endpoint is the endpoint as the scheduler sees it.
func (s *endpointState) endpoint() scheduler.Endpoint {
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
