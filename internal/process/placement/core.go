package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/retry"
)

// core is the placement state machine of one host. It does no I/O, takes no
// locks and reads no clock: callers pass in the time and exchange messages
// through the outbox. Only tryPlace and the methods of attempt are safe for
// concurrent use; everything else needs external locking.
type core struct {
	self        identity.Incarnation
	meshAddress string
	homes       Homes
	random      func() uint64
	snapshot    atomic.Pointer[snapshot]
	retryBudget *retry.Budget
	prefixIndex *scheduler.PrefixIndex

	endpoints     map[string]*endpointState
	endpointsByID map[uint16]*endpointState
	// sortedEndpoints holds all endpoints in order of name.
	sortedEndpoints []*endpointState
	waitQueues      map[string]*waitQueue
	outputLengths   map[string]*scheduler.LengthEstimator
	outbox          outbox
	leaving         atomic.Bool
	// recheckAt is the earliest time at which a job stops waiting for its
	// target endpoint and accepts any other; zero if there is no such job.
	recheckAt time.Time
	stats     *stats
	// onLimitChange is called with every limit that this host sets as a home;
	// it may be nil.
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
		prefixIndex:   scheduler.NewPrefixIndex(now),
		endpoints:     map[string]*endpointState{},
		endpointsByID: map[uint16]*endpointState{},
		waitQueues:    map[string]*waitQueue{},
		outputLengths: map[string]*scheduler.LengthEstimator{},
		stats:         stats,
	}
	c.snapshot.Store(&snapshot{})
	return c
}

// newJob resolves the route of a request and builds its scheduler query.
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

// outputLengthQuantile is the quantile of a route's observed output lengths
// that is used as the prediction.
const outputLengthQuantile = 0.6

// predictOutputTokens returns the expected output length in tokens, capped at
// maxTokens and at the limit of the route.
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
