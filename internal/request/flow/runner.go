package flow

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
)

// Placer assigns an endpoint and a slot to a request.
type Placer interface {
	// Place waits for an endpoint and a slot. Exactly one of its results is not
	// nil.
	Place(ctx context.Context, request placement.Request) (*placement.Placement, *placement.Refusal)
}

// EndpointClient sends requests to endpoints. It sends each request once,
// without retries.
type EndpointClient interface {
	Send(ctx context.Context, call engine.Call) (*engine.Response, error)
	Resume(ctx context.Context, address, key string, offset int64) (*engine.Response, error)
	Cancel(ctx context.Context, address, key string) error
}

// Forwarder serves requests that another host owns.
type Forwarder interface {
	// Forward writes the response to w, taken from the owner or from the state
	// recorded elsewhere. It never dispatches the request.
	Forward(ctx context.Context, request *Request, w http.ResponseWriter)
}

// Config configures a Runner.
type Config struct {
	Registry  *owner.Registry
	Placer    Placer
	Endpoints EndpointClient
	// Forwarder may be nil if there are no other hosts.
	Forwarder Forwarder
	// Events records timeline events.
	Events Events
	// Observer observes attempts; it may be nil.
	Observer AttemptObserver
	// OtherHosts returns the frontend addresses of the other live hosts, which
	// are included in refusals.
	OtherHosts func() []string
	Metrics    metrics.Registry
}

// Runner serves requests. It runs those that this host owns and passes all
// others to the Forwarder. It is safe for concurrent use.
type Runner struct {
	config  Config
	callers *callerTable
	timers  timers
}

// timers are looked up once because every request updates them.
type timers struct {
	firstByte metrics.Timer
	permit    metrics.Timer
	total     metrics.Timer
}

// New returns a Runner.
func New(config Config) *Runner {
	if config.Observer == nil {
		config.Observer = noObserver{}
	}
	return &Runner{
		config:  config,
		callers: newCallerTable(),
		timers: timers{
			firstByte: metrics.GetOrRegisterTimer("request.first_byte", config.Metrics),
			permit:    metrics.GetOrRegisterTimer("request.permit", config.Metrics),
			total:     metrics.GetOrRegisterTimer("request.whole", config.Metrics),
		},
	}
}

// Serve writes the response to a request, and runs the request unless one with
// the same key was received before. It returns when the response is written or
// the caller has disconnected.
func (r *Runner) Serve(ctx context.Context, request *Request, w http.ResponseWriter) {
	if !r.config.Registry.Owns(request.Key) {
		r.forward(ctx, request, w)
		return
	}
	owned, joined, refusal := r.config.Registry.Open(request.Key, requestDigest(request))
	if refusal != nil {
		r.config.Events.Refused(request, *refusal)
		r.refuse(w, *refusal)
		return
	}
	caller := r.callers.join(request.Key)
	defer caller.leave()
	if !joined {
		r.config.Events.Received(request)
		go r.run(caller.context(request.Route.KeepAnswer), request, owned)
	}
	r.copyResponse(ctx, owned, request, w)
}

// Resume writes the response of an earlier request, starting at the request's
// offset.
func (r *Runner) Resume(ctx context.Context, request *Request, w http.ResponseWriter) {
	if !r.config.Registry.Owns(request.Key) {
		r.forward(ctx, request, w)
		return
	}
	owned := r.config.Registry.Find(request.Key)
	if owned == nil {
		r.refuse(w, r.closeUnseenKey(request.Key))
		return
	}
	caller := r.callers.join(request.Key)
	defer caller.leave()
	w.Header().Set(HeaderState, owned.State().String())
	r.copyResponse(ctx, owned, request, w)
}

// closeUnseenKey returns the refusal for a key that this host owns but has no
// request for. A key that was never received is closed, so that the outcome
// "not run" stays true.
func (r *Runner) closeUnseenKey(k key.Key) outcome.Refusal {
	located := r.config.Registry.Locate(k, true)
	switch {
	case located.Expired:
		return outcome.Refuse(outcome.Unknown, outcome.ReasonExpired)
	case located.State == owner.StateRefused:
		return outcome.Refuse(located.Result.Outcome, located.Result.Reason)
	default:
		// The request arrived between Find and Locate.
		return outcome.Refuse(outcome.Unknown, outcome.ReasonNotReceived).WithRetryAfter(time.Second)
	}
}

func (r *Runner) forward(ctx context.Context, request *Request, w http.ResponseWriter) {
	if r.config.Forwarder == nil {
		r.refuse(w, outcome.Refuse(outcome.Unknown, outcome.ReasonOwnerLost))
		return
	}
	r.config.Forwarder.Forward(ctx, request, w)
}

// refuse writes a refusal that includes the addresses of other hosts.
func (r *Runner) refuse(w http.ResponseWriter, refusal outcome.Refusal) {
	name := "request.refused." + string(refusal.Outcome) + "." + string(refusal.Reason)
	metrics.GetOrRegisterCounter(name, r.config.Metrics).Inc(1)
	if err := refusal.WithAddresses(r.config.OtherHosts()).Write(w); err != nil {
		metrics.GetOrRegisterCounter("request.write_errors", r.config.Metrics).Inc(1)
	}
}

// requestDigest hashes the content of a request, to detect a key that is reused
// with different content.
func requestDigest(request *Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Route.Name)
	_, _ = digest.WriteString("\x00" + request.Method + "\x00" + request.EndpointPath + "\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// maxSendDelay is the maximum time between the intent and the dispatch of a
// request.
const maxSendDelay = 500 * time.Millisecond
