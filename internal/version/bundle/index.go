package bundle

import "strings"

// Index looks up the elements of one bundle by name. It is immutable.
type Index struct {
	bundle          *Bundle
	tiers           map[string]*Tier
	services        map[string]*Service
	routes          map[string]*Route
	endpoints       map[string]*Endpoint
	teams           map[string]*Team
	domains         map[string]*Domain
	routesByService map[string][]*Route
}

// NewIndex indexes a validated bundle, which must not change afterwards.
func NewIndex(b *Bundle) *Index {
	index := &Index{
		bundle:          b,
		tiers:           byName(b.Tiers, func(t *Tier) string { return t.Name }),
		services:        byName(b.Services, func(s *Service) string { return s.Name }),
		routes:          byName(b.Routes, func(r *Route) string { return r.Name }),
		endpoints:       byName(b.Endpoints, func(e *Endpoint) string { return e.Name }),
		teams:           byName(b.Teams, func(t *Team) string { return t.Name }),
		domains:         byName(b.Domains, func(d *Domain) string { return d.Name }),
		routesByService: map[string][]*Route{},
	}
	for i := range b.Routes {
		route := &b.Routes[i]
		index.routesByService[route.Service] = append(index.routesByService[route.Service], route)
	}
	return index
}

// byName returns pointers to the items by name.
func byName[T any](items []T, name func(*T) string) map[string]*T {
	indexed := make(map[string]*T, len(items))
	for i := range items {
		indexed[name(&items[i])] = &items[i]
	}
	return indexed
}

// Bundle returns the indexed bundle.
func (x *Index) Bundle() *Bundle { return x.bundle }

// Tier looks up a tier by name.
func (x *Index) Tier(name string) (*Tier, bool) {
	tier, found := x.tiers[name]
	return tier, found
}

// Service looks up a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	service, found := x.services[name]
	return service, found
}

// Route looks up a route by name.
func (x *Index) Route(name string) (*Route, bool) {
	route, found := x.routes[name]
	return route, found
}

// Endpoint looks up an endpoint by name.
func (x *Index) Endpoint(name string) (*Endpoint, bool) {
	endpoint, found := x.endpoints[name]
	return endpoint, found
}

// Team looks up a team by name.
func (x *Index) Team(name string) (*Team, bool) {
	team, found := x.teams[name]
	return team, found
}

// Domain looks up a failure domain by name.
func (x *Index) Domain(name string) (*Domain, bool) {
	domain, found := x.domains[name]
	return domain, found
}

// FirstRoute returns the first route of a service in the order of the bundle.
func (x *Index) FirstRoute(service string) (*Route, bool) {
	routes := x.routesByService[service]
	if len(routes) == 0 {
		return nil, false
	}
	return routes[0], true
}

// PlainRoute returns the route of a plain service that matches the method and
// has the longest matching path prefix. A route without a method matches all
// methods.
func (x *Index) PlainRoute(service, method, path string) (*Route, bool) {
	var best *Route
	for _, route := range x.routesByService[service] {
		if route.Method != "" && route.Method != method {
			continue
		}
		if !hasPathPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best, best != nil
}

// hasPathPrefix reports whether path equals prefix or is below it.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/' || rest[0] == '?')
}
