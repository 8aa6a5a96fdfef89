package placement

import (
	"time"

	"mustarddoor/internal/process/scheduler"
)

// Request describes a request to be placed.
type Request struct {
	// ID identifies the request in logs; it need not be unique.
	ID string
	// Route is the name of the request's route in the bundle. It determines the
	// service, the tier and the deadline.
	Route string
	// Team is the name of the caller's team in the bundle. Requests of unknown
	// teams share one queue with weight 1.
	Team string
	// Adapter is the adapter that the endpoint must have loaded; empty means
	// none.
	Adapter string
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int
	// MaxOutputTokens limits the length of the response; 0 means the route's
	// limit.
	MaxOutputTokens int
	// Bytes is the memory that the request occupies while it waits.
	Bytes int
	// Prefixes are the prefixes of the prompt that an engine may have cached,
	// from shortest to longest.
	Prefixes []scheduler.Prefix
	// Arrival is when the request arrived; zero means now. The deadline is
	// counted from here.
	Arrival time.Time
}

// Reason is why a request was refused.
type Reason string

// Reasons of a refusal. In all cases, the request was not dispatched.
const (
	// ReasonUnknownRoute means that the bundle has no such route.
	ReasonUnknownRoute Reason = "unknown_route"
	// ReasonNoEndpoint means that no endpoint in service can serve the request.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonDeadline means that no endpoint could meet the deadline, even if it
	// were idle.
	ReasonDeadline Reason = "deadline"
	// ReasonCapacity means that the request was shed: its deadline cannot be
	// met under the present load, and no request of a lower tier is being
	// served.
	ReasonCapacity Reason = "capacity"
	// ReasonQueueFull means that the team has reached its queue limit on this
	// host.
	ReasonQueueFull Reason = "queue_full"
	// ReasonCanceled means that the caller disconnected while the request waited.
	ReasonCanceled Reason = "canceled"
	// ReasonLeaving means that this host is stopping.
	ReasonLeaving Reason = "leaving"
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget Reason = "retry_budget"
)

// Refusal reports that a request was not dispatched and why.
type Refusal struct {
	Reason Reason
	// RetryAfter is the suggested delay before a retry; 0 means that a retry is
	// pointless.
	RetryAfter time.Duration
}

// Outcome is how a dispatched request ended.
type Outcome int

// Outcomes of a dispatched request.
const (
	// OutcomeDone means that the complete response arrived.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the endpoint failed after it may have started
	// the request.
	OutcomeFailed
	// OutcomeNotStarted means that the endpoint is known not to have started
	// the request: it refused the connection or explicitly refused the
	// request.
	OutcomeNotStarted
	// OutcomeCanceled means that the request was canceled at the endpoint.
	OutcomeCanceled
	// OutcomeDetached means that the request may still run at the endpoint
	// although this host no longer tracks it. Its slot stays in use until a
	// load report or a restart of the endpoint shows that it has ended.
	OutcomeDetached
)

// Result is the result of a dispatched request.
type Result struct {
	Outcome Outcome
	// OutputTokens is the length of the response; 0 if unknown.
	OutputTokens int
	// CachedTokens is the number of prompt tokens that the engine served from
	// its cache; -1 if not reported.
	CachedTokens int
}
