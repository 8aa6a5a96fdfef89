// Package relay serves one request of a caller: it finds the route and the
// team, takes what the request may use, sends it to an endpoint, repeats it
// where that is allowed, and passes the answer on as it comes.
package relay

import (
	"net/http"
	"time"
)

// Attributes are what a caller says of its request.
type Attributes struct {
	// ID names one attempt of the caller.
	ID string
	// Key proves the team; empty if none was sent.
	Key string
	// Deadline is how long the caller waits; 0 if it did not say.
	Deadline time.Duration
	// LastEvent is the event after which a stream goes on; empty for a start.
	LastEvent string
	// HasTokens tells that the token counts were sent.
	HasTokens bool
	// PromptTokens is the length of the prompt, MaxTokens the greatest length
	// of the answer, HintedTokens the caller's guess of it or 0.
	PromptTokens, MaxTokens, HintedTokens int
}

// Send is what the system says to an endpoint of a request.
type Send struct {
	// Endpoint is the only one that may run the request.
	Endpoint string
	// Team is the caller's team; empty for anonymous requests.
	Team string
	// Deadline is when the endpoint should stop.
	Deadline time.Duration
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// AnswerAttributes are what an endpoint says of its answer.
type AnswerAttributes struct {
	// ID is that of the request it answers; empty if it was not said.
	ID string
	// NotRun tells that the endpoint has not run the request.
	NotRun bool
	// Sealed tells that the answer is signed by the endpoint.
	Sealed bool
	// Cold is how long the endpoint stays cold.
	Cold time.Duration
}

// Protocol translates between HTTP headers and attributes.
type Protocol interface {
	// Caller reads a caller's request.
	Caller(request *http.Request) Attributes
	// Forward gives the headers for an endpoint.
	Forward(from http.Header, send Send) http.Header
	// Answer reads the head of an endpoint's answer.
	Answer(status int, header http.Header) AnswerAttributes
	// CopyAnswer copies the headers that a caller gets of an answer.
	CopyAnswer(to, from http.Header)
	// Refuse sets the headers of an answer of our own. A RetryAfter of 0 is
	// left out.
	Refuse(header http.Header, id string, retryAfter time.Duration)
}
