// Package bundle defines the configuration that operators publish, approve
// and roll out.
//
// A bundle is immutable. Parse checks it whole; nothing of a bundle that
// breaks a rule is ever applied.
package bundle

// SchemaVersion is the bundle schema that this release writes.
const SchemaVersion = 1

// Kind tells model engines from plain services.
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
	// Name is the operators' name for this version, unique in the log.
	Name string `json:"name"`
	// Domains are the failure domains, all that hosts and endpoints name.
	Domains []Domain `json:"domains"`
	// Tiers are the urgency classes of requests.
	Tiers []Tier `json:"tiers"`
	// Services are what callers address.
	Services []Service `json:"services"`
	// Routes are the kinds of requests that callers send to services.
	Routes []Route `json:"routes"`
	// Endpoints are the engines and plain services that run requests.
	Endpoints []Endpoint `json:"endpoints"`
	// Teams are the customers' groups that send requests.
	Teams []Team `json:"teams"`
	// Moves are the version changes under way, at most one for a service.
	Moves []Move `json:"moves,omitempty"`
	// WeightLoadsPerMinute is the fleet-wide pace of load orders that fits the
	// weight store.
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute"`
	// RetentionSeconds is how long request registers and outcomes are kept.
	RetentionSeconds int `json:"retention_seconds"`
	// EntryKeepSeconds is how long callers may keep the answer of /v1/entry.
	EntryKeepSeconds int `json:"entry_keep_seconds"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Tier is an urgency class.
type Tier struct {
	Name string `json:"name"`
	// Rank orders tiers; 1 is the highest and is shed last.
	Rank int `json:"rank"`
	// FirstTokenMillis is the deadline for the first token or, for a plain
	// service, the answer, counted from the request's arrival. Zero means that
	// the request may be late but is kept.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
}

// Service is what callers address: a model or a plain service.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// LookupPath is where a plain service tells the outcome of a call by its
	// key; {key} stands for the key. Empty if it offers no such lookup.
	LookupPath string `json:"lookup_path,omitempty"`
}

// Route is one kind of requests.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Tier is the tier of the route's requests.
	Tier string `json:"tier"`
	// Method and PathPrefix select the route's requests to a plain service.
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// NonIdempotent marks calls that may run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// KeepAnswer lets a request run to its end after its caller has gone.
	KeepAnswer bool `json:"keep_answer,omitempty"`
	// ExpectedOutputTokens is the length assumed before any was seen.
	ExpectedOutputTokens int `json:"expected_output_tokens,omitempty"`
	// MaxOutputTokens bounds an answer of the route.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
}

// Endpoint is one engine or one process of a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Version is the endpoint version that runs there.
	Version string `json:"version"`
	// Model and Role are what an engine is ordered to run besides its version;
	// empty leaves them as they are. Role is "both", "prefill" or "decode".
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Address is IP:port.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Generation is the hardware generation, a label.
	Generation string `json:"generation,omitempty"`
	// ChecksFencing tells whether it refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ColdSlots is how many requests it bears at once just after a start.
	ColdSlots int `json:"cold_slots"`
	// MaxSlots is how many requests it may ever be given at once.
	MaxSlots int `json:"max_slots"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the speeds assumed
	// before any were measured; decode is for one stream.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second,omitempty"`
	// Adapters are the adapters that it can serve.
	Adapters []string `json:"adapters,omitempty"`
}

// Team is a group of callers with a share of its own.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share among teams of the same tier.
	Weight int `json:"weight"`
	// QueueRequests and QueueBytes bound what the team may have waiting on one
	// host.
	QueueRequests int `json:"queue_requests"`
	QueueBytes    int `json:"queue_bytes"`
}

// Move is a version change of one service.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// CompleteSeconds is how long the move may take from its roll.
	CompleteSeconds int `json:"complete_seconds"`
}
