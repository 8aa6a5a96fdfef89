package soak

import (
	"slices"
	"sync"
	"time"

	"mustarddoor/platform/standin"
)

// Ask is a request as its caller saw it.
type Ask struct {
	ID, Route, Body string
	Host            int
	// Sent and Ended are by the soak's clock; Ended is zero while it runs.
	Sent, Ended time.Time
	// Left tells that the caller closed the connection before the answer.
	Left  bool
	Reply standin.Response
}

// Run is a request as an endpoint saw it.
type Run struct {
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

// Span is a time; To is zero while it goes on.
type Span struct{ From, To time.Time }

// Disturbance is a span in which faults were injected into a part.
type Disturbance struct {
	Scope Scope
	Span
	// Planned tells that a stop or a change was asked for.
	Planned bool
}

// Barred is a span in which an endpoint, or all of them on one route, must get
// nothing new once the bound is over.
type Barred struct {
	// Route is empty if all requests to Endpoint are barred.
	Route    string
	Endpoint int
	Bound    time.Duration
	Span
}

// Stop is a stop that a host was asked for.
type Stop struct {
	Host        int
	Asked, Done time.Time
	// Failure tells that the process ended with one or had to be killed.
	Failure string
}

// Record holds what was seen. Its methods are safe for concurrent use.
type Record struct {
	mu           sync.Mutex
	asks         map[string]*Ask
	runs         []Run
	disturbances []*Disturbance
	barred       []*Barred
	stops        []Stop
	ends         []string
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{asks: map[string]*Ask{}} }

// Asked notes a request before it is sent.
func (r *Record) Asked(ask Ask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks[ask.ID] = &ask
}

// Answered notes a request's end.
func (r *Record) Answered(id string, reply standin.Response, left bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := r.asks[id]
	ask.Reply, ask.Left, ask.Ended = reply, left, at
}

// Ran notes a request at an endpoint.
func (r *Record) Ran(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// Disturb notes that a part is disturbed until the returned function is called.
func (r *Record) Disturb(scope Scope, planned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &Disturbance{Scope: scope, Span: Span{From: time.Now()}, Planned: planned}
	r.disturbances = append(r.disturbances, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.To = time.Now()
	}
}

// Bar notes that the endpoint or route of b must get nothing new from now on,
// until the returned function is called.
func (r *Record) Bar(b Barred) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.From = time.Now()
	r.barred = append(r.barred, &b)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		b.To = time.Now()
	}
}

// Stopped notes how a stop ended.
func (r *Record) Stopped(stop Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop)
}

// EndedByItself notes a process that nobody has ended.
func (r *Record) EndedByItself(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, what)
}

// Seen is a copy of what was seen so far.
type Seen struct {
	Now          time.Time
	Asks         []Ask
	Runs         map[string][]Run
	Disturbances []Disturbance
	Barred       []Barred
	Stops        []Stop
	Ends         []string
}

// Seen copies the record.
func (r *Record) Seen() Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := Seen{Now: time.Now(), Runs: map[string][]Run{}, Stops: slices.Clone(r.stops), Ends: slices.Clone(r.ends)}
	for _, ask := range r.asks {
		seen.Asks = append(seen.Asks, *ask)
	}
	slices.SortFunc(seen.Asks, func(a, b Ask) int { return a.Sent.Compare(b.Sent) })
	for _, run := range r.runs {
		seen.Runs[run.ID] = append(seen.Runs[run.ID], run)
	}
	for _, d := range r.disturbances {
		seen.Disturbances = append(seen.Disturbances, *d)
	}
	for _, b := range r.barred {
		seen.Barred = append(seen.Barred, *b)
	}
	return seen
}

// overlaps reports whether a span touches the time between two moments.
func (s Span) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}
