// Package caller implements the HTTP interface for callers: discovery of hosts,
// requests to model engines and plain services, and the responses to earlier
// requests.
package caller

import "mustarddoor/internal/request/flow"

// Headers of the caller interface.
const (
	// HeaderIdempotencyKey carries the request key. The host creates one if it
	// is missing.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderKey returns the request key to the caller.
	HeaderKey = "Mustarddoor-Key"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Mustarddoor-Team"
	// HeaderRoute names the request's route, where path and model do not
	// determine it.
	HeaderRoute = "Mustarddoor-Route"
	// HeaderRelay names the host that relayed a request to its owner.
	HeaderRelay = flow.HeaderRelay
)

// Paths of the caller interface.
const (
	PathEntry       = "/v1/entry"
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathServices    = "/v1/services/"
	PathRequests    = "/v1/requests/"
)

// Entry lists the hosts that a caller should use.
type Entry struct {
	// Addresses are IP:port, in order of preference.
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the caller may cache the entry.
	TTLMillis int64 `json:"keep_ms"`
	// Session is the first part of the caller's request keys.
	Session string `json:"session"`
}
