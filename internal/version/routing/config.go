// Package routing holds a version of the configuration in the product's own
// terms and answers which route and team a request belongs to.
//
// A Table is immutable: each new version of the configuration makes a new one.
package routing

import "time"

// Kind tells how often a request may run.
type Kind uint8

// The kinds of requests.
const (
	// KindSafe may run more than once.
	KindSafe Kind = iota + 1
	// KindUnsafe runs at most once for each attempt of the caller.
	KindUnsafe
	// KindStream is answered with a series of events. It runs at most once,
	// unless its route is resumable.
	KindStream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Route says how the requests below a path prefix of a host name are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time in which a request gets its final answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, within
	// which the answer has its full value.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream that is on time.
	TargetGap time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// Shares are the services that the route's requests go to.
	Shares []Share
	// MaxAttempts is the greatest number of endpoints one attempt of the caller
	// may be sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// IsRetryable reports whether the route's requests may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Engine is what a service's language-model engines have in common.
type Engine struct {
	// Slots is the number of requests an engine runs at once.
	Slots int
	// KVCacheTokens is the size of an engine's key-value cache.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a set of like endpoints.
type Service struct {
	Name, HealthPath string
	// MaxConnections is what an endpoint accepts from all hosts together.
	MaxConnections int
	// ColdDuration is how long an endpoint is cold after its start.
	ColdDuration time.Duration
	// ColdRateLimit is the number of requests a second that a cold endpoint bears
	// from all hosts together; 0 is no limit.
	ColdRateLimit float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a party whose requests count together.
type Team struct {
	Name string
	Keys []string
	// Priority orders teams by urgency, before the ranks of routes.
	Priority int
	// Rate and Burst limit what the team may use, in units a second and
	// units; a rate of 0 is no limit.
	Rate, Burst float64
	// CountsTokens tells that the unit is a token and not a request.
	CountsTokens bool
	// DefaultTokens is what a request without token counts is charged.
	DefaultTokens float64
}

// Limits bound what callers may send.
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
