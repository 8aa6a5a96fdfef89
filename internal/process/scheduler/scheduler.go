package scheduler

import (
	"time"

	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/request/tier"
)

const (
	// fullScan is the largest pool in which every endpoint is a candidate.
	fullScan = 32
	// sampled is how many endpoints of a larger pool are candidates, besides
	// those that have a prefix of the prompt cached.
	sampled = 24
	// maxCandidates bounds the candidates of one decision.
	maxCandidates = 64
	// RoundTrip is the cost of asking an endpoint's home for a slot.
	RoundTrip = 5 * time.Millisecond
	// decodeShare is the weight of the time from first to last token.
	decodeShare = 0.2
	// wasteShare is the weight of prefilling what another endpoint has cached.
	wasteShare = 4.0
	// twinMargin is how much worse than the best, as a fraction, a candidate
	// may be to share its requests.
	twinMargin = 0.25
	// overhead is the part of a first-token time that no prompt token causes.
	overhead = 10 * time.Millisecond
)

// Endpoint is one endpoint of a pool, as a decision sees it.
type Endpoint struct {
	// ID is the endpoint's number in the process, the same in all snapshots.
	ID       uint16
	Name     string
	Address  string
	Domain   string
	Version  string
	Adapters []string
	Hand     *slot.Hand
	Live     *Live
}

// Pool is a snapshot of the endpoints of one service that are in service,
// sorted by version. It is immutable but for the live parts.
type Pool struct {
	endpoints []Endpoint
	// position is the index of each endpoint by its ID, -1 if absent.
	position []int32
	groups   []group
	index    *Index
}

// group is the part of a pool with one version.
type group struct {
	version    string
	start, end int
}

// NewPool returns a pool of endpoints, which it sorts and keeps.
func NewPool(endpoints []Endpoint, index *Index) *Pool {
	p := &Pool{endpoints: endpoints, index: index}
	p.sort()
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
	// HeldOnly keeps the request from asking for a slot that is not at hand.
	HeldOnly bool
	// Random is a random number.
	Random uint64
}

// NoEndpoint is the ID of no endpoint.
const NoEndpoint = -1

// Action is what a decision says to do.
type Action int

// The actions.
const (
	// ActionNone means that no endpoint is fit, whatever the load.
	ActionNone Action = iota
	// ActionDispatch means to take a free slot of the endpoint.
	ActionDispatch
	// ActionAsk means to ask the endpoint's home for a slot.
	ActionAsk
	// ActionWait means that all slots are taken.
	ActionWait
	// ActionLate means that no endpoint can meet the deadline, even if it had
	// nothing else to do.
	ActionLate
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
	// Idle is FirstToken if the endpoint had nothing else to do.
	Idle time.Duration
	// Cached are the prompt tokens believed to be in the endpoint's cache.
	Cached int
	// Backlog are the prompt tokens ahead of the request.
	Backlog int
}

// candidate is an endpoint under consideration.
type candidate struct {
	position int32
	cached   int32
	cost     float64
	estimate Estimate
	action   Action
	// timely tells that the endpoint would meet the deadline if it had nothing
	// else to do.
	timely bool
}

// Decide picks an endpoint for a request. It takes no lock and does not
// allocate.
func (p *Pool) Decide(now time.Time, r *Request) Decision {
	var list [maxCandidates]candidate
	count := p.filter(r, &list)
	if count == 0 {
		return Decision{Action: ActionNone}
	}
	most := mostCached(list[:count])
	for i := range list[:count] {
		p.score(now, r, &list[i], most)
	}
	return pick(list[:count], r)
}

// mostCached is the most prompt tokens that any candidate has cached.
func mostCached(list []candidate) int32 {
	most := int32(0)
	for i := range list {
		most = max(most, list[i].cached)
	}
	return most
}
