package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/version/routing"
)

// Limits are what requests may use; they hold over all hosts.
type Limits interface {
	// Charge takes what a request uses from its team's limit. It returns
	// false, and when to come back, if the limit does not cover it. hasRoom
	// tells that an endpoint is free and nothing waits.
	Charge(team *routing.Team, amount float64, hasRoom bool) (bool, time.Duration)
	// Return gives back what a request was charged that did not run.
	Return(team *routing.Team, amount float64)
	// Request notes a caller's request to a service.
	Request(service string)
	// Repeat reports whether a further send to the service is allowed.
	Repeat(service string) bool
}

// Config is what a Relay works with.
type Config struct {
	Protocol   Protocol
	Dispatcher *dispatch.Dispatcher
	Limits     Limits
	// Table is the configuration in force, or nil while none is known.
	Table func() *routing.Table
	// StopsAt is when the process will have stopped; the zero time if it was
	// not asked to.
	StopsAt func() time.Time
	Log     *decisionlog.Log
	Metrics metrics.Registry
}

// Relay is the handler for callers' requests.
type Relay struct {
	Config
	answered, refused, failed, left metrics.Counter
	repeats, resumed                metrics.Counter
	took, firstEvent, waited        metrics.Timer
	bodies                          bodies
	patience                        patience
}

// maxBodies bounds the memory for callers' bodies in bytes.
const maxBodies = 24 << 20

// New returns a relay.
func New(config Config) *Relay {
	registry := config.Metrics
	return &Relay{
		Config:     config,
		answered:   metrics.GetOrRegisterCounter("request.answered", registry),
		refused:    metrics.GetOrRegisterCounter("request.refused", registry),
		failed:     metrics.GetOrRegisterCounter("request.failed", registry),
		left:       metrics.GetOrRegisterCounter("request.caller_left", registry),
		repeats:    metrics.GetOrRegisterCounter("request.repeated", registry),
		resumed:    metrics.GetOrRegisterCounter("request.resumed", registry),
		took:       metrics.GetOrRegisterTimer("request.took", registry),
		firstEvent: metrics.GetOrRegisterTimer("request.first_answer", registry),
		waited:     metrics.GetOrRegisterTimer("request.waited", registry),
		bodies:     bodies{left: maxBodies},
	}
}

// unknownWait is when callers come back while no configuration is known.
const unknownWait = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	begin := time.Now()
	s := &serving{relay: r, w: w, request: request, begin: begin, caller: r.Protocol.Caller(request), stopsAt: r.StopsAt()}
	// net/http drops a second framing of a body in chunks without a trace, so
	// nothing that follows such a body is read as a request.
	if !s.stopsAt.IsZero() || len(request.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	s.serve()
	s.report()
}

// serving is one request under way.
type serving struct {
	relay   *Relay
	w       http.ResponseWriter
	request *http.Request
	begin   time.Time
	caller  Attributes

	table *routing.Table
	route *routing.Route
	team  *routing.Team
	// service is where the request goes.
	service string
	body    []byte
	// deadline is when the final answer is due.
	deadline time.Time
	// returned tells that the caller was refused before.
	returned bool
	// stopsAt is when the process will have stopped; zero if it goes on.
	stopsAt time.Time
	charged float64

	// attempts is the number of endpoints to which it was sent and which may
	// have run it.
	attempts int
	// sends is the number of endpoints to which it was sent.
	sends    int
	excluded []string
	// failure is an endpoint's own answer to an earlier send, which the caller
	// gets if no other endpoint does better; nil if there is none.
	failure  *wholeAnswer
	events   splitter
	headSent bool
	// firstAt is when the first part of the answer was passed on.
	firstAt time.Time
	// longestGap is the longest pause between events of one send.
	longestGap time.Duration

	fields  logrus.Fields
	outcome outcome
}

// outcome is how the request ended for its caller.
type outcome struct {
	kind   outcomeKind
	status int
	reason string
}

type outcomeKind string

const (
	outcomeAnswered outcomeKind = "answered"
	outcomeRefused  outcomeKind = "refused"
	outcomeFailed   outcomeKind = "failed"
	outcomeLeft     outcomeKind = "caller_left"
	outcomeCut      outcomeKind = "cut"
)

func (s *serving) serve() {
	s.fields = logrus.Fields{}
	s.table = s.relay.Table()
	if s.table == nil {
		s.refuse(http.StatusServiceUnavailable, "no_configuration", spread(unknownWait))
		return
	}
	s.route = s.table.Match(s.request.Host, s.request.URL.Path)
	if s.route == nil {
		s.reject(http.StatusNotFound, "no_route")
		return
	}
	if !s.findTeam() {
		s.reject(http.StatusUnauthorized, "unknown_key")
		return
	}
	s.setDeadline()
	s.returned = s.relay.patience.isReturned(s.route.Name, s.caller.Deadline, s.begin)
	if s.isTooLate() {
		s.refuse(http.StatusServiceUnavailable, "stopping", spread(stoppingWait))
		return
	}
	if !s.readBody() {
		return
	}
	defer s.relay.bodies.give(len(s.body))
	s.service = s.route.Choose(rand.Float64())
	s.relay.Limits.Request(s.service)
	if !s.charge() {
		return
	}
	s.attempt()
}

// spread gives a time up to half as long again, so that callers do not return
// together.
func spread(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Int64N(int64(wait)/2))
}

// findTeam finds the caller's team and reports whether the request may go on.
func (s *serving) findTeam() bool {
	if s.caller.Key != "" {
		s.team = s.table.TeamOf(s.caller.Key)
	}
	return s.team != nil || s.route.Anonymous || !s.table.HasTeams()
}

func (s *serving) setDeadline() {
	most := s.route.Timeout
	if s.caller.Deadline > 0 && (most <= 0 || s.caller.Deadline < most) {
		most = s.caller.Deadline
	}
	if most <= 0 {
		most = time.Minute // neither the route nor the caller has a bound
	}
	s.deadline = s.begin.Add(most)
}

const (
	// stoppingWait is when callers come back that a stopping host refuses: they
	// go to another host.
	stoppingWait = 20 * time.Millisecond
	// streamNeeds and plainNeeds are how much time a stopping host must have
	// left to take a request. Most streams end within the first.
	streamNeeds = 4500 * time.Millisecond
	plainNeeds  = 1500 * time.Millisecond
)

// isTooLate reports whether the process stops before the request would end.
func (s *serving) isTooLate() bool {
	if s.stopsAt.IsZero() {
		return false
	}
	needs := plainNeeds
	if s.route.Kind == routing.KindStream {
		needs = streamNeeds
	}
	return s.begin.Add(needs).After(s.stopsAt)
}

// charge takes the request's use from its team's limit.
func (s *serving) charge() bool {
	if s.team == nil || s.team.Rate <= 0 {
		return true
	}
	amount := 1.0
	if s.team.CountsTokens {
		amount = s.team.PlainTokens
		if s.caller.HasTokens {
			amount = float64(s.caller.PromptTokens + s.caller.MaxTokens)
		}
	}
	allowed, wait := s.relay.Limits.Charge(s.team, amount, false)
	if !allowed && s.relay.Dispatcher.HasSpareCapacity(s.service) {
		allowed, wait = s.relay.Limits.Charge(s.team, amount, true)
	}
	if !allowed {
		s.refuse(http.StatusTooManyRequests, "team_limit", wait)
		return false
	}
	s.charged = amount
	return true
}

// uncharge gives the charge of a request back that has not run.
func (s *serving) uncharge() {
	if s.charged > 0 && s.attempts == 0 {
		s.relay.Limits.Return(s.team, s.charged)
		s.charged = 0
	}
}

// job describes the request for its placement.
func (s *serving) job() *dispatch.Job {
	job := &dispatch.Job{
		Service: s.service, Route: s.route, Rank: s.route.Rank,
		TimeLeft: time.Until(s.deadline), PreviouslyRefused: s.returned,
		IsRetry: s.sends > 0, ExcludedEndpoints: s.excluded,
	}
	if s.caller.HasTokens {
		job.PromptTokens = float64(s.caller.PromptTokens)
		job.OutputTokens = float64(s.caller.MaxTokens)
		if s.caller.HintedTokens > 0 {
			job.OutputTokens = min(job.OutputTokens, float64(s.caller.HintedTokens))
		}
	}
	return job
}

// refuse promises that the request has not run and will not.
func (s *serving) refuse(status int, reason string, retryAfter time.Duration) {
	s.uncharge()
	s.outcome = outcome{outcomeRefused, status, reason}
	s.fields["retry_after_ms"] = retryAfter.Milliseconds()
	s.relay.Protocol.Refuse(s.w.Header(), s.caller.ID, retryAfter)
	s.w.WriteHeader(status)
}

// reject answers a request that must not be repeated as it is.
func (s *serving) reject(status int, reason string) {
	s.outcome = outcome{outcomeRefused, status, reason}
	s.relay.Protocol.Refuse(s.w.Header(), s.caller.ID, 0)
	s.w.WriteHeader(status)
}

// fail answers a request that may have run.
func (s *serving) fail(status int, reason string) {
	if s.headSent {
		s.cut(reason)
		return
	}
	s.outcome = outcome{outcomeFailed, status, reason}
	s.relay.Protocol.Refuse(s.w.Header(), s.caller.ID, 0)
	s.w.WriteHeader(status)
}

// cut breaks an answer off that has begun, so that it does not look whole.
func (s *serving) cut(reason string) {
	s.outcome = outcome{outcomeCut, 0, reason}
}

// hasLeft reports whether the caller has closed its connection.
func (s *serving) hasLeft() bool {
	if s.context().Err() == nil {
		return false
	}
	s.uncharge()
	s.outcome = outcome{outcomeLeft, 0, "caller_left"}
	return true
}

// report logs and counts the request, and breaks a cut answer off.
func (s *serving) report() {
	r := s.relay
	took := time.Since(s.begin)
	switch s.outcome.kind {
	case outcomeAnswered:
		r.answered.Inc(1)
		r.took.Update(took)
	case outcomeRefused:
		r.refused.Inc(1)
	case outcomeLeft:
		r.left.Inc(1)
	default:
		r.failed.Inc(1)
	}
	level := decisionlog.Failure
	if s.outcome.kind == outcomeAnswered && s.outcome.status < http.StatusInternalServerError && s.sends == 1 {
		level = decisionlog.Success
	}
	r.Log.Request(level, func() (string, logrus.Fields) {
		s.describe(took)
		return "request " + string(s.outcome.kind), s.fields
	})
	if s.outcome.kind == outcomeCut || s.outcome.kind == outcomeLeft {
		panic(http.ErrAbortHandler)
	}
}

// describe adds what is known of the request to its log line.
func (s *serving) describe(took time.Duration) {
	f := s.fields
	f["request"] = s.caller.ID
	f["status"] = s.outcome.status
	f["took_ms"] = took.Milliseconds()
	if s.outcome.reason != "" {
		f["reason"] = s.outcome.reason
	}
	if s.table != nil {
		f["config_version"] = s.table.Version
	}
	if s.route != nil {
		f["route"] = s.route.Name
		f["service"] = s.service
		f["sends"] = s.sends
		f["returned"] = s.returned
		f["deadline_ms"] = s.caller.Deadline.Milliseconds()
	}
	if s.team != nil {
		f["team"] = s.team.Name
	}
	if s.events.count > 0 {
		f["events"] = s.events.count
		f["last_event"] = s.events.last
		f["longest_gap_ms"] = s.longestGap.Milliseconds()
		f["prompt_tokens"] = s.caller.PromptTokens
		f["first_event_ms"] = s.firstAt.Sub(s.begin).Milliseconds()
	}
}

// context is the caller's: it ends when the caller leaves.
func (s *serving) context() context.Context { return s.request.Context() }
