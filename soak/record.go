package soak

import (
	"slices"
	"sync"
	"time"

	"mustarddoor/platform/standin"
)

// Request is a request as its caller saw it.
type Request struct {
	ID, Route, Body string
	Host            int
	// Sent and Ended are by the soak's clock; Ended is zero while it runs.
	Sent, Ended time.Time
	// Canceled tells that the caller closed the connection before the answer.
	Canceled bool
	Response standin.Response
}

// Attempt is a request as an endpoint saw it.
type Attempt struct {
	ID, Route, Body string
	// Path is what the endpoint was asked for.
	Path     string
	Endpoint int
	At       time.Time
	// Refused tells that the endpoint did not run it for lack of room.
	Refused bool
}

// Scope names what a disturbance concerns.
type Scope struct {
	Kind   ScopeKind
	Number int
}

// ScopeKind is a part of the fleet.
type ScopeKind string

// The parts of the fleet.
const (
	ScopeHost     ScopeKind = "host"
	ScopeEndpoint ScopeKind = "endpoint"
	ScopeStore    ScopeKind = "store"
)

// Interval is a time; To is zero while it goes on.
type Interval struct{ From, To time.Time }

// Disruption is a span in which faults were injected into a part.
type Disruption struct {
	Scope Scope
	Interval
	// Planned tells that a stop or a change was asked for.
	Planned bool
}

// Exclusion is a span in which an endpoint, or all of them on one route, must get
// nothing new once the bound is over.
type Exclusion struct {
	// Route is empty if all requests to Endpoint are barred.
	Route    string
	Endpoint int
	MaxDelay time.Duration
	Interval
}

// StopResult is a stop that a host was asked for.
type StopResult struct {
	Host                 int
	RequestedAt, EndedAt time.Time
	// Failure tells that the process ended with one or had to be killed.
	Failure string
}

// Recorder holds what was seen. Its methods are safe for concurrent use.
type Recorder struct {
	mu              sync.Mutex
	requests        map[string]*Request
	attempts        []Attempt
	disruptions     []*Disruption
	exclusions      []*Exclusion
	stops           []StopResult
	processFailures []string
}

// NewRecorder returns an empty record.
func NewRecorder() *Recorder { return &Recorder{requests: map[string]*Request{}} }

// AddRequest notes a request before it is sent.
func (r *Recorder) AddRequest(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request.ID] = &request
}

// EndRequest notes a request's end.
func (r *Recorder) EndRequest(id string, response standin.Response, canceled bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	request.Response, request.Canceled, request.Ended = response, canceled, at
}

// AddAttempt notes a request at an endpoint.
func (r *Recorder) AddAttempt(attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attempt)
}

// BeginDisruption notes that a part is disturbed until the returned function is called.
func (r *Recorder) BeginDisruption(scope Scope, planned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &Disruption{Scope: scope, Interval: Interval{From: time.Now()}, Planned: planned}
	r.disruptions = append(r.disruptions, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.To = time.Now()
	}
}

// BeginExclusion notes that the endpoint or route of b must get nothing new from now on,
// until the returned function is called.
func (r *Recorder) BeginExclusion(exclusion Exclusion) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	exclusion.From = time.Now()
	r.exclusions = append(r.exclusions, &exclusion)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		exclusion.To = time.Now()
	}
}

// AddStop notes how a stop ended.
func (r *Recorder) AddStop(stop StopResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop)
}

// AddProcessFailure notes a process that nobody has ended.
func (r *Recorder) AddProcessFailure(detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processFailures = append(r.processFailures, detail)
}

// History is a copy of what was seen so far.
type History struct {
	Now             time.Time
	Requests        []Request
	Attempts        map[string][]Attempt
	Disruptions     []Disruption
	Exclusions      []Exclusion
	Stops           []StopResult
	ProcessFailures []string
}

// History copies the record.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := History{Now: time.Now(), Attempts: map[string][]Attempt{}, Stops: slices.Clone(r.stops), ProcessFailures: slices.Clone(r.processFailures)}
	for _, request := range r.requests {
		history.Requests = append(history.Requests, *request)
	}
	slices.SortFunc(history.Requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) })
	for _, attempt := range r.attempts {
		history.Attempts[attempt.ID] = append(history.Attempts[attempt.ID], attempt)
	}
	for _, d := range r.disruptions {
		history.Disruptions = append(history.Disruptions, *d)
	}
	for _, e := range r.exclusions {
		history.Exclusions = append(history.Exclusions, *e)
	}
	return history
}

// overlaps reports whether a span touches the time between two moments.
func (i Interval) overlaps(from, to time.Time) bool {
	return i.From.Before(to) && (i.To.IsZero() || i.To.After(from))
}
