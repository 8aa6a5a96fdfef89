// Package engine implements the client side of the published protocols of
// endpoints: model engines and plain services.
package engine

// Headers of every request to an endpoint.
const (
	// HeaderKey carries the request key. Engines use it for resume and cancel,
	// plain services for lookup.
	HeaderKey = "X-Request-Key"
)

// Paths of a model engine; %s stands for the escaped request key.
const (
	// PathChat and PathCompletions take OpenAI-style JSON and, with
	// stream=true, return server-sent events: "data: {json}" and, at the end,
	// "data: [DONE]".
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	// PathStream takes a GET with offset, in bytes of the response's event
	// stream, and returns the stream of a running or finished request starting
	// there. The status is 404 if the key is unknown.
	PathStream = "/v1/streams/%s"
	// PathCancel takes a POST and cancels the request. The status is 404 if the
	// key is unknown.
	PathCancel = "/v1/streams/%s/cancel"
	// PathLoad takes a GET and returns Load, with a delay.
	PathLoad = "/v1/load"
	// PathState takes a GET and returns State, without a delay.
	PathState = "/v1/state"
	// PathOrders takes a POST of Order and returns State. The status is 409 if
	// the engine checks fencing tokens and that of the order is stale.
	PathOrders = "/v1/orders"
	// PathCacheEvents takes a GET with from (sequence number) and returns
	// CacheEvents, which are delayed and can have gaps.
	PathCacheEvents = "/v1/cache/events"
	// PathCacheBlocks takes a GET with prefix (hash) to export KV cache blocks
	// and a POST to import them, both as application/octet-stream.
	PathCacheBlocks = "/v1/cache/blocks"
)

// Load is the load report of an engine.
type Load struct {
	// Incarnation changes whenever the engine starts.
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// CachedTokens is the number of prompt tokens in the prefix cache.
	CachedTokens int64 `json:"cached_tokens"`
	// AgeMillis is the age of the report.
	AgeMillis int64 `json:"age_ms"`
}

// State is the current configuration of an engine.
type State struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Model       string `json:"model"`
	// Role is "both", "prefill" or "decode".
	Role     string   `json:"role"`
	Adapters []string `json:"adapters"`
	// Ready is set if the engine accepts requests.
	Ready bool `json:"ready"`
	// LastOrder is the ID of the last order that took effect.
	LastOrder string `json:"last_order"`
	// FencingToken is the highest fencing token received.
	FencingToken uint64 `json:"fence"`
}

// OrderKind is the type of change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order requests a change of an engine's configuration.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// FencingToken is the fencing token of the sender's lease.
	FencingToken uint64 `json:"fence"`
}

// CacheEvent reports that a prefix was added to an engine's cache or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix, hexadecimal.
	Prefix  string `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents is a batch of an engine's cache events.
type CacheEvents struct {
	Incarnation  string       `json:"incarnation"`
	Events       []CacheEvent `json:"events"`
	NextSequence uint64       `json:"next"`
}
