package soak

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"mustarddoor/platform/standin"
)

// Request is a request as its caller observed it.
type Request struct {
	ID, Route, Body string
	// Target is the path and the query.
	Target string
	Host   int
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Prompt lists the parts of the prompt; empty if the request has none.
	Prompt string
	// Sent and Ended are times of the soak's clock. Ended is zero while the
	// request is in flight.
	Sent, Ended time.Time
	// Canceled is set if the caller closed the connection before the response was
	// complete.
	Canceled bool
	// Response is what the caller got, its body without the padding of events.
	Response standin.Response
	// IsWhole is set if the body was the expected one, which is not kept then.
	IsWhole bool
}

// Attempt is one attempt of a request as its endpoint observed it.
type Attempt struct {
	ID, Route, Body string
	// Path is the path with the query that the endpoint received, Prompt and Team are
	// the header fields.
	Path, Prompt, Team string

	Endpoint int
	At       time.Time
	// Refused is set if the endpoint did not execute the request for lack of
	// capacity.
	Refused bool
	// Crashed is set if the request crashed the endpoint.
	Crashed bool
}

// Limit is an interval in which an endpoint names a limit, in requests a second.
type Limit struct {
	Endpoint  int
	PerSecond float64
	Interval
}

// Scope names the component that a disruption affects.
type Scope struct {
	Kind   ScopeKind
	Number int
}

// ScopeKind is the kind of a component.
type ScopeKind string

// Kinds of components.
const (
	ScopeHost     ScopeKind = "host"
	ScopeEndpoint ScopeKind = "endpoint"
	ScopeStore    ScopeKind = "store"
)

// Interval is a time interval. To is zero while it lasts.
type Interval struct{ From, To time.Time }

// Disruption is an interval in which a fault affected a component.
type Disruption struct {
	Scope Scope
	Interval
	// Planned is set for an orderly stop or a reload of settings.
	Planned bool
	// Pause is set if a process did not run for a moment, as on a machine with too few
	// processors. It excuses a delay, but no lost or damaged response.
	Pause bool
}

// Exclusion is an interval in which an endpoint, or all endpoints on one route, must
// get no new requests once MaxDelay has passed.
type Exclusion struct {
	// Route is empty if all requests to Endpoint are excluded.
	Route    string
	Endpoint int
	MaxDelay time.Duration
	Interval
}

// StopResult is the result of an orderly stop of a host.
type StopResult struct {
	Host                 int
	RequestedAt, EndedAt time.Time
	// Failure is set if the process exited with an error, could not be signaled
	// or had to be killed.
	Failure string
}

// Recorder collects observations. Its methods are safe for concurrent use.
type Recorder struct {
	mu              sync.Mutex
	requests        map[string]*Request
	attempts        []Attempt
	disruptions     []*Disruption
	exclusions      []*Exclusion
	limits          []*Limit
	stops           []StopResult
	processFailures []string
	versions        []Version
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{requests: map[string]*Request{}} }

// AddRequest records a request before it is sent.
func (r *Recorder) AddRequest(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request.ID] = &request
}

// EndRequest records the end of a request.
func (r *Recorder) EndRequest(id string, response standin.Response, canceled bool, at time.Time) {
	r.mu.Lock()
	target := r.requests[id].Target
	r.mu.Unlock()
	isWhole := response.Body == expectedBody(target, id)
	if isWhole {
		response.Body = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	request.Response, request.Canceled, request.Ended, request.IsWhole = response, canceled, at, isWhole
}

// HasServed reports whether a host has served a request on a route that was sent after a
// time.
func (r *Recorder) HasServed(host int, route string, after time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		if request.Host == host && request.Route == route && request.Sent.After(after) && request.IsWhole && request.Response.Err == nil && request.Response.Status == http.StatusOK {
			return true
		}
	}
	return false
}

// AddAttempt records an attempt at an endpoint.
func (r *Recorder) AddAttempt(attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attempt)
}

// BeginDisruption records a disruption that lasts until the returned function is
// called.
func (r *Recorder) BeginDisruption(scope Scope, planned bool) (end func()) {
	return r.begin(Disruption{Scope: scope, Planned: planned})
}

// BeginPause records that a host's process does not run until the returned function is
// called.
func (r *Recorder) BeginPause(host int) (end func()) {
	return r.begin(Disruption{Scope: Scope{ScopeHost, host}, Pause: true})
}

func (r *Recorder) begin(d Disruption) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.From = time.Now()
	r.disruptions = append(r.disruptions, &d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.To = time.Now()
	}
}

// BeginExclusion records an exclusion that lasts from now on until the returned
// function is called.
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

// BeginLimit records that an endpoint names a limit from now on until the returned
// function is called.
func (r *Recorder) BeginLimit(endpoint int, perSecond float64) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := &Limit{Endpoint: endpoint, PerSecond: perSecond, Interval: Interval{From: time.Now()}}
	r.limits = append(r.limits, limit)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		limit.To = time.Now()
	}
}

// AddStop records the result of an orderly stop.
func (r *Recorder) AddStop(stop StopResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop)
}

// AddProcessFailure records an unexpected exit of a process, or a failure to start,
// signal or kill one.
func (r *Recorder) AddProcessFailure(detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processFailures = append(r.processFailures, detail)
}

// History is a copy of the observations up to Now.
type History struct {
	Now             time.Time
	Requests        []Request
	Attempts        map[string][]Attempt
	Disruptions     []Disruption
	Exclusions      []Exclusion
	Limits          []Limit
	Stops           []StopResult
	ProcessFailures []string
	Versions        []Version
	// InForce holds the versions that each host has put in force, in order; nil before the
	// end of the run.
	InForce map[int][]VersionInForce
	// DutyViolations are the broken rules of the singleton duties that the platform saw.
	DutyViolations []string
	// Carriers are the hosts that carried interrupted requests for others, by request.
	Carriers map[string]int
}

// History returns a copy of the observations, with the requests ordered by the time
// they were sent.
func (r *Recorder) History() History {
	history := r.copy()
	slices.SortFunc(history.Requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) })
	return history
}

func (r *Recorder) copy() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := History{Now: time.Now(), Attempts: map[string][]Attempt{}, Stops: slices.Clone(r.stops), ProcessFailures: slices.Clone(r.processFailures), Versions: slices.Clone(r.versions)}
	for _, request := range r.requests {
		history.Requests = append(history.Requests, *request)
	}
	for _, attempt := range r.attempts {
		history.Attempts[attempt.ID] = append(history.Attempts[attempt.ID], attempt)
	}
	for _, d := range r.disruptions {
		history.Disruptions = append(history.Disruptions, *d)
	}
	for _, e := range r.exclusions {
		history.Exclusions = append(history.Exclusions, *e)
	}
	for _, limit := range r.limits {
		history.Limits = append(history.Limits, *limit)
	}
	return history
}

// overlaps reports whether the interval overlaps the time from one moment to
// another.
func (i Interval) overlaps(from, to time.Time) bool {
	return i.From.Before(to) && (i.To.IsZero() || i.To.After(from))
}
