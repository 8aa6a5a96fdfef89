package bundle

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mustarddoor/internal/process/jsoncheck"
)

// checker collects the faults of one bundle that a schema cannot state.
type checker struct {
	file   string
	bundle *Bundle
	faults []string

	domains   nameSet
	tiers     nameSet
	services  map[string]Service
	versions  map[serviceVersion]bool
	movesFrom map[string]Move
}

// serviceVersion is one version of one service.
type serviceVersion struct {
	service string
	version string
}

// nameSet holds the names that references may use.
type nameSet map[string]bool

// check returns one line for each broken rule.
func check(file string, b *Bundle) []string {
	c := &checker{
		file:      file,
		bundle:    b,
		domains:   nameSet{},
		tiers:     nameSet{},
		services:  map[string]Service{},
		versions:  map[serviceVersion]bool{},
		movesFrom: map[string]Move{},
	}
	c.checkDomains()
	c.checkTiers()
	c.checkServices()
	c.checkRoutes()
	c.checkEndpoints()
	c.checkTeams()
	c.checkMoves()
	c.checkVersions()
	return c.faults
}

// fault records a broken rule at list/index/field.
func (c *checker) fault(list string, index int, field string, value any, allowed string) {
	path := []string{list, strconv.Itoa(index), field}
	c.faults = append(c.faults, jsoncheck.FormatViolation(c.file, path, value, allowed))
}

// unique records a fault if a name of a list stands in it before.
func (c *checker) unique(seen nameSet, list string, index int, field, name string) {
	if seen[name] {
		c.fault(list, index, field, name, "must be unique in "+list)
	}
	seen[name] = true
}

// refers records a fault if a reference names nothing.
func (c *checker) refers(known bool, list string, index int, field, name, target string) {
	if !known {
		c.fault(list, index, field, name, "must name one of "+target)
	}
}

func (c *checker) checkDomains() {
	for i, domain := range c.bundle.Domains {
		c.unique(c.domains, "domains", i, "name", domain.Name)
	}
}

func (c *checker) checkTiers() {
	ranks := map[int]bool{}
	for i, tier := range c.bundle.Tiers {
		c.unique(c.tiers, "tiers", i, "name", tier.Name)
		if ranks[tier.Rank] {
			c.fault("tiers", i, "rank", tier.Rank, "must be unique in tiers")
		}
		ranks[tier.Rank] = true
	}
}

func (c *checker) checkServices() {
	seen := nameSet{}
	for i, service := range c.bundle.Services {
		c.unique(seen, "services", i, "name", service.Name)
		c.services[service.Name] = service
		if service.Kind == KindEngine && service.LookupPath != "" {
			c.fault("services", i, "lookup_path", service.LookupPath, "must be absent for an engine")
		}
	}
}

func (c *checker) checkRoutes() {
	seen := nameSet{}
	for i, route := range c.bundle.Routes {
		c.unique(seen, "routes", i, "name", route.Name)
		service, known := c.services[route.Service]
		c.refers(known, "routes", i, "service", route.Service, "services")
		c.refers(c.tiers[route.Tier], "routes", i, "tier", route.Tier, "tiers")
		if known {
			c.checkRouteKind(i, route, service.Kind)
		}
		if route.MaxOutputTokens > 0 && route.ExpectedOutputTokens > route.MaxOutputTokens {
			allowed := fmt.Sprintf("must be at most max_output_tokens, %d", route.MaxOutputTokens)
			c.fault("routes", i, "expected_output_tokens", route.ExpectedOutputTokens, allowed)
		}
	}
}

// checkRouteKind checks that a route selects requests the way its service's
// kind needs.
func (c *checker) checkRouteKind(i int, route Route, kind Kind) {
	switch {
	case kind == KindEngine && route.Method != "":
		c.fault("routes", i, "method", route.Method, "must be absent for an engine")
	case kind == KindEngine && route.PathPrefix != "":
		c.fault("routes", i, "path_prefix", route.PathPrefix, "must be absent for an engine")
	case kind == KindPlain && route.Method == "":
		c.fault("routes", i, "method", route.Method, "must be given for a plain service")
	case kind == KindPlain && route.PathPrefix == "":
		c.fault("routes", i, "path_prefix", route.PathPrefix, "must be given for a plain service")
	}
}

func (c *checker) checkEndpoints() {
	names := nameSet{}
	addresses := nameSet{}
	for i, endpoint := range c.bundle.Endpoints {
		c.unique(names, "endpoints", i, "name", endpoint.Name)
		_, known := c.services[endpoint.Service]
		c.refers(known, "endpoints", i, "service", endpoint.Service, "services")
		c.refers(c.domains[endpoint.Domain], "endpoints", i, "domain", endpoint.Domain, "domains")
		c.checkAddress(addresses, i, endpoint.Address)
		if endpoint.MaxSlots < endpoint.ColdSlots {
			allowed := fmt.Sprintf("must be at least cold_slots, %d", endpoint.ColdSlots)
			c.fault("endpoints", i, "max_slots", endpoint.MaxSlots, allowed)
		}
		c.versions[serviceVersion{endpoint.Service, endpoint.Version}] = true
	}
}

// checkAddress checks that an address is a unique IP:port.
func (c *checker) checkAddress(seen nameSet, i int, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.fault("endpoints", i, "address", address, "must be IP:port, the port from 1 to 65535")
		return
	}
	c.unique(seen, "endpoints", i, "address", parsed.String())
}

func (c *checker) checkTeams() {
	seen := nameSet{}
	for i, team := range c.bundle.Teams {
		c.unique(seen, "teams", i, "name", team.Name)
	}
}

func (c *checker) checkMoves() {
	seen := nameSet{}
	for i, move := range c.bundle.Moves {
		c.unique(seen, "moves", i, "service", move.Service)
		_, known := c.services[move.Service]
		c.refers(known, "moves", i, "service", move.Service, "services")
		if move.From == move.To {
			c.fault("moves", i, "to", move.To, "must differ from from")
		}
		c.checkMoveVersion(i, "from", move.Service, move.From)
		c.checkMoveVersion(i, "to", move.Service, move.To)
		c.movesFrom[move.Service] = move
	}
}

// checkMoveVersion checks that an endpoint of the service has the version.
func (c *checker) checkMoveVersion(i int, field, service, version string) {
	if !c.versions[serviceVersion{service, version}] {
		c.fault("moves", i, field, version, "must be the version of an endpoint of "+service)
	}
}

// checkVersions checks that a service runs one version, or the two of its
// move, so that no version takes traffic outside a move.
func (c *checker) checkVersions() {
	first := map[string]string{}
	for i, endpoint := range c.bundle.Endpoints {
		allowed := c.allowedVersions(first, endpoint)
		if !slices.Contains(allowed, endpoint.Version) {
			text := "must be " + strings.Join(allowed, " or ") + ", or the service needs a move"
			c.fault("endpoints", i, "version", endpoint.Version, text)
		}
	}
}

// allowedVersions gives the versions that an endpoint may have.
func (c *checker) allowedVersions(first map[string]string, endpoint Endpoint) []string {
	if move, moving := c.movesFrom[endpoint.Service]; moving {
		return []string{move.From, move.To}
	}
	version, known := first[endpoint.Service]
	if !known {
		first[endpoint.Service] = endpoint.Version
		version = endpoint.Version
	}
	return []string{version}
}
