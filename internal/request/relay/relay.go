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
	// Refund gives back what a request was charged that did not run.
	Refund(team *routing.Team, amount float64)
	// CountRequest notes a caller's request to a service.
	CountRequest(service string)
	// AllowRetry reports whether a further send to the service is allowed.
	AllowRetry(service string) bool
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
	answered, refused, failed, callerLeft  metrics.Counter
	retries, resumed                       metrics.Counter
	duration, firstEventLatency, queueWait metrics.Timer
	bodyBudget                             bodyBudget
	deadlines                              deadlineTracker
}

// maxBodyMemoryBytes bounds the memory for callers' bodies in bytes.
const maxBodyMemoryBytes = 24 << 20

// New returns a relay.
func New(config Config) *Relay {
	registry := config.Metrics
	return &Relay{
		Config:            config,
		answered:          metrics.GetOrRegisterCounter("request.answered", registry),
		refused:           metrics.GetOrRegisterCounter("request.refused", registry),
		failed:            metrics.GetOrRegisterCounter("request.failed", registry),
		callerLeft:        metrics.GetOrRegisterCounter("request.caller_left", registry),
		retries:           metrics.GetOrRegisterCounter("request.repeated", registry),
		resumed:           metrics.GetOrRegisterCounter("request.resumed", registry),
		duration:          metrics.GetOrRegisterTimer("request.took", registry),
		firstEventLatency: metrics.GetOrRegisterTimer("request.first_answer", registry),
		queueWait:         metrics.GetOrRegisterTimer("request.waited", registry),
		bodyBudget:        bodyBudget{available: maxBodyMemoryBytes},
	}
}

// defaultRetryAfter is when callers come back while no configuration is known.
const defaultRetryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	startedAt := time.Now()
	s := &serverRequest{relay: r, w: w, request: request, startedAt: startedAt, caller: r.Protocol.ParseRequest(request), stopsAt: r.StopsAt()}
	// net/http drops a second framing of a body in chunks without a trace, so
	// nothing that follows such a body is read as a request.
	if !s.stopsAt.IsZero() || len(request.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	s.serve()
	s.report()
}

// serverRequest is one request under way.
type serverRequest struct {
	relay     *Relay
	w         http.ResponseWriter
	request   *http.Request
	startedAt time.Time
	caller    RequestAttributes

	table *routing.Table
	route *routing.Route
	team  *routing.Team
	// service is where the request goes.
	service string
	body    []byte
	// deadline is when the final answer is due.
	deadline time.Time
	// isCallerRetry tells that the caller was refused before.
	isCallerRetry bool
	// stopsAt is when the process will have stopped; zero if it goes on.
	stopsAt time.Time
	charged float64

	// attempts is the number of endpoints to which it was sent and which may
	// have run it.
	attempts int
	// sends is the number of endpoints to which it was sent.
	sends             int
	excludedEndpoints []string
	// endpointFailure is an endpoint's own answer to an earlier send, which the caller
	// gets if no other endpoint does better; nil if there is none.
	endpointFailure *bufferedResponse
	events          eventSplitter
	headerSent      bool
	// firstSentAt is when the first part of the answer was passed on.
	firstSentAt time.Time
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
	outcomeAnswered   outcomeKind = "answered"
	outcomeRefused    outcomeKind = "refused"
	outcomeFailed     outcomeKind = "failed"
	outcomeCallerLeft outcomeKind = "caller_left"
	outcomeAborted    outcomeKind = "cut"
)

func (s *serverRequest) serve() {
	s.fields = logrus.Fields{}
	s.table = s.relay.Table()
	if s.table == nil {
		s.refuse(http.StatusServiceUnavailable, "no_configuration", withJitter(defaultRetryAfter))
		return
	}
	s.route = s.table.Match(s.request.Host, s.request.URL.Path)
	if s.route == nil {
		s.reject(http.StatusNotFound, "no_route")
		return
	}
	if !s.authenticate() {
		s.reject(http.StatusUnauthorized, "unknown_key")
		return
	}
	s.setDeadline()
	s.isCallerRetry = s.relay.deadlines.isCallerRetry(s.route.Name, s.caller.Deadline, s.startedAt)
	if s.stopsTooSoon() {
		s.refuse(http.StatusServiceUnavailable, "stopping", withJitter(stoppingRetryAfter))
		return
	}
	if !s.readBody() {
		return
	}
	defer s.relay.bodyBudget.release(len(s.body))
	s.service = s.route.ChooseService(rand.Float64())
	s.relay.Limits.CountRequest(s.service)
	if !s.charge() {
		return
	}
	s.sendWithRetries()
}

// withJitter gives a time up to half as long again, so that callers do not return
// together.
func withJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Int64N(int64(wait)/2))
}

// authenticate finds the caller's team and reports whether the request may go on.
func (s *serverRequest) authenticate() bool {
	if s.caller.APIKey != "" {
		s.team = s.table.TeamByKey(s.caller.APIKey)
	}
	return s.team != nil || s.route.Anonymous || !s.table.HasTeams()
}

func (s *serverRequest) setDeadline() {
	timeout := s.route.Timeout
	if s.caller.Deadline > 0 && (timeout <= 0 || s.caller.Deadline < timeout) {
		timeout = s.caller.Deadline
	}
	if timeout <= 0 {
		timeout = time.Minute // neither the route nor the caller has a bound
	}
	s.deadline = s.startedAt.Add(timeout)
}

const (
	// stoppingRetryAfter is when callers come back that a stopping host refuses: they
	// go to another host.
	stoppingRetryAfter = 20 * time.Millisecond
	// minStreamTimeLeft and plainNeeds are how much time a stopping host must have
	// left to take a request. Most streams end within the first.
	minStreamTimeLeft = 4500 * time.Millisecond
	minPlainTimeLeft  = 1500 * time.Millisecond
)

// stopsTooSoon reports whether the process stops before the request would end.
func (s *serverRequest) stopsTooSoon() bool {
	if s.stopsAt.IsZero() {
		return false
	}
	minTimeLeft := minPlainTimeLeft
	if s.route.Kind == routing.KindStream {
		minTimeLeft = minStreamTimeLeft
	}
	return s.startedAt.Add(minTimeLeft).After(s.stopsAt)
}

// charge takes the request's use from its team's limit.
func (s *serverRequest) charge() bool {
	if s.team == nil || s.team.Rate <= 0 {
		return true
	}
	amount := 1.0
	if s.team.CountsTokens {
		amount = s.team.DefaultTokens
		if s.caller.HasTokenCounts {
			amount = float64(s.caller.PromptTokens + s.caller.MaxTokens)
		}
	}
	allowed, wait := s.relay.Limits.Charge(s.team, amount, false)
	if !allowed && s.relay.Dispatcher.HasRoom(s.service) {
		allowed, wait = s.relay.Limits.Charge(s.team, amount, true)
	}
	if !allowed {
		s.refuse(http.StatusTooManyRequests, "team_limit", wait)
		return false
	}
	s.charged = amount
	return true
}

// refund gives the charge of a request back that has not run.
func (s *serverRequest) refund() {
	if s.charged > 0 && s.attempts == 0 {
		s.relay.Limits.Refund(s.team, s.charged)
		s.charged = 0
	}
}

// job describes the request for its placement.
func (s *serverRequest) job() *dispatch.Job {
	job := &dispatch.Job{
		Service: s.service, Route: s.route, Rank: s.route.Priority,
		Left: time.Until(s.deadline), Returned: s.isCallerRetry,
		IsRepeat: s.sends > 0, Excluded: s.excludedEndpoints,
	}
	if s.caller.HasTokenCounts {
		job.Prompt = float64(s.caller.PromptTokens)
		job.Output = float64(s.caller.MaxTokens)
		if s.caller.OutputTokensHint > 0 {
			job.Output = min(job.Output, float64(s.caller.OutputTokensHint))
		}
	}
	return job
}

// refuse promises that the request has not run and will not.
func (s *serverRequest) refuse(status int, reason string, retryAfter time.Duration) {
	s.refund()
	s.outcome = outcome{outcomeRefused, status, reason}
	s.fields["retry_after_ms"] = retryAfter.Milliseconds()
	s.relay.Protocol.SetRefusalHeader(s.w.Header(), s.caller.ID, retryAfter)
	s.w.WriteHeader(status)
}

// reject answers a request that must not be repeated as it is.
func (s *serverRequest) reject(status int, reason string) {
	s.outcome = outcome{outcomeRefused, status, reason}
	s.relay.Protocol.SetRefusalHeader(s.w.Header(), s.caller.ID, 0)
	s.w.WriteHeader(status)
}

// fail answers a request that may have run.
func (s *serverRequest) fail(status int, reason string) {
	if s.headerSent {
		s.abort(reason)
		return
	}
	s.outcome = outcome{outcomeFailed, status, reason}
	s.relay.Protocol.SetRefusalHeader(s.w.Header(), s.caller.ID, 0)
	s.w.WriteHeader(status)
}

// abort breaks an answer off that has begun, so that it does not look whole.
func (s *serverRequest) abort(reason string) {
	s.outcome = outcome{outcomeAborted, 0, reason}
}

// hasCallerLeft reports whether the caller has closed its connection.
func (s *serverRequest) hasCallerLeft() bool {
	if s.context().Err() == nil {
		return false
	}
	s.refund()
	s.outcome = outcome{outcomeCallerLeft, 0, "caller_left"}
	return true
}

// report logs and counts the request, and breaks a cut answer off.
func (s *serverRequest) report() {
	r := s.relay
	took := time.Since(s.startedAt)
	switch s.outcome.kind {
	case outcomeAnswered:
		r.answered.Inc(1)
		r.duration.Update(took)
	case outcomeRefused:
		r.refused.Inc(1)
	case outcomeCallerLeft:
		r.callerLeft.Inc(1)
	default:
		r.failed.Inc(1)
	}
	level := decisionlog.Failure
	if s.outcome.kind == outcomeAnswered && s.outcome.status < http.StatusInternalServerError && s.sends == 1 {
		level = decisionlog.Success
	}
	r.Log.LogRequest(level, func() (string, logrus.Fields) {
		s.addLogFields(took)
		return "request " + string(s.outcome.kind), s.fields
	})
	if s.outcome.kind == outcomeAborted || s.outcome.kind == outcomeCallerLeft {
		panic(http.ErrAbortHandler)
	}
}

// addLogFields adds what is known of the request to its log line.
func (s *serverRequest) addLogFields(took time.Duration) {
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
		f["returned"] = s.isCallerRetry
		f["deadline_ms"] = s.caller.Deadline.Milliseconds()
	}
	if s.team != nil {
		f["team"] = s.team.Name
	}
	if s.events.count > 0 {
		f["events"] = s.events.count
		f["last_event"] = s.events.lastID
		f["longest_gap_ms"] = s.longestGap.Milliseconds()
		f["prompt_tokens"] = s.caller.PromptTokens
		f["first_event_ms"] = s.firstSentAt.Sub(s.startedAt).Milliseconds()
	}
}

// context is the caller's: it ends when the caller leaves.
func (s *serverRequest) context() context.Context { return s.request.Context() }
