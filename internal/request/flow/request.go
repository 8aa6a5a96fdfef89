// Package flow takes a request from its arrival at a host to its outcome.
//
// The steps are: find the request's owner; at the owner, place the request on
// an endpoint, have the witness record the intent, dispatch, and copy the
// answer to the caller; elsewhere, relay to the owner or resume from what the
// witness knows.
package flow

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/version/bundle"
)

// Request is a caller's request that has passed all checks of its form.
type Request struct {
	Key key.Key
	// Route, Tier and Service are those of the bundle in force on arrival.
	Route   *bundle.Route
	Tier    *bundle.Tier
	Service *bundle.Service
	Team    string
	Method  string
	// CallerPath is the path and query that the caller used.
	CallerPath string
	// EndpointPath is the path and query for the endpoint.
	EndpointPath string
	ContentType  string
	Body         []byte
	Adapter      string
	// PromptTokens is an estimate from the prompt's length.
	PromptTokens    int
	MaxOutputTokens int
	// Prefixes are the hashes of the prompt's heads, shortest first.
	Prefixes []scheduler.Prefix
	Arrival  time.Time
	// WantsJSON tells that the caller wants a model's answer as one JSON object
	// instead of an event stream.
	WantsJSON bool
	// Offset is the byte of the answer from which the caller wants it.
	Offset int64
	// IsRelayed tells that another host sent the request on. It is not relayed
	// again.
	IsRelayed bool
}

// IsEngine reports whether the request goes to a model engine.
func (r *Request) IsEngine() bool { return r.Service.Kind == bundle.KindEngine }
