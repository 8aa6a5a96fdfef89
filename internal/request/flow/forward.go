package flow

import (
	"context"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/resume"
	"mustarddoor/internal/request/witness"
	"mustarddoor/internal/version/bundle"
)

// Timeouts and intervals of calls to other hosts.
const (
	// callTimeout limits one call to an owner or a witness.
	callTimeout = 400 * time.Millisecond
	// logTimeout limits one lookup in the log.
	logTimeout = 3 * time.Second
	// probeInterval is the time between probes of an owner whose response is
	// being relayed.
	probeInterval = 250 * time.Millisecond
	// maxFailedProbes is how many probes in a row fail before the owner counts as
	// unresponsive.
	maxFailedProbes = 2
)

// RecordFinder looks up the records of keys in the log.
type RecordFinder interface {
	// Find returns the log's record of the key; found is false if there is none.
	// It fails if the log cannot be read to its end.
	Find(ctx context.Context, k key.Key) (record witness.Record, found bool, err error)
}

// ResumerConfig configures a Resumer.
type ResumerConfig struct {
	Self      identity.Incarnation
	Caller    mesh.Caller
	Hosts     witness.Hosts
	Endpoints EndpointClient
	Log       RecordFinder
	// Index returns the bundle in force, or nil if there is none.
	Index func() *bundle.Index
	// OtherHosts returns the frontend addresses of the other live hosts, which
	// are included in refusals.
	OtherHosts func() []string
	// Events records timeline events; its zero value discards them.
	Events  Events
	Metrics metrics.Registry
}

// Resumer serves requests that another host owns, following the decisions of
// resume.Machine. It never dispatches a request. It implements Forwarder and is
// safe for concurrent use.
type Resumer struct {
	config      ResumerConfig
	relayClient *http.Client
	// relayCount counts responses relayed from their owners, resumeCount those
	// fetched from endpoints.
	relayCount  metrics.Counter
	resumeCount metrics.Counter
}

// NewResumer returns a Resumer with its own connection pool to other hosts.
func NewResumer(config ResumerConfig) *Resumer {
	if config.Events.Recorder == nil {
		config.Events.Recorder = timeline.Discard
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleRelayConns,
		IdleConnTimeout:     relayIdleTimeout,
		DisableCompression:  true,
	}
	return &Resumer{
		config:      config,
		relayClient: &http.Client{Transport: transport},
		relayCount:  metrics.GetOrRegisterCounter("request.relayed", config.Metrics),
		resumeCount: metrics.GetOrRegisterCounter("request.resumed", config.Metrics),
	}
}

// Forward implements Forwarder.
func (r *Resumer) Forward(ctx context.Context, request *Request, w http.ResponseWriter) {
	forwarded := &forwardedRequest{
		Resumer:   r,
		request:   request,
		key:       request.Key,
		offset:    request.Offset,
		wantsJSON: request.WantsJSON,
		w:         w,
		machine:   resume.NewMachine(resume.Config{Key: request.Key, Offset: request.Offset, Capabilities: r}),
	}
	if request.IsRelayed {
		forwarded.refuse(outcome.Refuse(outcome.Unknown, outcome.ReasonOwnerLost))
		return
	}
	forwarded.run(ctx)
}

// Capabilities implements resume.CapabilitySource with the bundle in force.
func (r *Resumer) Capabilities(service string) resume.Capabilities {
	found := r.service(service)
	if found == nil {
		return resume.Capabilities{}
	}
	return resume.Capabilities{
		CanResumeStream: found.Kind == bundle.KindEngine,
		CanLookup:       found.LookupPath != "",
	}
}

func (r *Resumer) service(name string) *bundle.Service {
	index := r.config.Index()
	if index == nil {
		return nil
	}
	found, _ := index.Service(name)
	return found
}

// forwardedRequest is a request of another owner that is being served.
type forwardedRequest struct {
	*Resumer
	request *Request
	key     key.Key
	machine resume.Machine
	w       http.ResponseWriter
	// out is nil until the response has begun; offset is the next byte that the
	// caller needs.
	out    *responseWriter
	offset int64
	// wantsJSON is set if the caller wants a model's response as one JSON object.
	wantsJSON bool
}

// run executes decisions until a final one is reached.
func (f *forwardedRequest) run(ctx context.Context) {
	decision := f.machine.Begin()
	for ctx.Err() == nil {
		switch decision.Action {
		case resume.Refuse:
			f.refuse(decision.Refusal)
			return
		case resume.Replay:
			f.replay(decision.Final)
			return
		case resume.Stop:
			return
		}
		decision = f.step(ctx, decision)
	}
}

// step executes one decision and returns the next.
func (f *forwardedRequest) step(ctx context.Context, decision resume.Decision) resume.Decision {
	switch decision.Action {
	case resume.AskOwner:
		return f.askOwner(ctx)
	case resume.RelayOwner:
		return f.machine.RelayEnded(f.relay(ctx))
	case resume.AskWitness:
		return f.askWitness(ctx)
	case resume.ReadLog:
		return f.readLog(ctx)
	case resume.ResumeStream:
		result := f.resumeStream(ctx, decision.Intent)
		return f.machine.StreamEnded(time.Now(), f.offset, result)
	case resume.Lookup:
		result := f.lookUp(ctx, decision.Intent)
		return f.machine.LookupEnded(time.Now(), result)
	default:
		pause.For(ctx, time.Until(decision.Until))
		return f.machine.WaitEnded(time.Now())
	}
}

func (f *forwardedRequest) askOwner(ctx context.Context) resume.Decision {
	reply, err := f.locate(ctx, true)
	if err != nil {
		return f.machine.OwnerUnreachable()
	}
	return f.machine.OwnerReplied(time.Now(), reply)
}

// locate asks the owner for the state of the request.
func (f *forwardedRequest) locate(ctx context.Context, closeUnseen bool) (owner.LocateReply, error) {
	var reply owner.LocateReply
	request := owner.LocateRequest{Key: f.key, CloseUnseen: closeUnseen}
	err := f.call(ctx, f.key.Session.Owner, owner.KindLocate, request, &reply)
	return reply, err
}

func (f *forwardedRequest) askWitness(ctx context.Context) resume.Decision {
	var record witness.Record
	request := witness.VoidOrGetRequest{Key: f.key}
	err := f.call(ctx, f.key.Session.Witness, witness.KindVoidOrGet, request, &record)
	if err != nil {
		return f.machine.WitnessUnreachable()
	}
	return f.machine.WitnessReplied(time.Now(), record)
}

// call sends a request to one incarnation of a host. It fails if that
// incarnation is not known.
func (f *forwardedRequest) call(ctx context.Context, incarnation identity.Incarnation, kind mesh.Kind, request, response any) error {
	host, known := f.config.Hosts.Find(incarnation)
	if !known {
		return witness.ErrUnknownHost
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.config.Caller.Call(ctx, host.MeshAddress, kind, request, response)
}

func (f *forwardedRequest) readLog(ctx context.Context) resume.Decision {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	record, found, err := f.config.Log.Find(ctx, f.key)
	if err != nil {
		return f.machine.LogUnavailable()
	}
	return f.machine.LogReplied(time.Now(), record, found)
}

// refuse ends the response: with the refusal itself if nothing has been written
// to the caller, otherwise by signaling that the response is truncated.
func (f *forwardedRequest) refuse(refusal outcome.Refusal) {
	name := "request.refused." + string(refusal.Outcome) + "." + string(refusal.Reason)
	metrics.GetOrRegisterCounter(name, f.config.Metrics).Inc(1)
	f.config.Events.Refused(f.request, refusal)
	if f.out != nil {
		f.out.abort(refusal)
		return
	}
	if err := refusal.WithAddresses(f.config.OtherHosts()).Write(f.w); err != nil {
		metrics.GetOrRegisterCounter("request.write_errors", f.config.Metrics).Inc(1)
	}
}

// replay writes a response that was stored by the witness or the log.
func (f *forwardedRequest) replay(result witness.Result) {
	f.begin(owner.Head{Status: result.Status, ContentType: result.ContentType})
	// A write error means that the caller has disconnected.
	_ = f.out.write(result.Response[f.offset:])
}

// begin writes the head of the response unless it has been written.
func (f *forwardedRequest) begin(head owner.Head) {
	if f.out == nil {
		f.out = newResponseWriter(f.w, head)
	}
}
