// Package routing holds one version of the configuration, independent of its
// wire format, and looks up the route and team of a request.
//
// A Table is immutable: each new version of the configuration gets a new
// Table.
package routing

import "time"

// Kind classifies requests by how often they may run.
type Kind uint8

// Kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota + 1
	// KindUnsafe requests run at most once per attempt of the caller.
	KindUnsafe
	// KindStream requests receive a stream of events. They run at most once
	// per attempt of the caller, unless their route is resumable.
	KindStream
)

// Share is the share of a route's traffic that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Route configures how requests to a host name and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time until the final response to a request.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the
	// first event of a stream. A response within it has its full value.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events with which a stream counts
	// as on time.
	TargetGap time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Shares are the services that the route's traffic is split over.
	Shares []Share
	// MaxAttempts is the maximum number of endpoints that one attempt of the
	// caller may be sent to.
	MaxAttempts int
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// Resumable is set if a stream may resume at another endpoint.
	Resumable bool
}

// IsRetryable reports whether the route's requests may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Engine describes the language-model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCacheTokens is the size of an engine's key-value cache.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in each event of a stream.
	TokensPerEvent int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name, HealthPath string
	// MaxConnections is the number of connections that an endpoint accepts
	// from all hosts together.
	MaxConnections int
	// ColdDuration is how long an endpoint remains cold after its start.
	ColdDuration time.Duration
	// ColdRateLimit is the number of requests per second that a cold endpoint
	// can handle from all hosts together; 0 means no limit.
	ColdRateLimit float64
	// Engine is nil for services without language-model engines.
	Engine *Engine
	// Scaling is nil if the number of endpoints is not ours to order.
	Scaling *Scaling
}

// Scaling bounds the number of a service's endpoints.
type Scaling struct {
	// MinEndpoints and MaxEndpoints hold for each failure domain.
	MinEndpoints, MaxEndpoints int
	// StartDuration is the time from an order until new endpoints serve.
	StartDuration time.Duration
}

// Team is a customer whose requests share one limit.
type Team struct {
	Name string
	Keys []string
	// Priority orders teams by urgency. It takes precedence over the priority
	// of the route.
	Priority int
	// Rate and Burst limit the team's usage, in units per second and in units;
	// a rate of 0 means no limit.
	Rate, Burst float64
	// CountsTokens is set if the unit is a token instead of a request.
	CountsTokens bool
	// DefaultTokens is the charge for a request without token counts.
	DefaultTokens float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
