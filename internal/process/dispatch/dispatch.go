// Package dispatch gives requests their endpoints: it joins the fleet, the
// choice of an endpoint and the queue of each service under one lock.
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
	"mustarddoor/internal/version/canary"
	"mustarddoor/internal/version/routing"
)

// Job is a request as far as its placement needs it.
type Job struct {
	// Service is where it goes.
	Service string
	Route   *routing.Route
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Prompt and Output are its expected tokens.
	Prompt, Output float64
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Returned tells that the caller was refused before.
	Returned bool
	// IsRepeat tells that the request was sent to an endpoint before.
	IsRepeat bool
	// Excluded are endpoints it must not go to.
	Excluded []string
}

// Refusal says why a request got no endpoint.
type Refusal struct {
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// Waited is how long the request waited, Predicted how long it would have.
	Waited, Predicted time.Duration
	// Slots is this host's part of the usable slots, Queued the number of
	// requests that waited before this one.
	Slots  float64
	Queued int
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Reasons of refusals.
const (
	ReasonOverload   = "overload"
	ReasonExpired    = "waited_too_long"
	ReasonNoEndpoint = "no_endpoint"
)

// ErrCanceled is returned when the caller has left while waiting.
var ErrCanceled = eris.New("the caller has left")

// Belief is a changed belief about an endpoint and what it rests on.
type Belief struct {
	// What has changed: "added", "removed", "suspended" or "address_reused".
	What  string
	Entry fleet.Entry
	// FailedShare is the recent share of failures there, FailuresInRow those
	// since the last success.
	FailedShare   float64
	FailuresInRow int
}

// believe describes a changed belief. The caller holds mu.
func believe(what string, e *fleet.Endpoint) Belief {
	b := Belief{What: what, Entry: e.Entry}
	b.FailedShare, b.FailuresInRow = e.Trust()
	return b
}

// tell tells of changed beliefs. The caller does not hold mu.
func (d *Dispatcher) tell(beliefs []Belief) {
	for _, b := range beliefs {
		d.notify(b)
	}
}

// Dispatcher places requests. It is safe for concurrent use.
type Dispatcher struct {
	domain string
	opened metrics.Counter
	notify func(Belief)

	mu     sync.Mutex
	fleet  *fleet.Fleet
	pools  map[*fleet.Endpoint]*upstream.Pool
	queues map[string]*serviceQueue
	table  *routing.Table
	// links are the hosts that share the endpoints, self this one, and hosts
	// their number.
	links []netip.AddrPort
	self  netip.AddrPort
	hosts int
	// rivals are the other hosts in whose queues requests wait, by service, and
	// when they said so.
	rivals map[uint32]map[string]time.Time
	// moves are the services' moves to other versions.
	moves map[string]*canary.Move
	rand  *rand.Rand
}

// waiter is a queued request.
type waiter struct {
	entry  *admission.Waiter
	job    *Job
	result chan *Lease
	lease  *Lease
}

// New returns a dispatcher without endpoints. notify is told of changed beliefs
// about endpoints.
func New(domain string, opened metrics.Counter, notify func(Belief)) *Dispatcher {
	return &Dispatcher{
		domain: domain, opened: opened, notify: notify,
		fleet: fleet.New(), pools: map[*fleet.Endpoint]*upstream.Pool{},
		queues: map[string]*serviceQueue{}, hosts: 1, rivals: map[uint32]map[string]time.Time{},
		moves: map[string]*canary.Move{},
		rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Acquire gives the request an endpoint at once, lets it wait, or refuses it.
func (d *Dispatcher) Acquire(ctx context.Context, job *Job) (*Lease, error) {
	d.mu.Lock()
	now := time.Now()
	queue := d.queue(job.Service)
	if d.mayPass(queue, job) {
		if lease := d.place(job, nil, now); lease != nil {
			d.mu.Unlock()
			return lease, nil
		}
	}
	supply, usable := d.supply(job.Service, now)
	if usable == 0 || !d.hasOther(job) {
		d.mu.Unlock()
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: admission.Return(job.Left, 0, supply.Draw)}
	}
	verdict := admission.Decide(d.wish(queue, job, now), &queue.Queue, supply, now)
	if verdict.Waiter == nil {
		queued := queue.Len()
		d.mu.Unlock()
		return nil, &Refusal{
			Reason: ReasonOverload, RetryAfter: verdict.RetryAfter, Predicted: verdict.Wait,
			Slots: supply.Slots, Queued: queued,
		}
	}
	w := &waiter{entry: verdict.Waiter, job: job, result: make(chan *Lease, 1)}
	verdict.Waiter.Data = w
	queue.Push(verdict.Waiter)
	d.mu.Unlock()
	return d.wait(ctx, queue, w, now, verdict)
}

// hasOther reports whether there is an endpoint that has not failed the job
// yet. Without one it would wait in vain.
func (d *Dispatcher) hasOther(job *Job) bool {
	return slices.ContainsFunc(d.fleet.Of(job.Service), func(e *fleet.Endpoint) bool {
		return d.fleet.MayUse(e) && !slices.Contains(job.Excluded, e.ID)
	})
}

// wait waits for a lease.
func (d *Dispatcher) wait(ctx context.Context, queue *serviceQueue, w *waiter, since time.Time, verdict admission.Verdict) (*Lease, error) {
	timer := time.NewTimer(time.Until(w.entry.Until))
	defer timer.Stop()
	select {
	case lease := <-w.result:
		lease.Waited = time.Since(since)
		return lease, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	d.mu.Lock()
	queue.Remove(w.entry)
	lease := w.lease
	d.mu.Unlock()
	if ctx.Err() != nil {
		if lease != nil {
			lease.End(fleet.ResultNone)
		}
		return nil, ErrCanceled
	}
	if lease != nil {
		lease.Waited = time.Since(since)
		return lease, nil
	}
	left := w.job.Left - time.Since(since)
	return nil, &Refusal{
		Reason: ReasonExpired, Waited: time.Since(since), Predicted: verdict.Wait,
		RetryAfter: admission.Return(left, 0, rand.Float64()),
	}
}

// mayPass reports whether a new request may go before those that wait.
func (d *Dispatcher) mayPass(queue *serviceQueue, job *Job) bool {
	next := queue.Peek()
	return next == nil || job.IsRepeat || next.Late && !job.Returned || job.Rank == 0 && !next.Urgent
}

// demand describes a job to the choice.
func demand(job *Job) choose.Demand {
	return choose.Demand{
		PromptTokens: job.Prompt, OutputTokens: job.Output,
		Aim: job.Route.TargetLatency, GapAim: job.Route.TargetGap, Left: job.Left,
	}
}

// wish describes a job to the admission.
func (d *Dispatcher) wish(queue *serviceQueue, job *Job, now time.Time) admission.Demand {
	return admission.Demand{
		Rank: job.Rank, Aim: job.Route.TargetLatency, FirstAnswer: d.firstAnswer(job, now),
		Patience: patience(job.Route), Left: job.Left, Returned: job.Returned,
		Work: queue.hold(job),
	}
}

// firstAnswer is the time to the first answer at the endpoint that would give
// it first if it had nothing else to do.
func (d *Dispatcher) firstAnswer(job *Job, now time.Time) time.Duration {
	best, asked := time.Duration(0), demand(job)
	d.eachUsable(job.Service, now, func(_ *fleet.Endpoint, c choose.Candidate) {
		c.PendingTokens = 0
		if first := choose.FirstToken(c, asked); best == 0 || first < best {
			best = first
		}
	})
	return best
}

// Callers leave a stream after the longest of these without an event.
const (
	patienceLeast = 2 * time.Second
	patienceAims  = 4
	patienceGaps  = 8
)

// patience is how long a caller waits for the first answer.
func patience(route *routing.Route) time.Duration {
	if route.Kind != routing.KindStream {
		return route.Timeout
	}
	return max(patienceLeast, patienceAims*route.TargetLatency, patienceGaps*route.TargetGap)
}

// eachUsable calls f for each endpoint of a service that requests may go to.
func (d *Dispatcher) eachUsable(service string, now time.Time, f func(*fleet.Endpoint, choose.Candidate)) {
	usual := d.fleet.UsualFailures(service)
	for _, e := range d.fleet.Of(service) {
		if d.fleet.MayUse(e) {
			f(e, e.Candidate(now, usual, d.domain))
		}
	}
}

// supply is what this host can count on, and how many endpoints may be used.
func (d *Dispatcher) supply(service string, now time.Time) (admission.Supply, int) {
	part, usable := d.part(service, now)
	return admission.Supply{Slots: part * d.queue(service).flow.rate, Draw: d.rand.Float64()}, usable
}

// part is this host's part of the slots of the service's usable endpoints: as
// many hosts share them as have requests that wait. Endpoints that get nothing
// now are counted as usable, but not their slots.
func (d *Dispatcher) part(service string, now time.Time) (part float64, usable int) {
	slots := 0
	d.eachUsable(service, now, func(_ *fleet.Endpoint, c choose.Candidate) {
		usable++
		if !c.Blocked {
			slots += c.Slots
		}
	})
	return float64(slots) / float64(d.countRivals(service, now)+1), usable
}

// place gives a job the best free endpoint, or nil. The slot that this host has
// just freed at an endpoint is its own to take. The caller holds mu.
func (d *Dispatcher) place(job *Job, freed *fleet.Endpoint, now time.Time) *Lease {
	endpoints := d.fleet.Of(job.Service)
	candidates := make([]choose.Candidate, len(endpoints))
	versions := d.versions(job.Service, endpoints)
	usual := d.fleet.UsualFailures(job.Service)
	work, isShort := d.queue(job.Service).shortWork(job)
	for i, e := range endpoints {
		candidates[i] = e.Candidate(now, usual, d.domain)
		if isShort {
			candidates[i].Slots += choose.Beyond(e.Slots, work, e.LoadAge(now), job.Route.TargetLatency)
		}
		if !d.fleet.MayUse(e) || slices.Contains(job.Excluded, e.ID) || !versions.allow(e.Version) {
			candidates[i].Blocked = true
		}
		if c := &candidates[i]; e != freed && !c.Blocked && c.Busy < c.Slots && !d.hasTurn(e, c.Slots-c.Busy, now) {
			c.Blocked = true
		}
	}
	index := versions.pick(endpoints, candidates, demand(job), d.rand.Float64())
	if index < 0 {
		return nil
	}
	e := endpoints[index]
	if move := d.moves[job.Service]; move != nil {
		move.RecordSent(e.Version)
	}
	e.Start(job.Prompt, e != freed, now)
	return &Lease{
		Endpoint: e.ID, Pool: d.pools[e],
		Busy: candidates[index].Busy, Slots: e.Slots, LoadAge: e.LoadAge(now), Sequence: e.Sequence, Hosts: d.hosts,
		Expected:   choose.FirstToken(candidates[index], demand(job)),
		dispatcher: d, endpoint: e, job: job, begun: now,
	}
}

// pump gives free endpoints to waiters. The caller holds mu.
func (d *Dispatcher) pump(service string, freed *fleet.Endpoint, now time.Time) {
	queue := d.queues[service]
	if queue == nil {
		return
	}
	for queue.Len() > 0 {
		next := queue.Peek()
		w := next.Data.(*waiter)
		if !now.Before(next.Until) {
			queue.Remove(next)
			continue // its timer answers it
		}
		lease := d.place(w.job, freed, now)
		if lease == nil {
			return
		}
		freed = nil
		queue.Remove(next)
		queue.flow.taken += next.Work
		w.lease = lease
		w.result <- lease
	}
}
