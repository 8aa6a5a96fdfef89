package scheduler

import (
	"time"

	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/request/tier"
)

const (
	// maxFullScan is the largest pool in which every endpoint is a candidate.
	maxFullScan = 32
	// sampleSize is how many endpoints of a larger pool are candidates, besides
	// those that have a prefix of the prompt cached.
	sampleSize = 24
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = 64
	// HomeRoundTrip is the cost of asking an endpoint's home for a slot.
	HomeRoundTrip = 5 * time.Millisecond
	// decodeWeight is the weight of the time from first to last token.
	decodeWeight = 0.2
	// cacheMissWeight is the weight of prefilling what another endpoint has cached.
	cacheMissWeight = 4.0
	// tieMargin is how much worse than the best, as a fraction, a candidate
	// may be to share its requests.
	tieMargin = 0.25
	// firstTokenOverhead is the part of a first-token time that no prompt token causes.
	firstTokenOverhead = 10 * time.Millisecond
)

// Endpoint is one endpoint of a pool, as a decision sees it.
type Endpoint struct {
	// ID is the endpoint's number in the process, the same in all snapshots.
	ID         uint16
	Name       string
	Address    string
	Domain     string
	Version    string
	Adapters   []string
	LocalSlots *slot.LocalSlots
	Live       *LiveStats
}

// Pool is a snapshot of the endpoints of one service that are in service,
// sorted by version. It is immutable but for the live parts.
type Pool struct {
	endpoints []Endpoint
	// positions is the index of each endpoint by its ID, -1 if absent.
	positions []int32
	groups    []versionGroup
	index     *PrefixIndex
}

// versionGroup is the part of a pool with one version.
type versionGroup struct {
	version    string
	start, end int
}

// NewPool returns a pool of endpoints, which it sorts and keeps.
func NewPool(endpoints []Endpoint, index *PrefixIndex) *Pool {
	p := &Pool{endpoints: endpoints, index: index}
	p.sortAndIndex()
	return p
}

// Endpoints returns the pool's endpoints. The caller must not change them.
func (p *Pool) Endpoints() []Endpoint { return p.endpoints }

// Request is what a decision needs to know of a request.
type Request struct {
	Tier    tier.Tier
	Version string
	Adapter string
	// PromptTokens and OutputTokens are the lengths, the latter predicted.
	PromptTokens, OutputTokens int
	Prefixes                   []Prefix
	// Deadline is when the first token is due; zero means never.
	Deadline time.Time
	// Avoid is the ID of an endpoint to pass over, or NoEndpoint.
	Avoid int
	// LocalSlotsOnly keeps the request from asking for a slot that is not at hand.
	LocalSlotsOnly bool
	// Random is a random number.
	Random uint64
}

// NoEndpoint is the ID of no endpoint.
const NoEndpoint = -1

// Action is what a decision says to do.
type Action int

// The actions.
const (
	// ActionNoCandidate means that no endpoint is fit, whatever the load.
	ActionNoCandidate Action = iota
	// ActionDispatch means to take a free slot of the endpoint.
	ActionDispatch
	// ActionRequestSlot means to ask the endpoint's home for a slot.
	ActionRequestSlot
	// ActionWait means that all slots are taken.
	ActionWait
	// ActionDeadlineUnreachable means that no endpoint can meet the deadline, even if it had
	// nothing else to do.
	ActionDeadlineUnreachable
)

// Decision is where a request goes.
type Decision struct {
	Action Action
	// Endpoint is the index in the pool, for ActionDispatch and ActionAsk.
	Endpoint int
	Estimate Estimate
}

// Estimate is what is expected of a request at an endpoint.
type Estimate struct {
	// FirstToken and LastToken are counted from the dispatch.
	FirstToken, LastToken time.Duration
	// IdleFirstToken is FirstToken if the endpoint had nothing else to do.
	IdleFirstToken time.Duration
	// CachedTokens are the prompt tokens believed to be in the endpoint's cache.
	CachedTokens int
	// BacklogTokens are the prompt tokens ahead of the request.
	BacklogTokens int
}

// candidate is an endpoint under consideration.
type candidate struct {
	position int32
	cached   int32
	cost     float64
	estimate Estimate
	action   Action
	// feasible tells that the endpoint would meet the deadline if it had nothing
	// else to do.
	feasible bool
}

// Decide picks an endpoint for a request. It takes no lock and does not
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

// maxCachedTokens is the most prompt tokens that any candidate has cached.
func maxCachedTokens(list []candidate) int32 {
	most := int32(0)
	for i := range list {
		most = max(most, list[i].cached)
	}
	return most
}
