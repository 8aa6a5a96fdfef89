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

// Placer finds an endpoint and a slot for a request.
type Placer interface {
	// Place waits for an endpoint and a slot; exactly one result is not nil.
	Place(ctx context.Context, request placement.Request) (*placement.Placement, *placement.Refusal)
}

// EndpointClient sends requests to endpoints, each once.
type EndpointClient interface {
	Send(ctx context.Context, call engine.Call) (*engine.Reply, error)
	Resume(ctx context.Context, address, key string, offset int64) (*engine.Reply, error)
	Cancel(ctx context.Context, address, key string) error
}

// Forwarder serves requests that another host owns.
type Forwarder interface {
	// Forward answers the request on w from its owner or from what is known of
	// it. It never dispatches.
	Forward(ctx context.Context, request *Request, w http.ResponseWriter)
}

// Config is what a Runner needs.
type Config struct {
	Registry  *owner.Registry
	Placer    Placer
	Endpoints EndpointClient
	// Forwarder may be nil if there are no other hosts.
	Forwarder Forwarder
	// Events takes the events of the time line.
	Events Events
	// Observer follows dispatches; it may be nil.
	Observer AttemptObserver
	// OtherHosts lists the caller addresses of other live hosts, for refusals.
	OtherHosts func() []string
	Metrics    metrics.Registry
}

// Runner serves requests: those that this host owns by running them, all
// others through the Forwarder. It is safe for concurrent use.
type Runner struct {
	config  Config
	callers *callerTable
	timers  timers
}

// timers are read on every request, so they are looked up once.
type timers struct {
	firstByte metrics.Timer
	permit    metrics.Timer
	total     metrics.Timer
}

// New gives a runner.
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

// Serve answers a request, and runs it if no request with its key came before.
// It returns when the answer is written or the caller has gone.
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

// Resume answers with an earlier request's answer from the request's offset
// on.
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

// closeUnseenKey tells what can be said of a key that this host owns and does not
// hold. If it has not come yet it is closed, so that "not run" stays true.
func (r *Runner) closeUnseenKey(k key.Key) outcome.Refusal {
	located := r.config.Registry.Locate(k, true)
	switch {
	case located.Expired:
		return outcome.Refuse(outcome.Unknown, outcome.ReasonExpired)
	case located.State == owner.StateRefused:
		return outcome.Refuse(located.Result.Outcome, located.Result.Reason)
	default:
		// It came between the two looks.
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

// refuse writes a refusal with the addresses of other hosts.
func (r *Runner) refuse(w http.ResponseWriter, refusal outcome.Refusal) {
	name := "request.refused." + string(refusal.Outcome) + "." + string(refusal.Reason)
	metrics.GetOrRegisterCounter(name, r.config.Metrics).Inc(1)
	if err := refusal.WithAddresses(r.config.OtherHosts()).Write(w); err != nil {
		metrics.GetOrRegisterCounter("request.write_errors", r.config.Metrics).Inc(1)
	}
}

// requestDigest hashes a request's content, so that a key that comes again with
// another content is noticed.
func requestDigest(request *Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Route.Name)
	_, _ = digest.WriteString("\x00" + request.Method + "\x00" + request.EndpointPath + "\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// maxSendDelay is how long after its intent a request may be dispatched.
const maxSendDelay = 500 * time.Millisecond
