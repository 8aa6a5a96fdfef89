// Package caller is the HTTP interface for callers: which host to use, model
// requests, calls of plain services, and the state of earlier requests.
package caller

import "mustarddoor/internal/request/flow"

// Headers of the caller interface.
const (
	// HeaderIdempotencyKey carries the request key; a host makes one if it is
	// missing.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderKey tells the caller the request key.
	HeaderKey = "Mustarddoor-Key"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Mustarddoor-Team"
	// HeaderRoute names the request's route if the request does not tell.
	HeaderRoute = "Mustarddoor-Route"
	// HeaderRelay names the host that sent a request on to its owner.
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

// Entry tells a caller which hosts to use.
type Entry struct {
	// Addresses are IP:port, best first.
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the answer may be kept, in milliseconds.
	TTLMillis int64 `json:"keep_ms"`
	// Session is the first part of the caller's request keys.
	Session string `json:"session"`
}
