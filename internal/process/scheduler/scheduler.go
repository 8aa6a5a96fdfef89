package scheduler

import (
	"time"

	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/request/tier"
)

const (
	// maxFullScan is the largest pool that is scanned completely instead of
	// sampled.
	maxFullScan = 32
	// sampleSize is the number of endpoints sampled from a larger pool, in
	// addition to those that have a prefix of the prompt cached.
	sampleSize = 24
	// maxCandidates is the maximum number of candidates of one decision.
	maxCandidates = 64
	// HomeRoundTrip is the assumed time to request a slot from an endpoint's
	// home.
	HomeRoundTrip = 5 * time.Millisecond
	// decodeWeight is the cost weight of the time from first to last token.
	decodeWeight = 0.2
	// cacheMissWeight is the cost weight of prefilling tokens that another
	// endpoint has cached.
	cacheMissWeight = 4.0
	// tieMargin is the relative cost difference up to which the two best
	// candidates count as tied.
	tieMargin = 0.25
	// firstTokenOverhead is the part of the time to first token that does not
	// depend on the prompt length.
	firstTokenOverhead = 10 * time.Millisecond
)

// Endpoint holds what a decision uses of one endpoint of a pool.
type Endpoint struct {
	// ID identifies the endpoint within the process, the same in all
	// snapshots.
	ID         uint16
	Name       string
	Address    string
	Domain     string
	Version    string
	Adapters   []string
	LocalSlots *slot.LocalSlots
	Live       *LiveStats
}

// Pool is a snapshot of the in-service endpoints of one service, sorted by
// version. It is immutable except for LocalSlots and Live of its endpoints.
type Pool struct {
	endpoints []Endpoint
	// positions maps an endpoint's ID to its index in endpoints, -1 if absent.
	positions []int32
	groups    []versionGroup
	index     *PrefixIndex
}

// versionGroup is the index range of the endpoints of one version.
type versionGroup struct {
	version    string
	start, end int
}

// NewPool returns a pool of endpoints. It sorts the slice in place and retains
// it.
func NewPool(endpoints []Endpoint, index *PrefixIndex) *Pool {
	p := &Pool{endpoints: endpoints, index: index}
	p.sortAndIndex()
	return p
}

// Endpoints returns the pool's endpoints. The caller must not modify them.
func (p *Pool) Endpoints() []Endpoint { return p.endpoints }

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Tier    tier.Tier
	Version string
	Adapter string
	// PromptTokens is the prompt length, OutputTokens the predicted output
	// length.
	PromptTokens, OutputTokens int
	Prefixes                   []Prefix
	// Deadline is the latest time for the first token; zero means none.
	Deadline time.Time
	// Avoid is the ID of an endpoint to exclude if the pool has another one, or
	// NoEndpoint.
	Avoid int
	// LocalSlotsOnly restricts the decision to slots that this host already
	// holds.
	LocalSlotsOnly bool
	// Random drives the sampling and the choice between tied candidates.
	Random uint64
}

// NoEndpoint is the value of Request.Avoid that excludes no endpoint.
const NoEndpoint = -1

// Action is the outcome of a decision.
type Action int

// Possible actions.
const (
	// ActionNoCandidate means that no endpoint is eligible, regardless of load.
	ActionNoCandidate Action = iota
	// ActionDispatch means to acquire a free local slot of the endpoint.
	ActionDispatch
	// ActionRequestSlot means to request a slot from the endpoint's home.
	ActionRequestSlot
	// ActionWait means that no slot is available that would meet the deadline,
	// but an idle endpoint could meet it.
	ActionWait
	// ActionDeadlineUnreachable means that not even an idle endpoint could meet
	// the deadline.
	ActionDeadlineUnreachable
)

// Decision is the result of scheduling a request.
type Decision struct {
	Action Action
	// Endpoint is the index in the pool, valid for ActionDispatch and
	// ActionRequestSlot.
	Endpoint int
	Estimate Estimate
}

// Estimate predicts the latency of a request at an endpoint.
type Estimate struct {
	// FirstToken and LastToken are measured from the dispatch.
	FirstToken, LastToken time.Duration
	// IdleFirstToken is FirstToken without the backlog.
	IdleFirstToken time.Duration
	// CachedTokens is the number of prompt tokens expected in the endpoint's
	// cache.
	CachedTokens int
	// BacklogTokens is the number of prompt tokens to prefill before the request.
	BacklogTokens int
}

// candidate is an eligible endpoint with its score.
type candidate struct {
	position int32
	cached   int32
	cost     float64
	estimate Estimate
	action   Action
	// feasible is true if the endpoint would meet the deadline when idle.
	feasible bool
}

// Decide selects an endpoint for a request. It is lock-free and does not
// allocate.
func (p *Pool) Decide(now time.Time, r *Request) Decision {
	var list [maxCandidates]candidate
	count := p.filter(r, &list)
	if count == 0 {
		return Decision{Action: ActionNoCandidate}
	}
	maxCached := maxCachedTokens(list[:count])
	for i := range list[:count] {
		p.score(now, r, &list[i], maxCached)
	}
	return pick(list[:count], r)
}

// maxCachedTokens returns the largest number of prompt tokens that any candidate
// has cached.
func maxCachedTokens(list []candidate) int32 {
	most := int32(0)
	for i := range list {
		most = max(most, list[i].cached)
	}
	return most
}
