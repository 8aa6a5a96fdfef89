package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/retry"
)

// core is a host's part in the placement of requests, without clock, lock and
// network: time is passed in, messages are handed in and out. Only quick and
// the methods of tickets may be called at the same time as others.
type core struct {
	self        identity.Incarnation
	meshAddress string
	homes       Homes
	random      func() uint64
	snapshot    atomic.Pointer[snapshot]
	retryBudget *retry.Budget
	prefixIndex *scheduler.Index

	endpoints     map[string]*endpointState
	endpointsByID map[uint16]*endpointState
	// sortedEndpoints is the endpoints by name.
	sortedEndpoints []*endpointState
	waitQueues      map[string]*waitQueue
	outputLengths   map[string]*scheduler.Lengths
	outbox          outbox
	leaving         atomic.Bool
	// recheckAt is when a request that asked for a slot wants to try elsewhere;
	// zero if none does.
	recheckAt time.Time
	stats     *stats
	// onLimitChange is told of the limits that this host sets; it may be nil.
	onLimitChange func(LimitChange)
}

func newCore(self identity.Host, homes Homes, random func() uint64, stats *stats, now time.Time) *core {
	if random == nil {
		random = rand.Uint64
	}
	c := &core{
		self:          self.Incarnation,
		meshAddress:   self.MeshAddress,
		homes:         homes,
		random:        random,
		retryBudget:   retry.NewBudget(),
		prefixIndex:   scheduler.NewIndex(now),
		endpoints:     map[string]*endpointState{},
		endpointsByID: map[uint16]*endpointState{},
		waitQueues:    map[string]*waitQueue{},
		outputLengths: map[string]*scheduler.Lengths{},
		stats:         stats,
	}
	c.snapshot.Store(&snapshot{})
	return c
}

// newJob looks up the route of a request and makes it ready to be placed.
func (c *core) newJob(now time.Time, request Request) (*job, *Refusal) {
	snap := c.snapshot.Load()
	r := snap.routes[request.Route]
	if r == nil {
		return nil, &Refusal{Reason: ReasonUnknownRoute}
	}
	if request.Arrival.IsZero() {
		request.Arrival = now
	}
	j := &job{request: request, route: r}
	j.query = scheduler.Request{
		Tier:         r.tier,
		Adapter:      request.Adapter,
		PromptTokens: request.PromptTokens,
		OutputTokens: r.predictOutputTokens(request.MaxOutputTokens),
		Prefixes:     request.Prefixes,
		Avoid:        scheduler.NoEndpoint,
		Random:       c.random(),
	}
	if r.firstTokenBudget > 0 {
		j.deadline = request.Arrival.Add(r.firstTokenBudget)
		j.query.Deadline = j.deadline
	}
	if snap.view.Versions != nil {
		j.query.Version = snap.view.Versions.Choose(r.service, r.name)
	}
	return j, nil
}

// outputLengthQuantile is the quantile of a route's answers that a decision assumes.
const outputLengthQuantile = 0.6

// predictOutputTokens is the expected output length in tokens within a bound.
func (r *route) predictOutputTokens(maxTokens int) int {
	if maxTokens <= 0 || r.maxOutputTokens > 0 && r.maxOutputTokens < maxTokens {
		maxTokens = r.maxOutputTokens
	}
	length := r.outputLengths.Quantile(outputLengthQuantile)
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return length
}
