package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table answers questions about one version of the configuration. It is safe
// for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	routes   map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	byName   map[string]*Team
}

// NewTable indexes a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		Version:  config.Version,
		Limits:   config.Limits,
		routes:   map[string][]*Route{},
		services: map[string]*Service{},
		teams:    map[string]*Team{},
		byName:   map[string]*Team{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Teams {
		team := &config.Teams[i]
		t.byName[team.Name] = team
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	return t
}

// Match is the route with the longest prefix of the path, or nil. A port in
// the host name is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// TeamOf is the team that holds a key, or nil.
func (t *Table) TeamOf(key string) *Team { return t.teams[key] }

// Team is the team of a name, or nil.
func (t *Table) Team(name string) *Team { return t.byName[name] }

// HasTeams reports whether requests need keys.
func (t *Table) HasTeams() bool { return len(t.byName) > 0 }

// Service is the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Choose picks one of the route's services by their weights. The draw is
// uniform in [0, 1).
func (r *Route) Choose(draw float64) string {
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
