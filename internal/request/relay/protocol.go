// Package relay serves one request of a caller: it finds the route and the
// team, takes what the request may use, sends it to an endpoint, repeats it
// where that is allowed, and passes the answer on as it comes.
package relay

import (
	"net/http"
	"time"
)

// RequestAttributes are what a caller says of its request.
type RequestAttributes struct {
	// ID names one attempt of the caller.
	ID string
	// APIKey proves the team; empty if none was sent.
	APIKey string
	// Deadline is how long the caller waits; 0 if it did not say.
	Deadline time.Duration
	// LastEventID is the event after which a stream goes on; empty for a start.
	LastEventID string
	// HasTokenCounts tells that the token counts were sent.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt, MaxTokens the greatest length
	// of the answer, OutputTokensHint the caller's guess of it or 0.
	PromptTokens, MaxTokens, OutputTokensHint int
}

// SendAttributes is what the system says to an endpoint of a request.
type SendAttributes struct {
	// Endpoint is the only one that may run the request.
	Endpoint string
	// Team is the caller's team; empty for anonymous requests.
	Team string
	// Deadline is when the endpoint should stop.
	Deadline time.Duration
	// LastEventID is the event after which a stream goes on.
	LastEventID string
}

// ResponseAttributes are what an endpoint says of its answer.
type ResponseAttributes struct {
	// ID is that of the request it answers; empty if it was not said.
	ID string
	// NotRun tells that the endpoint has not run the request.
	NotRun bool
	// Sealed tells that the answer is signed by the endpoint.
	Sealed bool
	// ColdRemaining is how long the endpoint stays cold.
	ColdRemaining time.Duration
}

// Protocol translates between HTTP headers and attributes.
type Protocol interface {
	// ParseRequest reads a caller's request.
	ParseRequest(request *http.Request) RequestAttributes
	// ForwardHeader gives the headers for an endpoint.
	ForwardHeader(from http.Header, send SendAttributes) http.Header
	// ParseResponse reads the head of an endpoint's answer.
	ParseResponse(status int, header http.Header) ResponseAttributes
	// CopyResponseHeader copies the headers that a caller gets of an answer.
	CopyResponseHeader(to, from http.Header)
	// SetRefusalHeader sets the headers of an answer of our own. A RetryAfter of 0 is
	// left out.
	SetRefusalHeader(header http.Header, id string, retryAfter time.Duration)
}
