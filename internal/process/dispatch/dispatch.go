// Package dispatch assigns requests to endpoints. It combines the endpoint
// registry, endpoint selection and one wait queue for each service under a
// single lock.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/reach"
	"mustarddoor/internal/version/canary"
	"mustarddoor/internal/version/routing"
)

// Job holds the properties of a request that its placement depends on.
type Job struct {
	// Service is the service that handles the request.
	Service string
	Route   *routing.Route
	// Team is the name of the caller's team, or empty.
	Team string
	// Priority is the request's priority; 0 is the highest.
	Priority int
	// PromptTokens and OutputTokens are the expected token counts.
	PromptTokens, OutputTokens float64
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// PreviouslyRefused is set if the caller sends the request again after a
	// refusal.
	PreviouslyRefused bool
	// IsRetry is set if an earlier attempt was sent to an endpoint.
	IsRetry bool
	// ExcludedEndpoints lists the endpoints that the request must not use.
	ExcludedEndpoints []string
}

// Refusal is the error for a request that got no endpoint.
type Refusal struct {
	Reason string
	// RetryAfter is the delay after which the caller should try again.
	RetryAfter time.Duration
	// QueueWait is how long the request was queued, PredictedWait the wait that
	// was estimated on arrival.
	QueueWait, PredictedWait time.Duration
	// SlotShare is this host's share of the usable slots, QueueLength the
	// number of requests queued before this one.
	SlotShare   float64
	QueueLength int
	// OverShare is set if the request's team was over its fair share of slot time.
	OverShare bool
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Reasons of refusals.
const (
	ReasonOverload   = "overload"
	ReasonExpired    = "waited_too_long"
	ReasonNoEndpoint = "no_endpoint"
)

// ErrCanceled is returned when the caller leaves while its request is queued.
var ErrCanceled = eris.New("the caller has left")

// Dispatcher assigns requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	domain            string
	dial              upstream.DialFunc
	connectionsOpened metrics.Counter
	notify            func(EndpointChange)
	options           Options
	counters          optionCounters

	mu     sync.Mutex
	fleet  *fleet.Fleet
	pools  map[*fleet.Endpoint]*upstream.Pool
	queues map[string]*waitQueue
	table  *routing.Table
	// hostAddrs are the addresses of the hosts that share the endpoints,
	// selfAddr is this host's own and hostCount the number of hosts.
	hostAddrs []netip.AddrPort
	selfAddr  netip.AddrPort
	hostCount int
	// contendingHosts holds, by hashed service name, the other hosts that have
	// queued requests for the service and when each last reported so.
	contendingHosts map[uint32]map[string]time.Time
	// coldHeldUntil is when this host knows with which hosts it shares cold endpoints; it
	// sends them nothing before.
	coldHeldUntil time.Time
	// rateLimitsChangedAt is when the limit that an endpoint names last changed.
	rateLimitsChangedAt time.Time
	// reach tracks, by service, whether this host can reach any endpoint; silent holds
	// the endpoints that were silent and have not been probed since.
	reach  map[string]*reach.Tracker
	silent map[*fleet.Endpoint]bool
	// moves holds each service's move to another version.
	moves map[string]*canary.Move
	rand  *rand.Rand
}

// pendingJob is a queued request. result receives its lease. lease holds the same
// lease, so that a request whose timer fires at that moment still finds it.
type pendingJob struct {
	waiter   *admission.Waiter
	job      *Job
	queuedAt time.Time
	result   chan *Lease
	lease    *Lease
}

// New returns a dispatcher without endpoints, which it connects to with dial. It calls notify for each endpoint
// change, without holding its lock.
func New(domain string, dial upstream.DialFunc, connectionsOpened metrics.Counter, notify func(EndpointChange)) *Dispatcher {
	return &Dispatcher{
		domain: domain, dial: dial, connectionsOpened: connectionsOpened, notify: notify,
		fleet: fleet.New(), pools: map[*fleet.Endpoint]*upstream.Pool{},
		queues: map[string]*waitQueue{}, hostCount: 1, contendingHosts: map[uint32]map[string]time.Time{},
		moves: map[string]*canary.Move{}, reach: map[string]*reach.Tracker{}, silent: map[*fleet.Endpoint]bool{},
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Acquire assigns an endpoint to the request. If none is free, it queues the
// request and waits, or returns a Refusal.
func (d *Dispatcher) Acquire(ctx context.Context, job *Job) (*Lease, error) {
	d.mu.Lock()
	now := time.Now()
	queue := d.queue(job.Service)
	if !job.IsRetry && !job.PreviouslyRefused {
		queue.Shares.RecordAsked(job.Route.Name, job.Priority, queue.meanSlotTime(job), now)
		queue.demand.record(queue.meanSlotTime(job), now)
		d.recordAsked(queue, job, now)
	}
	if lease := d.placeArrival(queue, job, now); lease != nil {
		d.recordServed(queue, job, now)
		d.mu.Unlock()
		return lease, nil
	}
	capacity, usable := d.capacity(job, now)
	if usable == 0 || !d.hasUntriedEndpoint(job) {
		d.mu.Unlock()
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: admission.RetryDelay(job.TimeLeft, 0, capacity.Jitter)}
	}
	decision := admission.Decide(d.admissionDemand(queue, job, now), &queue.Queue, capacity, now)
	if decision.Waiter == nil {
		if lease := d.placeAnywhere(queue, job, now); lease != nil {
			d.recordServed(queue, job, now)
			d.mu.Unlock()
			return lease, nil
		}
		queueLength, isOverShare := queue.Len(), d.isOverShare(queue, job, now)
		if isOverShare {
			d.counters.refusedOverShare.Inc(1)
		}
		d.mu.Unlock()
		return nil, &Refusal{
			Reason: ReasonOverload, RetryAfter: decision.RetryAfter, PredictedWait: decision.PredictedWait,
			SlotShare: capacity.Slots, QueueLength: queueLength, OverShare: isOverShare,
		}
	}
	pending := &pendingJob{waiter: decision.Waiter, job: job, queuedAt: now, result: make(chan *Lease, 1)}
	decision.Waiter.Data = pending
	queue.Push(decision.Waiter)
	d.mu.Unlock()
	return d.awaitLease(ctx, queue, pending, now, decision)
}

// hasUntriedEndpoint reports whether the service has a usable endpoint that the
// job does not exclude. Without one, queueing the job is pointless.
func (d *Dispatcher) hasUntriedEndpoint(job *Job) bool {
	return slices.ContainsFunc(d.fleet.ByService(job.Service), func(e *fleet.Endpoint) bool {
		return d.fleet.IsUsable(e) && !slices.Contains(job.ExcludedEndpoints, e.ID)
	})
}

// canBypassQueue reports whether a request may be placed ahead of the queued
// ones.
func (d *Dispatcher) canBypassQueue(queue *waitQueue, job *Job, now time.Time) bool {
	next := queue.Peek()
	if next == nil || job.IsRetry {
		return true
	}
	return admission.NewWaiter(d.admissionDemand(queue, job, now), job.PreviouslyRefused, &queue.Queue, now).Precedes(next)
}

// selectionDemand converts a job to the input of endpoint selection.
func selectionDemand(job *Job) choose.Demand {
	return choose.Demand{
		PromptTokens: job.PromptTokens, OutputTokens: job.OutputTokens,
		TargetLatency: job.Route.TargetLatency, TargetGap: job.Route.TargetGap, TimeLeft: job.TimeLeft,
	}
}

// admissionDemand converts a job to the input of admission control.
func (d *Dispatcher) admissionDemand(queue *waitQueue, job *Job, now time.Time) admission.Demand {
	return admission.Demand{
		Kind: job.Route.Name, Rank: job.Priority, TargetLatency: job.Route.TargetLatency, FirstResponseTime: d.minFirstResponseTime(job, now),
		AbandonTimeout: abandonTimeout(job.Route), TimeLeft: job.TimeLeft, PreviouslyRefused: job.PreviouslyRefused, OverShare: d.isOverShare(queue, job, now),
		SlotTime: queue.slotTime(job), MeanSlotTime: queue.meanSlotTime(job),
	}
}

// minFirstResponseTime is the shortest expected time to the first response
// among the usable endpoints, with no prompts pending there.
func (d *Dispatcher) minFirstResponseTime(job *Job, now time.Time) time.Duration {
	best, demand := time.Duration(0), selectionDemand(job)
	d.forEachUsable(job.Service, now, func(_ *fleet.Endpoint, c choose.Candidate) {
		c.PendingTokens = 0
		if responseTime := choose.FirstResponseTime(c, demand); best == 0 || responseTime < best {
			best = responseTime
		}
	})
	return best
}

// Callers abandon a stream after the longest of these times without an event.
// The last two are multiples of the route's targets.
const (
	minAbandonTimeout      = 2 * time.Second
	abandonTargetLatencies = 4
	abandonTargetGaps      = 8
)

// abandonTimeout estimates how long a caller waits for the first response.
func abandonTimeout(route *routing.Route) time.Duration {
	if route.Kind != routing.KindStream {
		return route.Timeout
	}
	return max(minAbandonTimeout, abandonTargetLatencies*route.TargetLatency, abandonTargetGaps*route.TargetGap)
}

// forEachUsable calls f for each endpoint of the service that accepts requests.
func (d *Dispatcher) forEachUsable(service string, now time.Time, f func(*fleet.Endpoint, choose.Candidate)) {
	medianFailureRate := d.fleet.MedianFailureRate(service)
	for _, e := range d.fleet.ByService(service) {
		if d.fleet.IsUsable(e) {
			f(e, e.Candidate(now, medianFailureRate, d.domain))
		}
	}
}

// capacity returns the throughput that this host can expect from the endpoints of
// the job's service, and the number of usable endpoints.
func (d *Dispatcher) capacity(job *Job, now time.Time) (admission.Capacity, int) {
	queue := d.queue(job.Service)
	share, usable := d.slotShare(job.Service, queue.slotTime(job), now)
	return admission.Capacity{Slots: share * queue.dequeueRate.rate, Jitter: d.rand.Float64()}, usable
}

// slotShare returns this host's share of the slots of the service's usable
// endpoints, split evenly among the hosts that have queued requests. Blocked
// endpoints count as usable, but their slots do not count. Of an endpoint that
// names a limit, as many slots count as the requests that this host may send it
// occupy if each takes slotTime, whether one may be sent now or not.
func (d *Dispatcher) slotShare(service string, slotTime time.Duration, now time.Time) (share float64, usable int) {
	hosts := float64(d.countContendingHosts(service, now) + 1)
	d.forEachUsable(service, now, func(e *fleet.Endpoint, c choose.Candidate) {
		usable++
		slots := float64(c.Slots) / hosts
		rate, isLimited := e.HostRate(now)
		switch {
		case isLimited && rate*slotTime.Seconds() < slots:
			share += rate * slotTime.Seconds()
		case !c.Blocked:
			share += slots
		}
	})
	return share, usable
}

// brittleReserve is the number of slots of a brittle endpoint that a host leaves free.
const brittleReserve = 1

// place assigns the best free endpoint to a job and returns nil if there is
// none. A slot that this host has just freed may be taken without competing for
// it. The caller holds mu.
func (d *Dispatcher) place(job *Job, freed *fleet.Endpoint, now time.Time) *Lease {
	return d.placeWhere(job, selectionDemand(job), freed, false, now)
}

// placeWhere is place for a demand of the job. With mustFit, it leaves out the
// endpoints that the job does not fit. The caller holds mu.
func (d *Dispatcher) placeWhere(job *Job, demand choose.Demand, freed *fleet.Endpoint, mustFit bool, now time.Time) *Lease {
	endpoints := d.fleet.ByService(job.Service)
	candidates := make([]choose.Candidate, len(endpoints))
	filter := d.versionFilter(job, endpoints)
	medianFailureRate := d.fleet.MedianFailureRate(job.Service)
	slotTime, isShort := d.queue(job.Service).shortSlotTime(job)
	for i, e := range endpoints {
		candidates[i] = e.Candidate(now, medianFailureRate, d.domain)
		switch {
		case e.IsBrittle():
			// Other hosts may take a slot at the same time.
			candidates[i].Slots = max(e.Slots-brittleReserve, 1)
		case isShort:
			candidates[i].Slots += choose.Oversubscription(e.Slots, slotTime, e.LoadAge(now), job.Route.TargetLatency)
		}
		if !d.fleet.IsUsable(e) || d.isOutOfReach(e) || slices.Contains(job.ExcludedEndpoints, e.ID) || !filter.allows(e.Version) {
			candidates[i].Blocked = true
		}
		if c := &candidates[i]; e != freed && !c.Blocked && c.Busy < c.Slots && !d.mayTakeFreeSlot(e, c.Slots-c.Busy, now) {
			c.Blocked = true
		}
	}
	if mustFit {
		blockUnfit(candidates, demand)
	}
	index := filter.pick(endpoints, candidates, demand, d.rand.Float64())
	if index < 0 {
		return nil
	}
	e := endpoints[index]
	if move := d.moves[job.Service]; move != nil {
		move.RecordSent(e.Version)
	}
	e.BeginRequest(job.PromptTokens, e != freed, now)
	return &Lease{
		Endpoint: e.ID, Pool: d.pools[e],
		Busy: candidates[index].Busy, Slots: e.Slots, LoadAge: e.LoadAge(now), EntrySequence: e.Sequence, HostCount: d.hostCount,
		ExpectedFirstResponse: choose.FirstResponseTime(candidates[index], demand),
		dispatcher:            d, endpoint: e, job: job, startedAt: now,
	}
}

// serveQueue assigns free endpoints to queued requests in queue order. The
// caller holds mu.
func (d *Dispatcher) serveQueue(service string, freed *fleet.Endpoint, now time.Time) {
	queue := d.queues[service]
	if queue == nil {
		return
	}
	if d.options.MatchSlots {
		d.matchQueue(queue, freed, now)
		return
	}
	for queue.Len() > 0 {
		next := queue.Peek()
		pending := next.Data.(*pendingJob)
		if !now.Before(next.ExpiresAt) {
			queue.Remove(next)
			continue // awaitLease refuses it when its timer fires
		}
		lease := d.place(pending.job, freed, now)
		if lease == nil {
			return
		}
		freed = nil
		d.grant(queue, pending, lease, now)
	}
}
