package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/quarantine"
	"mustarddoor/internal/version/routing"
)

// Limits enforces the limits that all hosts share.
type Limits interface {
	// Charge takes the amount from the team's limit. If the limit does not
	// cover it, Charge returns false and when to retry. hasRoom is set if an
	// endpoint is free and no request is queued.
	Charge(team *routing.Team, amount float64, hasRoom bool) (bool, time.Duration)
	// Refund returns the charge of a request that has not run.
	Refund(team *routing.Team, amount float64, chargedAt time.Time)
	// CountRequest counts a caller's request to a service.
	CountRequest(service string)
	// AllowRetry reports whether the retry budget of the service allows
	// another send, and takes it.
	AllowRetry(service string) bool
}

// Quarantine keeps prompts that crash endpoints away from them.
type Quarantine interface {
	// RecordCrash records that an endpoint's incarnation ended as it began to
	// respond to a request with these shared parts of the prompt.
	RecordCrash(incarnation uint64, parts []quarantine.Part)
	// RecordSuccess records that an endpoint responded to such a request.
	RecordSuccess(parts []quarantine.Part)
	// IsQuarantined reports whether such a request must not be sent, the part to
	// blame and when to retry.
	IsQuarantined(parts []quarantine.Part) (part quarantine.Part, retryAfter time.Duration, blocked bool)
	// AllowSend reports whether such a request may be sent now.
	AllowSend(parts []quarantine.Part) bool
}

// Config configures a Relay.
type Config struct {
	Protocol   Protocol
	Dispatcher *dispatch.Dispatcher
	Limits     Limits
	Quarantine Quarantine
	Carriers   Carriers
	// Records reports the position up to which this host has read the operator's records.
	Records OperatorRecords
	// Table returns the configuration in force, or nil while none is known.
	Table func() *routing.Table
	// Stop returns the shutdown in progress, or nil.
	Stop func() *Stop
	// LongestDelay returns the longest time since a moment in which this process did not
	// run although it had to.
	LongestDelay func(since time.Time) time.Duration
	// CountRun is called once for each request of a caller that begins to run, with the
	// team's name; nil if these are not counted.
	CountRun func(team string)
	// Guard bounds the memory for requests; nil means the limits of an unknown machine.
	Guard   *downstream.Guard
	Log     *decisionlog.Log
	Metrics metrics.Registry
}

// Stop is an orderly shutdown of the process.
type Stop struct {
	RequestedAt time.Time
	// EndsAt is when the process will have stopped.
	EndsAt time.Time
}

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	Config
	answered, refused, failed, callerLeft  metrics.Counter
	retries, resumed, crashes, quarantined metrics.Counter
	duration, firstEventLatency, queueWait metrics.Timer
	responseBudget                         memoryBudget
	carriedCount                           metrics.Counter
	// carrying counts the requests in progress for other hosts.
	carrying  atomic.Int64
	deadlines deadlineTracker
	traffic   traffic
	// ended is done when the requests in progress must end.
	ended context.Context
	end   context.CancelFunc
}

// New returns a relay with the given configuration.
func New(config Config) *Relay {
	registry := config.Metrics
	ended, end := context.WithCancel(context.Background())
	if config.Guard == nil {
		config.Guard = downstream.NewGuard(intake.LimitsOf(intake.Machine{}), registry)
	}
	return &Relay{
		ended: ended, end: end,
		Config:            config,
		answered:          metrics.GetOrRegisterCounter("request.answered", registry),
		refused:           metrics.GetOrRegisterCounter("request.refused", registry),
		failed:            metrics.GetOrRegisterCounter("request.failed", registry),
		callerLeft:        metrics.GetOrRegisterCounter("request.caller_left", registry),
		retries:           metrics.GetOrRegisterCounter("request.repeated", registry),
		resumed:           metrics.GetOrRegisterCounter("request.resumed", registry),
		quarantined:       metrics.GetOrRegisterCounter("request.quarantined", registry),
		carriedCount:      metrics.GetOrRegisterCounter("request.carried", registry),
		crashes:           metrics.GetOrRegisterCounter("request.endpoint_ended", registry),
		duration:          metrics.GetOrRegisterTimer("request.took", registry),
		firstEventLatency: metrics.GetOrRegisterTimer("request.first_answer", registry),
		queueWait:         metrics.GetOrRegisterTimer("request.waited", registry),
		responseBudget:    memoryBudget{available: maxResponseMemoryBytes},
	}
}

// defaultRetryAfter is the Retry-After time while no configuration is known or
// the memory for request bodies is exhausted.
const defaultRetryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	request.Header.Del(carriedHeader)
	r.serve(w, request, nil)
}

// serve serves a request of a caller, or one that another host could not send.
func (r *Relay) serve(w http.ResponseWriter, request *http.Request, carried *carriedRequest) {
	startedAt := time.Now()
	r.traffic.addRequest()
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	defer context.AfterFunc(r.ended, func() { cancel(errStopped) })()
	s := &serverRequest{relay: r, w: w, request: request, ctx: ctx, carried: carried, startedAt: startedAt, caller: r.Protocol.ParseRequest(request)}
	s.conn = downstream.FromContext(ctx)
	// net/http silently ignores a Content-Length beside a chunked body.
	// Closing the connection keeps bytes after such a body from being read as
	// another request (request smuggling). A caller that doesn't await its responses
	// gives way to others.
	if r.Stop() != nil || len(request.TransferEncoding) > 0 || s.conn != nil && s.conn.IsPipelining() {
		w.Header().Set("Connection", "close")
	}
	s.serve()
	s.report()
}

// serverRequest is a caller's request in progress.
type serverRequest struct {
	relay     *Relay
	w         http.ResponseWriter
	request   *http.Request
	ctx       context.Context
	startedAt time.Time
	caller    RequestAttributes
	// carried is set if another host could not send the request.
	carried *carriedRequest

	table *routing.Table
	route *routing.Route
	team  *routing.Team
	// service is the service chosen from the route's shares.
	service string
	// conn is the caller's connection, or nil if it is unknown.
	conn *downstream.Conn
	body []byte
	// bodyMemory is what is reserved for the body.
	bodyMemory int
	// bodyEnded is set once no more of the body is awaited.
	bodyEnded bool
	// deadline is when the final response is due.
	deadline time.Time
	// isCallerRetry is set if the caller appears to retry a refused request.
	isCallerRetry bool
	// charged is what the request took from its team's limit at chargedAt.
	charged   float64
	chargedAt time.Time

	// attempts counts the sends after which an endpoint may have run the
	// request.
	attempts int
	// sends counts the endpoints that the request was sent to.
	sends int
	// unreachable counts the endpoints that could not be connected to.
	unreachable       int
	excludedEndpoints []string
	// endpointFailure is an endpoint's error response to an earlier send, or
	// nil. The caller receives it unless another endpoint does better.
	endpointFailure *bufferedResponse
	// bufferedMemory is the memory of buffered responses.
	bufferedMemory responseMemory
	events         eventSplitter
	headerSent     bool
	// isRunCounted is set once the request has been counted as one that runs.
	isRunCounted bool
	// firstSentAt is when the response to the caller began.
	firstSentAt time.Time
	// longestGap is the longest pause between events from one endpoint.
	longestGap time.Duration
	// longestWrite is the longest time that the caller took to accept events, longestDelay
	// by how much this process was late at most to notice that an endpoint was silent.
	longestWrite, longestDelay time.Duration

	// suspectParts is set by suspects.
	suspectParts []quarantine.Part

	fields  logrus.Fields
	outcome outcome
}

// outcome is the result of the request for its caller.
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
	if s.isBehindSender() {
		s.refuseBehind()
		return
	}
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
	if s.carried != nil {
		s.isCallerRetry = s.carried.isCallerRetry
	} else {
		s.isCallerRetry = s.relay.deadlines.isCallerRetry(s.route.Name, s.caller.Deadline, s.startedAt)
	}
	if s.endsAfterStop(s.startedAt) {
		s.refuseStopping()
		return
	}
	defer s.releaseBody()
	if !s.readBody() {
		return
	}
	s.bufferedMemory.budget = &s.relay.responseBudget
	defer s.bufferedMemory.release()
	s.relay.traffic.add(len(s.body))
	s.service = s.route.ChooseService(rand.Float64())
	if s.carryIfLost() {
		return
	}
	s.relay.Limits.CountRequest(s.service)
	if s.respondIfQuarantined() || !s.charge() {
		return
	}
	s.sendWithRetries()
}

// withJitter returns the wait plus up to half of it, so that callers do not
// retry simultaneously.
func withJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Int64N(int64(wait)/2))
}

// authenticate looks up the caller's team and reports whether the request may
// proceed.
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
		timeout = time.Minute // neither the route nor the caller sets a timeout
	}
	s.deadline = s.startedAt.Add(timeout)
}

// job returns the dispatcher's description of the request.
func (s *serverRequest) job() *dispatch.Job {
	job := &dispatch.Job{
		Service: s.service, Route: s.route, Priority: s.route.Priority,
		TimeLeft: time.Until(s.deadline), PreviouslyRefused: s.isCallerRetry,
		IsRetry: s.sends > 0, ExcludedEndpoints: s.excludedEndpoints,
	}
	if s.team != nil {
		job.Team = s.team.Name
	}
	if s.caller.HasTokenCounts {
		job.PromptTokens = float64(s.caller.PromptTokens)
		job.OutputTokens = float64(s.caller.MaxTokens)
		if s.caller.OutputTokensHint > 0 {
			job.OutputTokens = min(job.OutputTokens, float64(s.caller.OutputTokensHint))
		}
	}
	return job
}

// refuse responds that the request has not run and will not run.
func (s *serverRequest) refuse(status int, reason string, retryAfter time.Duration) {
	s.refund()
	s.limitBodyWait()
	s.outcome = outcome{outcomeRefused, status, reason}
	s.fields["retry_after_ms"] = retryAfter.Milliseconds()
	s.relay.Protocol.SetRefusalHeader(s.w.Header(), s.caller.ID, retryAfter)
	s.w.WriteHeader(status)
}

// reject refuses a request that would fail again if it were retried unchanged.
func (s *serverRequest) reject(status int, reason string) {
	s.limitBodyWait()
	s.outcome = outcome{outcomeRefused, status, reason}
	s.relay.Protocol.SetRefusalHeader(s.w.Header(), s.caller.ID, 0)
	s.w.WriteHeader(status)
}

// fail responds to a request that may have run.
func (s *serverRequest) fail(status int, reason string) {
	if s.headerSent {
		s.abort(reason)
		return
	}
	s.outcome = outcome{outcomeFailed, status, reason}
	s.relay.Protocol.SetRefusalHeader(s.w.Header(), s.caller.ID, 0)
	s.w.WriteHeader(status)
}

// abort records that a response that has begun stays incomplete. report then
// aborts the connection, so that the caller does not take it as complete.
func (s *serverRequest) abort(reason string) {
	s.outcome = outcome{outcomeAborted, 0, reason}
}

// hasCallerLeft reports whether the caller has disconnected, or the process is about to
// end. If so, it records the outcome and refunds the charge of a request that has not run.
func (s *serverRequest) hasCallerLeft() bool {
	if s.context().Err() == nil {
		return false
	}
	if s.isEnded() {
		s.fail(http.StatusBadGateway, reasonStopped)
		return true
	}
	s.refund()
	s.outcome = outcome{outcomeCallerLeft, 0, "caller_left"}
	return true
}

// context returns the context of the caller's request. It is canceled when the
// caller disconnects or the request is ended.
func (s *serverRequest) context() context.Context { return s.ctx }
