package placement

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/version/bundle"
)

// Versions shares a service's requests between endpoint versions. Empty
// versions mean that any will do. It must be safe for concurrent use and must
// not block.
type Versions interface {
	// Choose picks the version for one request. It is called once for each
	// request that is placed.
	Choose(service, route string) (version string)
	// Fallback names the version for requests for which the chosen one has no
	// slot.
	Fallback(service string) (version string)
	// Allows reports whether requests may still go to a version that Choose
	// has picked before.
	Allows(service, version string) bool
}

// View is the configuration that placement follows. It is immutable.
type View struct {
	Bundle *bundle.Bundle
	// DomainsOut are the failure domains that take no new work.
	DomainsOut []string
	// EndpointsOut are endpoints that take no new work: leaving ones and those
	// that an order has made unfit.
	EndpointsOut []string
	// Versions may be nil.
	Versions Versions
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
