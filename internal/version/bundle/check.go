package bundle

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mustarddoor/internal/process/jsoncheck"
)

// checker collects the violations of rules that a JSON Schema cannot express.
type checker struct {
	file   string
	bundle *Bundle
	faults []string

	domains        nameSet
	tiers          nameSet
	services       map[string]Service
	versions       map[serviceVersion]bool
	movesByService map[string]Move
}

// serviceVersion identifies a version of a service.
type serviceVersion struct {
	service string
	version string
}

// nameSet is a set of names, for example those that references may use.
type nameSet map[string]bool

// check validates the bundle and returns one line for each broken rule.
func check(file string, b *Bundle) []string {
	c := &checker{
		file:           file,
		bundle:         b,
		domains:        nameSet{},
		tiers:          nameSet{},
		services:       map[string]Service{},
		versions:       map[serviceVersion]bool{},
		movesByService: map[string]Move{},
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

// addFault reports a broken rule at the path /list/index/field.
func (c *checker) addFault(list string, index int, field string, value any, allowed string) {
	path := []string{list, strconv.Itoa(index), field}
	c.faults = append(c.faults, jsoncheck.FormatViolation(c.file, path, value, allowed))
}

// checkUnique reports a fault if an earlier element of the list has the name.
func (c *checker) checkUnique(seen nameSet, list string, index int, field, name string) {
	if seen[name] {
		c.addFault(list, index, field, name, "must be unique in "+list)
	}
	seen[name] = true
}

// checkReference reports a fault if a reference does not resolve.
func (c *checker) checkReference(known bool, list string, index int, field, name, target string) {
	if !known {
		c.addFault(list, index, field, name, "must name one of "+target)
	}
}

func (c *checker) checkDomains() {
	for i, domain := range c.bundle.Domains {
		c.checkUnique(c.domains, "domains", i, "name", domain.Name)
	}
}

func (c *checker) checkTiers() {
	ranks := map[int]bool{}
	for i, tier := range c.bundle.Tiers {
		c.checkUnique(c.tiers, "tiers", i, "name", tier.Name)
		if ranks[tier.Rank] {
			c.addFault("tiers", i, "rank", tier.Rank, "must be unique in tiers")
		}
		ranks[tier.Rank] = true
	}
}

func (c *checker) checkServices() {
	seen := nameSet{}
	for i, service := range c.bundle.Services {
		c.checkUnique(seen, "services", i, "name", service.Name)
		c.services[service.Name] = service
		if service.Kind == KindEngine && service.LookupPath != "" {
			c.addFault("services", i, "lookup_path", service.LookupPath, "must be absent for an engine")
		}
	}
}

func (c *checker) checkRoutes() {
	seen := nameSet{}
	for i, route := range c.bundle.Routes {
		c.checkUnique(seen, "routes", i, "name", route.Name)
		service, known := c.services[route.Service]
		c.checkReference(known, "routes", i, "service", route.Service, "services")
		c.checkReference(c.tiers[route.Tier], "routes", i, "tier", route.Tier, "tiers")
		if known {
			c.checkRouteKind(i, route, service.Kind)
		}
		if route.MaxOutputTokens > 0 && route.ExpectedOutputTokens > route.MaxOutputTokens {
			allowed := fmt.Sprintf("must be at most max_output_tokens, %d", route.MaxOutputTokens)
			c.addFault("routes", i, "expected_output_tokens", route.ExpectedOutputTokens, allowed)
		}
	}
}

// checkRouteKind checks that a route has the request selectors that its
// service's kind requires.
func (c *checker) checkRouteKind(i int, route Route, kind Kind) {
	switch {
	case kind == KindEngine && route.Method != "":
		c.addFault("routes", i, "method", route.Method, "must be absent for an engine")
	case kind == KindEngine && route.PathPrefix != "":
		c.addFault("routes", i, "path_prefix", route.PathPrefix, "must be absent for an engine")
	case kind == KindPlain && route.Method == "":
		c.addFault("routes", i, "method", route.Method, "must be given for a plain service")
	case kind == KindPlain && route.PathPrefix == "":
		c.addFault("routes", i, "path_prefix", route.PathPrefix, "must be given for a plain service")
	}
}

func (c *checker) checkEndpoints() {
	names := nameSet{}
	addresses := nameSet{}
	for i, endpoint := range c.bundle.Endpoints {
		c.checkUnique(names, "endpoints", i, "name", endpoint.Name)
		_, known := c.services[endpoint.Service]
		c.checkReference(known, "endpoints", i, "service", endpoint.Service, "services")
		c.checkReference(c.domains[endpoint.Domain], "endpoints", i, "domain", endpoint.Domain, "domains")
		c.checkAddress(addresses, i, endpoint.Address)
		if endpoint.MaxSlots < endpoint.ColdSlots {
			allowed := fmt.Sprintf("must be at least cold_slots, %d", endpoint.ColdSlots)
			c.addFault("endpoints", i, "max_slots", endpoint.MaxSlots, allowed)
		}
		c.versions[serviceVersion{endpoint.Service, endpoint.Version}] = true
	}
}

// checkAddress checks that an address is a valid and unique IP:port.
func (c *checker) checkAddress(seen nameSet, i int, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.addFault("endpoints", i, "address", address, "must be IP:port, the port from 1 to 65535")
		return
	}
	c.checkUnique(seen, "endpoints", i, "address", parsed.String())
}

func (c *checker) checkTeams() {
	seen := nameSet{}
	for i, team := range c.bundle.Teams {
		c.checkUnique(seen, "teams", i, "name", team.Name)
	}
}

func (c *checker) checkMoves() {
	seen := nameSet{}
	for i, move := range c.bundle.Moves {
		c.checkUnique(seen, "moves", i, "service", move.Service)
		_, known := c.services[move.Service]
		c.checkReference(known, "moves", i, "service", move.Service, "services")
		if move.From == move.To {
			c.addFault("moves", i, "to", move.To, "must differ from from")
		}
		c.checkMoveVersion(i, "from", move.Service, move.From)
		c.checkMoveVersion(i, "to", move.Service, move.To)
		c.movesByService[move.Service] = move
	}
}

// checkMoveVersion checks that an endpoint of the service runs the version.
func (c *checker) checkMoveVersion(i int, field, service, version string) {
	if !c.versions[serviceVersion{service, version}] {
		c.addFault("moves", i, field, version, "must be the version of an endpoint of "+service)
	}
}

// checkVersions checks that the endpoints of a service run one version, or the
// two versions of its move, so that no other version receives traffic.
func (c *checker) checkVersions() {
	firstVersion := map[string]string{}
	for i, endpoint := range c.bundle.Endpoints {
		allowed := c.allowedVersions(firstVersion, endpoint)
		if !slices.Contains(allowed, endpoint.Version) {
			text := "must be " + strings.Join(allowed, " or ") + ", or the service needs a move"
			c.addFault("endpoints", i, "version", endpoint.Version, text)
		}
	}
}

// allowedVersions returns the versions that an endpoint may run. Without a
// move, the first endpoint of a service determines it.
func (c *checker) allowedVersions(firstVersion map[string]string, endpoint Endpoint) []string {
	if move, moving := c.movesByService[endpoint.Service]; moving {
		return []string{move.From, move.To}
	}
	version, known := firstVersion[endpoint.Service]
	if !known {
		firstVersion[endpoint.Service] = endpoint.Version
		version = endpoint.Version
	}
	return []string{version}
}
