package placement

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/version/bundle"
)

// VersionChoice picks the endpoint version for one request of a service and
// route. It is called once for each request that is placed. An empty version
// means that any will do. It must be safe for concurrent use.
type VersionChoice func(service, route string) (version string)

// SteadyVersion names the version of a service for requests that the version
// picked by VersionChoice cannot serve at once. It is called often, and its
// answer may change while a request waits. It must be safe for concurrent use.
type SteadyVersion func(service string) (version string)

// View is the configuration that placement follows. It is immutable.
type View struct {
	Bundle *bundle.Bundle
	// DomainsOut are the failure domains that take no new work.
	DomainsOut []string
	// EndpointsOut are endpoints that take no new work: leaving ones and those
	// that an order has made unfit.
	EndpointsOut []string
	// ChooseVersion may be nil.
	ChooseVersion VersionChoice
	// Steady must be set if ChooseVersion is.
	Steady SteadyVersion
	// Hosts are the hosts believed to be alive, with this one.
	Hosts []identity.Host
}

// Home is the host that grants an endpoint's slots.
type Home struct {
	Host identity.Incarnation
	// MeshAddress is where the home takes messages, as IP:port.
	MeshAddress string
	// Fence is the fencing number of the home's lease; it grows with every
	// change of home.
	Fence uint64
	// First tells that no other host can have been the home before.
	First bool
	// LeaseUntil is, for an endpoint whose home this host is, when the lease
	// runs out on the local monotonic clock. Zero means that it never does.
	LeaseUntil time.Time
}

// Homes tells which host is the home of an endpoint.
type Homes interface {
	// Home returns the endpoint's home, or false if none is known. It is
	// called on the path of requests and must not block.
	Home(endpoint string) (Home, bool)
}

// localHomes makes one host the home of every endpoint.
type localHomes struct{ home Home }

// LocalHomes returns Homes that name the given host for every endpoint. It is
// for a fleet of one host.
func LocalHomes(self identity.Host) Homes {
	return localHomes{Home{Host: self.Incarnation, MeshAddress: self.MeshAddress, Fence: 1, First: true}}
}

// Home implements Homes.
func (l localHomes) Home(string) (Home, bool) { return l.home, true }
