// Package relay proxies callers' requests to endpoints: it matches the route,
// authenticates the team, charges the team's limit, sends the request, retries
// it where that is allowed, and streams the response back.
package relay

import (
	"net/http"
	"time"

	"mustarddoor/internal/process/quarantine"
)

// RequestAttributes are the attributes in the header of a caller's request.
type RequestAttributes struct {
	// ID identifies one attempt of the caller.
	ID string
	// APIKey authenticates the team; empty if none was sent.
	APIKey string
	// Deadline is how long the caller waits; 0 if unspecified.
	Deadline time.Duration
	// LastEventID is the event after which a stream resumes; empty if it
	// starts from the beginning.
	LastEventID string
	// HasTokenCounts is set if the token counts were sent.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt, MaxTokens the maximum length
	// of the output, and OutputTokensHint the caller's estimate of that
	// length, or 0.
	PromptTokens, MaxTokens, OutputTokensHint int
	// SharedParts identifies the parts of the prompt that other requests may
	// have too, in order.
	SharedParts []quarantine.Part
}

// SendAttributes are the attributes added to a request that is forwarded to an
// endpoint.
type SendAttributes struct {
	// Endpoint is the only endpoint that may run the request.
	Endpoint string
	// Team is the caller's team; empty for anonymous requests.
	Team string
	// Deadline is the time left, after which the endpoint should stop.
	Deadline time.Duration
	// LastEventID is the event after which a stream resumes.
	LastEventID string
}

// ResponseAttributes are the attributes in the header of an endpoint's
// response.
type ResponseAttributes struct {
	// ID is the ID of the request that the response belongs to; empty if
	// unspecified.
	ID string
	// NotRun is set if the endpoint states that it has not run the request.
	NotRun bool
	// Sealed is set if the endpoint has signed the response.
	Sealed bool
	// ColdRemaining is how long the endpoint remains cold.
	ColdRemaining time.Duration
	// IsBrittle is set if the endpoint fails when it has to refuse more than
	// MaxRejections requests a second from all hosts together.
	IsBrittle     bool
	MaxRejections float64
	// RetryAfter is the time for which an endpoint that refuses the request wants none
	// from this host; 0 if unspecified.
	RetryAfter time.Duration
	// Leaving is set if the endpoint announces that it shuts down.
	Leaving bool
	// HasRateLimit is set if the endpoint names a limit, RateLimit is the number of
	// requests a second that it accepts from all hosts together.
	HasRateLimit bool
	RateLimit    float64
}

// Protocol translates between HTTP headers and attributes.
type Protocol interface {
	// ParseRequest parses the header of a caller's request.
	ParseRequest(request *http.Request) RequestAttributes
	// ForwardHeader returns the request header for an endpoint.
	ForwardHeader(from http.Header, send SendAttributes) http.Header
	// CarriedHeader returns the request header for another host that is to serve the
	// request in the time left.
	CarriedHeader(from http.Header, timeLeft time.Duration) http.Header
	// ParseResponse parses the header of an endpoint's response.
	ParseResponse(status int, header http.Header) ResponseAttributes
	// CopyResponseHeader copies the header fields that the caller may receive.
	CopyResponseHeader(to, from http.Header)
	// SetRefusalHeader sets the header of a response that this host generates
	// itself. A retryAfter of 0 is omitted.
	SetRefusalHeader(header http.Header, id string, retryAfter time.Duration)
}
