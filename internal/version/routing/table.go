package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table indexes one version of the configuration. It is safe for concurrent
// use.
type Table struct {
	Version      uint64
	Limits       Limits
	routesByHost map[string][]*Route
	services     map[string]*Service
	teamsByKey   map[string]*Team
	teamsByName  map[string]*Team
	// hasComparableLimits is set if all teams have a limit in the same unit.
	hasComparableLimits bool
}

// NewTable builds the table for a configuration.
func NewTable(config Config) *Table { return (*Table)(nil).Next(config) }

// Next builds the table for a configuration that replaces that of t, which may be nil. The two
// share the routes that are the same: requests in progress keep the tables of older versions,
// and each would otherwise take as much memory as the newest one.
func (t *Table) Next(config Config) *Table {
	known := t.routesByName()
	next := newTable(config)
	for i := range config.Routes {
		route := known[config.Routes[i].Name]
		if route == nil || !route.equal(&config.Routes[i]) {
			// A pointer into config.Routes would keep all of it.
			changed := config.Routes[i]
			route = &changed
		}
		host := strings.ToLower(route.Host)
		next.routesByHost[host] = append(next.routesByHost[host], route)
	}
	for _, routes := range next.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return next
}

// newTable returns the table for a configuration without its routes.
func newTable(config Config) *Table {
	t := &Table{
		Version:      config.Version,
		Limits:       config.Limits,
		routesByHost: map[string][]*Route{},
		services:     map[string]*Service{},
		teamsByKey:   map[string]*Team{},
		teamsByName:  map[string]*Team{},
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Teams {
		team := &config.Teams[i]
		t.teamsByName[team.Name] = team
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	t.hasComparableLimits = !slices.ContainsFunc(config.Teams, func(team Team) bool {
		return team.Rate <= 0 || team.CountsTokens != config.Teams[0].CountsTokens
	})
	return t
}

// routesByName returns the routes of a table, which may be nil.
func (t *Table) routesByName() map[string]*Route {
	if t == nil {
		return nil
	}
	routes := map[string]*Route{}
	for _, ofHost := range t.routesByHost {
		for _, route := range ofHost {
			routes[route.Name] = route
		}
	}
	return routes
}

// equal reports whether two routes have the same configuration.
func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.Prefix == other.Prefix && r.Kind == other.Kind &&
		r.Timeout == other.Timeout && r.TargetLatency == other.TargetLatency && r.TargetGap == other.TargetGap &&
		r.Priority == other.Priority && slices.Equal(r.Shares, other.Shares) && r.MaxAttempts == other.MaxAttempts &&
		r.Anonymous == other.Anonymous && r.Resumable == other.Resumable
}

// Match returns the route with the longest matching path prefix, or nil. It
// ignores the port in the host name.
func (t *Table) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// TeamByKey returns the team that owns the API key, or nil.
func (t *Table) TeamByKey(key string) *Team { return t.teamsByKey[key] }

// Team returns the team with the given name, or nil.
func (t *Table) Team(name string) *Team { return t.teamsByName[name] }

// HasTeams reports whether any team is configured. Without teams, requests
// need no API key.
func (t *Table) HasTeams() bool { return len(t.teamsByName) > 0 }

// HasComparableLimits reports whether all teams have a limit in the same unit.
func (t *Table) HasComparableLimits() bool { return t.hasComparableLimits }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ScaledServices returns the services whose number of endpoints is ours to order, sorted
// by name.
func (t *Table) ScaledServices() []*Service {
	var scaled []*Service
	for _, service := range t.services {
		if service.Scaling != nil {
			scaled = append(scaled, service)
		}
	}
	slices.SortFunc(scaled, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return scaled
}

// ChooseService selects one of the route's services by weight. draw is a
// random number, uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	sum := 0.0
	for _, share := range r.Shares {
		sum += share.Weight
	}
	draw *= sum
	for _, share := range r.Shares {
		if draw < share.Weight {
			return share.Service
		}
		draw -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
