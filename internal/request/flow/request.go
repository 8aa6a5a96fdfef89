// Package flow processes a request from its arrival at a host to its outcome.
//
// The host that owns the request places it on an endpoint, has the witness
// record the intent, dispatches it, and copies the response to the caller. Any
// other host relays the response from the owner or, if the owner is lost,
// resumes it from what the witness or the log has recorded.
package flow

import (
	"time"

	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/version/bundle"
)

// Request is a caller's request that has passed validation.
type Request struct {
	Key key.Key
	// Route, Tier and Service come from the bundle in force on arrival.
	Route   *bundle.Route
	Tier    *bundle.Tier
	Service *bundle.Service
	Team    string
	Method  string
	// CallerPath is the path and query as sent by the caller.
	CallerPath string
	// EndpointPath is the path and query to send to the endpoint.
	EndpointPath string
	ContentType  string
	Body         []byte
	Adapter      string
	// PromptTokens is estimated from the length of the prompt.
	PromptTokens    int
	MaxOutputTokens int
	// Prefixes are hashes of the prompt's prefixes, shortest first.
	Prefixes []scheduler.Prefix
	Arrival  time.Time
	// WantsJSON is set if the caller wants a model's response as a single JSON
	// object instead of an event stream.
	WantsJSON bool
	// Offset is the first byte of the response to send to the caller.
	Offset int64
	// IsRelayed is set if another host forwarded the request. Such a request is
	// not forwarded again.
	IsRelayed bool
}

// IsEngine reports whether the request's service is a model engine.
func (r *Request) IsEngine() bool { return r.Service.Kind == bundle.KindEngine }
