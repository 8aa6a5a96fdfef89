// Package engine speaks the published protocols of endpoints: model engines
// and plain services.
package engine

// Headers that go with every request to an endpoint.
const (
	// HeaderKey carries the request key. Engines use it for resume and cancel,
	// plain services for lookup.
	HeaderKey = "X-Request-Key"
)

// Paths of a model engine; %s stands for the escaped request key.
const (
	// PathChat and PathCompletions take OpenAI-style JSON and, with
	// stream=true, answer server-sent events: "data: {json}" and, last,
	// "data: [DONE]".
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	// PathStream takes a GET with offset, a number of bytes of the answer's
	// event stream, and answers the stream from there on, running or finished;
	// status 404 if the engine knows no such request.
	PathStream = "/v1/streams/%s"
	// PathCancel takes a POST and stops the request; status 404 if unknown.
	PathCancel = "/v1/streams/%s/cancel"
	// PathLoad takes a GET and answers Load, with a lag.
	PathLoad = "/v1/load"
	// PathState takes a GET and answers State, without lag.
	PathState = "/v1/state"
	// PathOrders takes a POST of Order and answers State; status 409 if the
	// engine checks fencing numbers and the order's is old.
	PathOrders = "/v1/orders"
	// PathCacheEvents takes a GET with from (sequence number) and answers
	// CacheEvents, late and with gaps.
	PathCacheEvents = "/v1/cache/events"
	// PathCacheBlocks takes a GET with prefix (hash) to export KV cache and a
	// POST to import it, both application/octet-stream.
	PathCacheBlocks = "/v1/cache/blocks"
)

// Load is an engine's own report of its load.
type Load struct {
	// Incarnation changes with every start of the engine.
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// CachedTokens is how many prompt tokens the prefix cache holds.
	CachedTokens int64 `json:"cached_tokens"`
	// AgeMillis is how old the report is.
	AgeMillis int64 `json:"age_ms"`
}

// State is what an engine runs.
type State struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Model       string `json:"model"`
	// Role is "both", "prefill" or "decode".
	Role     string   `json:"role"`
	Adapters []string `json:"adapters"`
	// Ready tells whether it takes requests.
	Ready bool `json:"ready"`
	// LastOrder is the id of the last order that took effect.
	LastOrder string `json:"last_order"`
	// FencingToken is the highest fencing number seen.
	FencingToken uint64 `json:"fence"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order asks an engine to change what it runs.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// FencingToken is the fencing number of the sender's lease.
	FencingToken uint64 `json:"fence"`
}

// CacheEvent tells that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix, hexadecimal.
	Prefix  string `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents is a part of an engine's cache events.
type CacheEvents struct {
	Incarnation  string       `json:"incarnation"`
	Events       []CacheEvent `json:"events"`
	NextSequence uint64       `json:"next"`
}
