package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
)

// Request is what placement needs to know of a request.
type Request struct {
	// ID names the request in logs; it need not be unique.
	ID string
	// Route is the name of the request's route in the bundle. It sets the
	// service, the tier and the deadline.
	Route string
	// Team is the name of the caller's team in the bundle. Requests of unknown
	// teams share one queue of weight 1.
	Team string
	// Adapter is the adapter that the endpoint must have, if any.
	Adapter string
	// PromptTokens is the length of the prompt, 0 for plain services.
	PromptTokens int
	// MaxOutputTokens bounds the answer; 0 means the route's bound.
	MaxOutputTokens int
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Prefixes are heads of the prompt that an engine may have cached, from
	// the shortest to the longest.
	Prefixes []scheduler.Prefix
	// Arrival is when the request came in; zero means now. The deadline
	// counts from here.
	Arrival time.Time
}

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal. All of them mean that the request was not
// dispatched.
const (
	// ReasonUnknownRoute means that the bundle has no such route.
	ReasonUnknownRoute Reason = "unknown_route"
	// ReasonNoEndpoint means that no endpoint in service can take the request.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonDeadline means that no endpoint can meet the deadline, not even an
	// idle one.
	ReasonDeadline Reason = "deadline"
	// ReasonCapacity means that the request was shed: its deadline cannot be
	// met under the present load, and no lower tier is served in its place.
	ReasonCapacity Reason = "capacity"
	// ReasonQueueFull means that the team has too much waiting on this host.
	ReasonQueueFull Reason = "queue_full"
	// ReasonCanceled means that the caller went away while the request waited.
	ReasonCanceled Reason = "canceled"
	// ReasonLeaving means that this host is stopping.
	ReasonLeaving Reason = "leaving"
	// ReasonRetryBudget means that the request may not be placed again.
	ReasonRetryBudget Reason = "retry_budget"
)

// Refusal tells that a request was not dispatched and why.
type Refusal struct {
	Reason Reason
	// RetryAfter is when another try may be worthwhile; 0 means never.
	RetryAfter time.Duration
}

// Outcome is how a dispatched request ended.
type Outcome int

// The outcomes of a dispatch.
const (
	// OutcomeDone means that the whole answer arrived.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the endpoint failed after it may have started
	// the request.
	OutcomeFailed
	// OutcomeNotStarted means that the endpoint surely did not start the
	// request: connection refused or an explicit refusal.
	OutcomeNotStarted
	// OutcomeCanceled means that the request was cancelled at the endpoint.
	OutcomeCanceled
	// OutcomeDetached means that the request may still run at the endpoint
	// although this host no longer follows it. Its slot stays in use until a
	// load report or a restart of the endpoint shows that it has ended.
	OutcomeDetached
)

// Result is what a dispatch has shown.
type Result struct {
	Outcome Outcome
	// OutputTokens is the length of the answer, 0 if unknown.
	OutputTokens int
	// CachedTokens is how many prompt tokens the engine took from its cache,
	// -1 if it did not say.
	CachedTokens int
}
