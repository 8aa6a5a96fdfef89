package placement

import (
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/version/bundle"
)

// Versions splits the requests of a service between endpoint versions. An empty
// version means any version. Implementations must be safe for concurrent use
// and must not block.
type Versions interface {
	// Choose selects the version for a request. It is called once for each
	// request that is placed.
	Choose(service, route string) (version string)
	// Fallback returns the version for requests whose chosen version has no
	// slot available.
	Fallback(service string) (version string)
	// Allows reports whether requests may still go to a version that Choose
	// returned earlier.
	Allows(service, version string) bool
}

// View is the configuration used for placement. It is immutable.
type View struct {
	Bundle *bundle.Bundle
	// ExcludedDomains are the failure domains that accept no new requests.
	ExcludedDomains []string
	// ExcludedEndpoints are the endpoints that accept no new requests because
	// they are leaving or an order has marked them unfit.
	ExcludedEndpoints []string
	// Versions may be nil.
	Versions Versions
	// Hosts are the hosts considered alive, including this one.
	Hosts []identity.Host
}

// Home identifies the host that grants the slots of an endpoint.
type Home struct {
	Host identity.Incarnation
	// MeshAddress is the peer address of the home, as IP:port.
	MeshAddress string
	// Fence is the fencing token of the home's lease; it increases with every
	// change of home.
	Fence uint64
	// First is set if no other host can have been the home before.
	First bool
	// LeaseUntil is when the lease expires on the local monotonic clock, for
	// endpoints whose home is this host. Zero means never.
	LeaseUntil time.Time
}

// Homes looks up the home of an endpoint.
type Homes interface {
	// Home returns the home of an endpoint, or false if none is known. It is
	// called on the request path and must not block.
	Home(endpoint string) (Home, bool)
}

// localHomes makes one host the home of every endpoint.
type localHomes struct{ home Home }

// LocalHomes returns Homes that name the given host as the home of every
// endpoint. It is meant for single-host fleets.
func LocalHomes(self identity.Host) Homes {
	return localHomes{Home{Host: self.Incarnation, MeshAddress: self.MeshAddress, Fence: 1, First: true}}
}

// Home implements Homes.
func (l localHomes) Home(string) (Home, bool) { return l.home, true }
