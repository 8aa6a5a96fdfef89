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

// Endpoints sends requests to endpoints, each once.
type Endpoints interface {
	Send(ctx context.Context, call engine.Call) (*engine.Response, error)
	Resume(ctx context.Context, address, key string, offset int64) (*engine.Response, error)
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
	Endpoints Endpoints
	// Forwarder may be nil if there are no other hosts.
	Forwarder Forwarder
	// Events takes the events of the time line.
	Events Events
	// Watcher follows dispatches; it may be nil.
	Watcher Watcher
	// OtherHosts lists the caller addresses of other live hosts, for refusals.
	OtherHosts func() []string
	Metrics    metrics.Registry
}

// Runner serves requests: those that this host owns by running them, all
// others through the Forwarder. It is safe for concurrent use.
type Runner struct {
	config  Config
	running *readerTable
	timers  timers
}

// timers are read on every request, so they are looked up once.
type timers struct {
	firstByte metrics.Timer
	permit    metrics.Timer
	whole     metrics.Timer
}

// New gives a runner.
func New(config Config) *Runner {
	if config.Watcher == nil {
		config.Watcher = noWatcher{}
	}
	return &Runner{
		config:  config,
		running: newReaderTable(),
		timers: timers{
			firstByte: metrics.GetOrRegisterTimer("request.first_byte", config.Metrics),
			permit:    metrics.GetOrRegisterTimer("request.permit", config.Metrics),
			whole:     metrics.GetOrRegisterTimer("request.whole", config.Metrics),
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
	own, joined, refusal := r.config.Registry.Open(request.Key, digestOf(request))
	if refusal != nil {
		r.config.Events.Refused(request, *refusal)
		r.refuse(w, *refusal)
		return
	}
	reader := r.running.join(request.Key)
	defer reader.leave()
	if !joined {
		r.config.Events.Received(request)
		go r.run(reader.gone(request.Route.KeepAnswer), request, own)
	}
	r.copyAnswer(ctx, own, request, w)
}

// Resume answers with an earlier request's answer from the request's offset
// on.
func (r *Runner) Resume(ctx context.Context, request *Request, w http.ResponseWriter) {
	if !r.config.Registry.Owns(request.Key) {
		r.forward(ctx, request, w)
		return
	}
	own := r.config.Registry.Find(request.Key)
	if own == nil {
		r.refuse(w, r.closeAbsent(request.Key))
		return
	}
	reader := r.running.join(request.Key)
	defer reader.leave()
	w.Header().Set(HeaderState, own.State().String())
	r.copyAnswer(ctx, own, request, w)
}

// closeAbsent tells what can be said of a key that this host owns and does not
// hold. If it has not come yet it is closed, so that "not run" stays true.
func (r *Runner) closeAbsent(k key.Key) outcome.Refusal {
	located := r.config.Registry.Locate(k, true)
	switch {
	case located.Expired:
		return outcome.Refuse(outcome.Unknown, outcome.ReasonExpired)
	case located.State == owner.StateRefused:
		return outcome.Refuse(located.Final.Outcome, located.Final.Reason)
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

// digestOf hashes a request's content, so that a key that comes again with
// another content is noticed.
func digestOf(request *Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Route.Name)
	_, _ = digest.WriteString("\x00" + request.Method + "\x00" + request.EndpointPath + "\x00")
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// sendWithin is how long after its intent a request may be dispatched.
const sendWithin = 500 * time.Millisecond
