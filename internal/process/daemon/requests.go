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

// issuedKeyPart is the caller's part of request keys that a host generates.
const issuedKeyPart = "r"

// callerRequests implements caller.Requests.
type callerRequests struct {
	self     identity.Host
	runner   *flow.Runner
	registry *owner.Registry
	issuer   *session.Issuer
	// livePeers returns the other hosts that are alive and not leaving.
	livePeers func() []identity.Host
	// entryTTL returns how long callers may cache an entry.
	entryTTL func() time.Duration
	// isStopping reports whether this host is stopping.
	isStopping func() bool
}

// initRequests creates the request runner and the server for callers.
func (h *host) initRequests() error {
	h.requests = &callerRequests{
		self:       h.self,
		registry:   h.registry,
		issuer:     h.issuer,
		livePeers:  h.Live,
		entryTTL:   h.entryTTL,
		isStopping: h.stopping.Load,
	}
	h.requests.runner = flow.New(flow.Config{
		Registry:   h.registry,
		Placer:     h.placer,
		Endpoints:  h.endpoints,
		Forwarder:  h.newForwarder(),
		Events:     flow.Events{Recorder: h.ring},
		Observer:   &attemptObserver{rollouts: h.rollouts, index: h.index.Load},
		OtherHosts: h.requests.otherAddresses,
		Metrics:    h.metrics,
	})
	h.callerServer = caller.NewServer(caller.Config{
		Requests:       h.requests,
		Index:          h.index.Load,
		NotReadyReason: h.notConfiguredReason,
		OtherHosts:     h.requests.otherAddresses,
		MaxBodyBytes:   h.settings.Limits.MaxBodyBytes,
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
	return key.Key{Session: c.issuer.Issue(), Part: issuedKeyPart}
}

// Entry implements caller.Requests. It lists this host first, then hosts of
// other failure domains, then the rest. A stopping host does not list itself.
func (c *callerRequests) Entry() caller.Entry {
	return caller.Entry{
		Addresses: c.entryAddresses(),
		TTLMillis: c.entryTTL().Milliseconds(),
		Session:   c.issuer.Issue().String(),
	}
}

func (c *callerRequests) entryAddresses() []string {
	others := c.otherAddresses()
	if c.isStopping() {
		return others
	}
	return append([]string{c.self.Address}, others...)
}

// otherAddresses returns the frontend addresses of the other live hosts, hosts
// of other failure domains first.
func (c *callerRequests) otherAddresses() []string {
	hosts := slices.Clone(c.livePeers())
	slices.SortStableFunc(hosts, func(a, b identity.Host) int {
		return c.domainOrder(a) - c.domainOrder(b)
	})
	addresses := []string{}
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	return addresses
}

func (c *callerRequests) domainOrder(host identity.Host) int {
	if host.Domain == c.self.Domain {
		return 1
	}
	return 0
}
