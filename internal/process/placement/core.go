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
	self   identity.Incarnation
	mesh   string
	homes  Homes
	random func() uint64
	state  atomic.Pointer[state]
	budget *retry.Budget
	index  *scheduler.PrefixIndex

	endpoints map[string]*endpointState
	byID      map[uint16]*endpointState
	// order is the endpoints by name.
	order   []*endpointState
	lines   map[string]*line
	lengths map[string]*scheduler.LengthEstimator
	out     outbox
	leaving atomic.Bool
	// recheck is when a request that asked for a slot wants to try elsewhere;
	// zero if none does.
	recheck time.Time
	stats   *stats
	// notifyLimit is told of the limits that this host sets; it may be nil.
	notifyLimit func(LimitChange)
}

func newCore(self identity.Host, homes Homes, random func() uint64, stats *stats, now time.Time) *core {
	if random == nil {
		random = rand.Uint64
	}
	c := &core{
		self:      self.Incarnation,
		mesh:      self.MeshAddress,
		homes:     homes,
		random:    random,
		budget:    retry.NewBudget(),
		index:     scheduler.NewPrefixIndex(now),
		endpoints: map[string]*endpointState{},
		byID:      map[uint16]*endpointState{},
		lines:     map[string]*line{},
		lengths:   map[string]*scheduler.LengthEstimator{},
		stats:     stats,
	}
	c.state.Store(&state{})
	return c
}

// newJob looks up the route of a request and makes it ready to be placed.
func (c *core) newJob(now time.Time, request Request) (*job, *Refusal) {
	st := c.state.Load()
	r := st.routes[request.Route]
	if r == nil {
		return nil, &Refusal{Reason: ReasonUnknownRoute}
	}
	if request.Arrival.IsZero() {
		request.Arrival = now
	}
	j := &job{request: request, route: r}
	j.ask = scheduler.Request{
		Tier:         r.tier,
		Adapter:      request.Adapter,
		PromptTokens: request.PromptTokens,
		OutputTokens: r.predict(request.MaxOutputTokens),
		Prefixes:     request.Prefixes,
		Avoid:        scheduler.NoEndpoint,
		Random:       c.random(),
	}
	if r.budget > 0 {
		j.deadline = request.Arrival.Add(r.budget)
		j.ask.Deadline = j.deadline
	}
	if st.view.Versions != nil {
		j.ask.Version = st.view.Versions.Choose(r.service, r.name)
	}
	return j, nil
}

// lengthQuantile is the quantile of a route's answers that a decision assumes.
const lengthQuantile = 0.6

// predict is the expected output length in tokens within a bound.
func (r *route) predict(bound int) int {
	if bound <= 0 || r.maxOutput > 0 && r.maxOutput < bound {
		bound = r.maxOutput
	}
	length := r.lengths.Quantile(lengthQuantile)
	if bound > 0 {
		length = min(length, bound)
	}
	return length
}
