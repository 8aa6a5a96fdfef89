// Package bundle defines the configuration that operators publish, approve
// and roll out.
//
// A bundle is immutable. Parse validates it as a whole: a bundle that breaks
// any rule is rejected, and no part of it is applied.
package bundle

// SchemaVersion is the bundle schema that this release writes.
const SchemaVersion = 1

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of services.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Bundle is one version of the fleet's configuration.
type Bundle struct {
	// Schema is the schema version, SchemaVersion.
	Schema int `json:"schema"`
	// Name is the version's name, given by operators and unique in the log.
	Name string `json:"name"`
	// Domains are all failure domains that hosts and endpoints refer to.
	Domains []Domain `json:"domains"`
	// Tiers are the priority classes of requests.
	Tiers []Tier `json:"tiers"`
	// Services are the models and plain services that callers address.
	Services []Service `json:"services"`
	// Routes are the classes of requests that callers send to services.
	Routes []Route `json:"routes"`
	// Endpoints are the engines and plain services that run requests.
	Endpoints []Endpoint `json:"endpoints"`
	// Teams are the groups of callers that send requests.
	Teams []Team `json:"teams"`
	// Moves are the version changes in progress, at most one per service.
	Moves []Move `json:"moves,omitempty"`
	// WeightLoadsPerMinute limits the rate of load orders across the fleet to
	// what the weight store can serve.
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute"`
	// RetentionSeconds is how long request records and outcomes are kept.
	RetentionSeconds int `json:"retention_seconds"`
	// EntryKeepSeconds is how long callers may cache the answer of /v1/entry.
	EntryKeepSeconds int `json:"entry_keep_seconds"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Tier is a priority class.
type Tier struct {
	Name string `json:"name"`
	// Rank orders tiers: 1 is the highest priority and is shed last.
	Rank int `json:"rank"`
	// FirstTokenMillis is the deadline, counted from the request's arrival, for
	// the first token or, for a plain service, the answer. Zero means no
	// deadline: the request may be late but is kept.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
}

// Service is what callers address: a model or a plain service.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// LookupPath is the path at which a plain service returns the outcome of a
	// call by its key; {key} is replaced by the key. Empty if the service
	// offers no lookup.
	LookupPath string `json:"lookup_path,omitempty"`
}

// Route is a class of requests to one service.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Tier is the tier of the route's requests.
	Tier string `json:"tier"`
	// Method and PathPrefix select the route's requests to a plain service.
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// NonIdempotent marks calls that may be executed at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// KeepAnswer lets a request run to completion after its caller has
	// disconnected.
	KeepAnswer bool `json:"keep_answer,omitempty"`
	// ExpectedOutputTokens is the answer length assumed until answers of the
	// route have been observed.
	ExpectedOutputTokens int `json:"expected_output_tokens,omitempty"`
	// MaxOutputTokens bounds the length of an answer.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
}

// Endpoint is one engine or one process of a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Version is the version that the endpoint runs.
	Version string `json:"version"`
	// Model and Role are what an engine is ordered to run in addition to its
	// version; an empty value leaves the current one. Role is "both", "prefill"
	// or "decode".
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Address is IP:port.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Generation is a label for the hardware generation.
	Generation string `json:"generation,omitempty"`
	// ChecksFencing reports whether the endpoint refuses orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ColdSlots is the number of concurrent requests that the endpoint can
	// handle just after a start.
	ColdSlots int `json:"cold_slots"`
	// MaxSlots is the upper limit of concurrent requests.
	MaxSlots int `json:"max_slots"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the speeds assumed
	// until measurements exist; the decode speed is that of one stream.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second,omitempty"`
	// Adapters are the adapters that the endpoint can serve.
	Adapters []string `json:"adapters,omitempty"`
}

// Team is a group of callers with its own share of the capacity.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's relative share among teams of the same tier.
	Weight int `json:"weight"`
	// QueueRequests and QueueBytes bound the team's waiting requests on one
	// host.
	QueueRequests int `json:"queue_requests"`
	QueueBytes    int `json:"queue_bytes"`
}

// Move is a version change of one service.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// CompleteSeconds is how long the move may take, counted from its roll.
	CompleteSeconds int `json:"complete_seconds"`
}
