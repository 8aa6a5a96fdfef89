package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/session"
)

// mintedPart is the caller's part of keys that a host makes.
const mintedPart = "r"

// callerRequests serves the caller interface.
type callerRequests struct {
	self     identity.Host
	runner   *flow.Runner
	registry *owner.Registry
	minter   *session.Issuer
	// live lists the other hosts that are alive and not leaving.
	live func() []identity.Host
	// keep is how long an entry may be kept.
	keep func() time.Duration
	// leaving reports whether this host is stopping.
	leaving func() bool
}

// makeRequests makes what serves callers.
func (h *host) makeRequests() error {
	h.requests = &callerRequests{
		self:     h.self,
		registry: h.registry,
		minter:   session.NewIssuer(h.self, h, h.sessionClock),
		live:     h.Live,
		keep:     h.entryKeep,
		leaving:  h.stopping.Load,
	}
	h.requests.runner = flow.New(flow.Config{
		Registry:   h.registry,
		Placer:     h.placer,
		Endpoints:  h.endpoints,
		Forwarder:  h.makeForwarder(),
		Events:     flow.Events{Recorder: h.ring},
		Observer:   &versionWatcher{judge: h.judge, index: h.index.Load},
		OtherHosts: h.requests.otherAddresses,
		Metrics:    h.metrics,
	})
	h.callers = caller.NewServer(caller.Config{
		Requests:       h.requests,
		Index:          h.index.Load,
		NotReadyReason: h.notConfigured,
		OtherHosts:     h.requests.otherAddresses,
		MaxBodyBytes:   h.settings.Limits.BodyBytes,
		Metrics:        h.metrics,
	})
	return nil
}

// Serve implements caller.Requests.
func (c *callerRequests) Serve(ctx context.Context, request *flow.Request, w http.ResponseWriter) {
	c.runner.Serve(ctx, request, w)
}

// Resume implements caller.Requests.
func (c *callerRequests) Resume(ctx context.Context, request *flow.Request, w http.ResponseWriter) {
	c.runner.Resume(ctx, request, w)
}

// CloseKey implements caller.Requests.
func (c *callerRequests) CloseKey(requestKey key.Key) outcome.Outcome {
	if !c.registry.Owns(requestKey) {
		return outcome.Unknown
	}
	if c.registry.Locate(requestKey, true).State == owner.StateRefused {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// NewKey implements caller.Requests.
func (c *callerRequests) NewKey() key.Key {
	return key.Key{Session: c.minter.Issue(), Part: mintedPart}
}

// Entry implements caller.Requests. It names this host first, then those of
// other failure domains, then the rest; a host that is stopping leaves itself
// out.
func (c *callerRequests) Entry() caller.Entry {
	return caller.Entry{
		Addresses: c.addresses(),
		TTLMillis: c.keep().Milliseconds(),
		Session:   c.minter.Issue().String(),
	}
}

func (c *callerRequests) addresses() []string {
	others := c.otherAddresses()
	if c.leaving() {
		return others
	}
	return append([]string{c.self.Address}, others...)
}

// otherAddresses lists the caller addresses of other live hosts, those of
// other failure domains first.
func (c *callerRequests) otherAddresses() []string {
	hosts := slices.Clone(c.live())
	slices.SortStableFunc(hosts, func(a, b identity.Host) int {
		return c.preference(a) - c.preference(b)
	})
	addresses := []string{}
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

func (c *callerRequests) preference(host identity.Host) int {
	if host.Domain == c.self.Domain {
		return 1
	}
	return 0
}
