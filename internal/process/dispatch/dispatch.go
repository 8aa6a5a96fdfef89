// Package dispatch gives requests their endpoints: it joins the fleet, the
// choice of an endpoint and the queue of each service under one lock.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/netip"
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

// serviceQueue is what waits for a service's endpoints.
type serviceQueue struct {
	admission.Queue
	// holds are the learned times that requests of a route occupy a slot.
	holds map[string]*holdTime
	flow  flow
}

// flow measures how fast waiting work is taken up.
type flow struct {
	// since is when the measuring began; zero while nothing waits.
	since time.Time
	taken time.Duration
	// rate is work in a unit of time, over the slots that this host should
	// have; 0 before the first measure.
	rate float64
}

const (
	// flowTime is how long one measure takes, and flowWeight the weight of the
	// newest one: a burst lasts a few seconds.
	flowTime   = 100 * time.Millisecond
	flowWeight = 0.15
	flowLeast  = 0.2
)

// measure takes in what was taken up, given this host's part of the slots.
func (f *flow) measure(waiting bool, slots float64, now time.Time) {
	if !waiting {
		f.since, f.taken = time.Time{}, 0
		f.rate += (1 - f.rate) * flowWeight
		return
	}
	elapsed := now.Sub(f.since)
	if f.since.IsZero() {
		f.since, f.taken = now, 0
		return
	}
	if elapsed < flowTime || slots <= 0 {
		return
	}
	sample := float64(f.taken) / float64(elapsed) / slots
	f.rate += (min(max(sample, flowLeast), 1) - f.rate) * flowWeight
	f.since, f.taken = now, 0
}

// holdTime learns how long requests of a route take, beside what their tokens
// explain.
type holdTime struct {
	// ratio is the time taken over the time expected.
	ratio float64
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

// Lease is a request's right to use an endpoint. It must be ended.
type Lease struct {
	// Endpoint, Address and Domain name where the request goes.
	Endpoint, Address, Domain string
	// Pool holds connections there.
	Pool *upstream.Pool
	// Busy and Slots are the endpoint's load when it was chosen, LoadAge the
	// age of the oldest figure in it, Sequence the number of its entry and
	// Hosts that of the hosts that share it.
	Busy, Slots int
	LoadAge     time.Duration
	Sequence    uint64
	Hosts       int
	// Waited is the time in the queue.
	Waited time.Duration
	// Expected is the expected time to the first answer.
	Expected time.Duration

	dispatcher *Dispatcher
	endpoint   *fleet.Endpoint
	job        *Job
	begun      time.Time
	first      bool
	ended      bool
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
	if usable == 0 {
		d.mu.Unlock()
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: admission.Return(job.Left, 0, d.draw())}
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

func (d *Dispatcher) draw() float64 { return rand.Float64() }

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

func (d *Dispatcher) queue(service string) *serviceQueue {
	queue := d.queues[service]
	if queue == nil {
		queue = &serviceQueue{holds: map[string]*holdTime{}, flow: flow{rate: 1}}
		d.queues[service] = queue
	}
	return queue
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
		Aim: job.Route.Aim, GapAim: job.Route.GapAim, Left: job.Left,
	}
}

// wish describes a job to the admission.
func (d *Dispatcher) wish(queue *serviceQueue, job *Job, now time.Time) admission.Demand {
	return admission.Demand{
		Rank: job.Rank, Aim: job.Route.Aim, FirstAnswer: d.firstAnswer(job, now),
		Patience: patience(job.Route), Left: job.Left, Returned: job.Returned,
		Work: queue.hold(job),
	}
}

// firstAnswer is the time to the first answer at the endpoint that would give
// it first if it had nothing else to do.
func (d *Dispatcher) firstAnswer(job *Job, now time.Time) time.Duration {
	best := time.Duration(0)
	for _, e := range d.fleet.Of(job.Service) {
		if !d.fleet.MayUse(e) {
			continue
		}
		c := e.Candidate(now, 0, d.domain)
		c.PendingTokens = 0
		if first := choose.FirstToken(c, demand(job)); best == 0 || first < best {
			best = first
		}
	}
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
	return max(patienceLeast, patienceAims*route.Aim, patienceGaps*route.GapAim)
}

// tokenTime is the time that a slot is expected to be occupied for each token
// of the answer, before anything was learned.
const tokenTime = 4 * time.Millisecond

// promptTime is the same for each token of the prompt.
const promptTime = 20 * time.Microsecond

// plainTime is the expected time of a request to a plain service.
const plainTime = 40 * time.Millisecond

func expectedHold(job *Job) time.Duration {
	if job.Prompt == 0 && job.Output == 0 {
		return plainTime
	}
	return time.Duration(job.Prompt*float64(promptTime)) + time.Duration(job.Output*float64(tokenTime))
}

// hold is the learned time that a job occupies a slot.
func (q *serviceQueue) hold(job *Job) time.Duration {
	expected := expectedHold(job)
	if learned := q.holds[job.Route.Name]; learned != nil {
		return time.Duration(float64(expected) * learned.ratio)
	}
	return expected
}

// holdWeight is the weight of the newest request in the learned hold time.
const holdWeight = 0.05

func (q *serviceQueue) learn(job *Job, took time.Duration) {
	learned := q.holds[job.Route.Name]
	if learned == nil {
		learned = &holdTime{ratio: 1}
		q.holds[job.Route.Name] = learned
	}
	learned.ratio += (min(float64(took)/float64(expectedHold(job)), 5) - learned.ratio) * holdWeight
}

// supply is what this host can count on, and how many endpoints may be used.
func (d *Dispatcher) supply(service string, now time.Time) (admission.Supply, int) {
	usable := 0
	for _, e := range d.fleet.Of(service) {
		if d.fleet.MayUse(e) {
			usable++
		}
	}
	return admission.Supply{Slots: d.part(service, now) * d.queue(service).flow.rate, Draw: d.rand.Float64()}, usable
}

// part is this host's part of the slots of the service's usable endpoints: as
// many hosts share them as have requests that wait.
func (d *Dispatcher) part(service string, now time.Time) float64 {
	slots := 0
	usual := d.fleet.UsualFailures(service)
	for _, e := range d.fleet.Of(service) {
		if d.fleet.MayUse(e) && !e.Candidate(now, usual, d.domain).Blocked {
			slots += e.Slots
		}
	}
	return float64(slots) / float64(d.countRivals(service, now)+1)
}

const (
	// rivalAge is the age from which a rival no longer counts; in a large fleet
	// its messages are some 200 ms old.
	rivalAge = 500 * time.Millisecond
	// turnLeast is how long a drawn turn at free slots holds, beside the age of
	// the loads: about the time in which hosts learn that a slot was taken.
	turnLeast = 30 * time.Millisecond
)

// countRivals is the number of other hosts where requests wait for a service.
func (d *Dispatcher) countRivals(service string, now time.Time) int {
	rivals := 0
	for _, at := range d.rivals[fleet.HashOf(service)] {
		if now.Sub(at) < rivalAge {
			rivals++
		}
	}
	return rivals
}

// hasTurn reports whether this host may take a slot that another host has
// freed. All hosts see the free slots at the same time; if requests wait at
// several of them, each takes its part, so that together they take about as
// many as there are.
func (d *Dispatcher) hasTurn(e *fleet.Endpoint, free int, now time.Time) bool {
	rivals := d.countRivals(e.Service, now)
	if rivals == 0 {
		return true
	}
	draw, taken := e.Turn(now, turnLeast+e.LoadAge(now), d.rand.Float64)
	return taken < int(float64(free+taken)/float64(rivals+1)+draw)
}

// roomPart is the part of a service's slots below which there is room: nothing
// waits then, and a request takes no slot that another one will need soon.
const roomPart = 0.6

// HasRoom reports whether a service has endpoints to spare.
func (d *Dispatcher) HasRoom(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	busy, slots := 0, 0
	for _, e := range d.fleet.Of(service) {
		if d.fleet.MayUse(e) {
			c := e.Candidate(now, 0, d.domain)
			busy += c.Busy
			slots += c.Slots
		}
	}
	return d.queue(service).Len() == 0 && float64(busy) < roomPart*float64(slots)
}

// place gives a job the best free endpoint, or nil. The slot that this host has
// just freed at an endpoint is its own to take. The caller holds mu.
func (d *Dispatcher) place(job *Job, freed *fleet.Endpoint, now time.Time) *Lease {
	endpoints := d.fleet.Of(job.Service)
	candidates := make([]choose.Candidate, len(endpoints))
	versions := d.versions(job.Service, endpoints)
	usual := d.fleet.UsualFailures(job.Service)
	for i, e := range endpoints {
		candidates[i] = e.Candidate(now, usual, d.domain)
		if !d.fleet.MayUse(e) || isExcluded(job, e.ID) || !versions.allow(e.Version) {
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
		move.Sent(e.Version)
	}
	e.Start(job.Prompt, e != freed, now)
	return &Lease{
		Endpoint: e.ID, Address: e.Address, Domain: e.Domain, Pool: d.pools[e],
		Busy: candidates[index].Busy, Slots: e.Slots, LoadAge: e.LoadAge(now), Sequence: e.Sequence, Hosts: d.hosts,
		Expected:   choose.FirstToken(candidates[index], demand(job)),
		dispatcher: d, endpoint: e, job: job, begun: now,
	}
}

func isExcluded(job *Job, id string) bool {
	for _, excluded := range job.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
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

// MayStillUse reports whether the request may still be sent: the endpoint's
// state can change between the choice and the sending.
func (l *Lease) MayStillUse() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.dispatcher.fleet.MayUse(l.endpoint)
}

// FirstEvent notes that the first part of the answer has come.
func (l *Lease) FirstEvent() {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	if !l.first {
		l.first = true
		l.endpoint.FirstEvent(l.job.Prompt, time.Since(l.begun))
	}
}

// TurnCold notes that the endpoint says it is cold.
func (l *Lease) TurnCold(remaining time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.TurnCold(remaining, time.Now())
}

// Steps notes the time between two tokens of the answer.
func (l *Lease) Steps(step time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.Steps(step)
}

// End gives the slot back. Further calls have no effect.
func (l *Lease) End(result fleet.Result) {
	d := l.dispatcher
	d.mu.Lock()
	if l.ended {
		d.mu.Unlock()
		return
	}
	l.ended = true
	now := time.Now()
	var beliefs []Belief
	if l.endpoint.End(l.job.Prompt, l.first, result, now) {
		beliefs = append(beliefs, believe("suspended", l.endpoint))
	}
	if result == fleet.ResultOther {
		beliefs = append(beliefs, believe("address_reused", l.endpoint))
	}
	d.noteVersion(l, result, now)
	if result == fleet.ResultGood {
		d.queue(l.job.Service).learn(l.job, now.Sub(l.begun))
	}
	d.pump(l.job.Service, l.endpoint, now)
	d.mu.Unlock()
	for _, b := range beliefs {
		d.notify(b)
	}
}
