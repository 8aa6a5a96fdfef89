package placement

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// Config is what a Placer is made of.
type Config struct {
	Self identity.Host
	// Homes may be nil; then this host is the home of every endpoint.
	Homes Homes
	// Caller sends messages to homes on other hosts; it may be nil if there
	// are none.
	Caller mesh.Caller
	// Metrics takes the counters; nil means none.
	Metrics metrics.Registry
	// Now is the clock; nil means time.Now. Its times must carry the monotonic
	// clock.
	Now func() time.Time
}

// Placer places requests. All methods are safe for concurrent use.
type Placer struct {
	config Config
}

// New returns a Placer that refuses everything until the first Update.
func New(config Config) *Placer {
	return &Placer{config: config}
}

// Register adds the handlers of messages from other hosts.
func (p *Placer) Register(router mesh.Router) {}

// Run keeps grants fresh until the context ends.
func (p *Placer) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Update takes a new configuration view. Endpoints that it leaves out or
// marks as out get no new request from then on; what is in flight goes on.
func (p *Placer) Update(view View) {}

// Place waits for an endpoint and a slot. Exactly one result is not nil. The
// caller must end the placement with Done.
func (p *Placer) Place(ctx context.Context, request Request) (*Placement, *Refusal) {
	return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: time.Second}
}

// ObserveLoad takes an engine's load report.
func (p *Placer) ObserveLoad(endpoint string, load engine.Load) {}

// ObserveCache takes a part of an engine's cache events.
func (p *Placer) ObserveCache(endpoint string, events engine.CacheEvents) {}

// Leave makes this host refuse new work and give back its idle slots. What
// waits is refused with ReasonLeaving.
func (p *Placer) Leave() {}

// Placement is an endpoint with a slot for one request.
type Placement struct {
	// Endpoint is the endpoint's name in the bundle.
	Endpoint string
	// Address is IP:port.
	Address string
	// Version is the endpoint version.
	Version string
	// Domain is the endpoint's failure domain.
	Domain string
	// Deadline is when the first token is due; zero means never.
	Deadline time.Time
	// Tier is the request's tier.
	Tier string
}

// FirstToken tells that the first byte of the answer has arrived. Calls after
// the first have no effect.
func (p *Placement) FirstToken() {}

// Done ends the placement and frees its slot. Calls after the first have no
// effect.
func (p *Placement) Done(result Result) {}

// Retry ends the placement as OutcomeNotStarted and places the request again,
// elsewhere if possible, within the retry budget.
func (p *Placement) Retry(ctx context.Context) (*Placement, *Refusal) {
	return nil, &Refusal{Reason: ReasonRetryBudget, RetryAfter: time.Second}
}
