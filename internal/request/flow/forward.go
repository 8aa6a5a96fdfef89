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

// Times of asking other hosts.
const (
	// askTimeout is how long an owner or a witness may take to answer.
	askTimeout = 400 * time.Millisecond
	// logTimeout is how long reading the log may take.
	logTimeout = 3 * time.Second
	// probeInterval is the time between two questions to an owner whose answer
	// is being relayed.
	probeInterval = 250 * time.Millisecond
	// maxFailedProbes is how many probes in a row may fail.
	maxFailedProbes = 2
)

// Finder looks keys up in the log.
type Finder interface {
	// Find returns what the log has of the key; found is false if there is
	// nothing. It fails if the log cannot be read to its end.
	Find(ctx context.Context, k key.Key) (record witness.Record, found bool, err error)
}

// ForwardConfig is what a Resumer needs.
type ForwardConfig struct {
	Self      identity.Incarnation
	Caller    mesh.Caller
	Hosts     witness.Hosts
	Endpoints Endpoints
	Log       Finder
	// Index gives the bundle in force, or nil if there is none.
	Index func() *bundle.Index
	// OtherHosts lists the caller addresses of other live hosts, for refusals.
	OtherHosts func() []string
	// Events takes the events of the time line; its zero value drops them.
	Events  Events
	Metrics metrics.Registry
}

// Resumer answers requests that another host owns, by the decisions of
// resume.Machine. It never dispatches a request. It implements Forwarder and
// is safe for concurrent use.
type Resumer struct {
	config ForwardConfig
	relays *http.Client
	// relayed counts answers relayed from their owners, resumed those fetched
	// from endpoints.
	relayed metrics.Counter
	resumed metrics.Counter
}

// NewResumer returns a resumer with its own connections to other hosts.
func NewResumer(config ForwardConfig) *Resumer {
	if config.Events.Recorder == nil {
		config.Events.Recorder = timeline.Discard
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleRelays,
		IdleConnTimeout:     relayIdleTimeout,
		DisableCompression:  true,
	}
	return &Resumer{
		config:  config,
		relays:  &http.Client{Transport: transport},
		relayed: metrics.GetOrRegisterCounter("request.relayed", config.Metrics),
		resumed: metrics.GetOrRegisterCounter("request.resumed", config.Metrics),
	}
}

// Forward implements Forwarder.
func (r *Resumer) Forward(ctx context.Context, request *Request, w http.ResponseWriter) {
	retry := &retry{
		Resumer: r,
		request: request,
		key:     request.Key,
		offset:  request.Offset,
		isJSON:  request.IsJSON,
		w:       w,
		machine: resume.NewMachine(resume.Config{Key: request.Key, Offset: request.Offset, Capabilities: r}),
	}
	if request.IsRelayed {
		retry.refuse(outcome.Refuse(outcome.Unknown, outcome.ReasonOwnerLost))
		return
	}
	retry.run(ctx)
}

// Capabilities implements resume.CapabilitySource by the bundle in force.
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

// retry is one request that is being answered.
type retry struct {
	*Resumer
	request *Request
	key     key.Key
	machine resume.Machine
	w       http.ResponseWriter
	// out is nil until the answer has begun; offset is the next byte that the
	// caller needs.
	out    *answerWriter
	offset int64
	// isJSON tells that the caller wants a model's answer as one JSON object.
	isJSON bool
}

// run carries decisions out until a final one.
func (t *retry) run(ctx context.Context) {
	decision := t.machine.Begin()
	for ctx.Err() == nil {
		switch decision.Action {
		case resume.Refuse:
			t.refuse(decision.Refusal)
			return
		case resume.Replay:
			t.replay(decision.Final)
			return
		case resume.Stop:
			return
		}
		decision = t.step(ctx, decision)
	}
}

// step carries one decision out and returns the next.
func (t *retry) step(ctx context.Context, decision resume.Decision) resume.Decision {
	switch decision.Action {
	case resume.AskOwner:
		return t.askOwner(ctx)
	case resume.RelayOwner:
		return t.machine.RelayEnded(t.relay(ctx))
	case resume.AskWitness:
		return t.askWitness(ctx)
	case resume.ReadLog:
		return t.readLog(ctx)
	case resume.ResumeStream:
		ending := t.resumeStream(ctx, decision.Intent)
		return t.machine.StreamEnded(time.Now(), t.offset, ending)
	case resume.Lookup:
		ending := t.lookUp(ctx, decision.Intent)
		return t.machine.LookupEnded(time.Now(), ending)
	default:
		pause.For(ctx, time.Until(decision.Until))
		return t.machine.WaitEnded(time.Now())
	}
}

func (t *retry) askOwner(ctx context.Context) resume.Decision {
	reply, err := t.locate(ctx, true)
	if err != nil {
		return t.machine.OwnerUnreachable()
	}
	return t.machine.OwnerReplied(time.Now(), reply)
}

// locate asks the owner where the request stands.
func (t *retry) locate(ctx context.Context, closing bool) (owner.LocateReply, error) {
	var reply owner.LocateReply
	request := owner.LocateRequest{Key: t.key, Close: closing}
	err := t.ask(ctx, t.key.Session.Owner, owner.KindLocate, request, &reply)
	return reply, err
}

func (t *retry) askWitness(ctx context.Context) resume.Decision {
	var record witness.Record
	request := witness.VoidOrGetRequest{Key: t.key}
	err := t.ask(ctx, t.key.Session.Witness, witness.KindVoidOrGet, request, &record)
	if err != nil {
		return t.machine.WitnessUnreachable()
	}
	return t.machine.WitnessReplied(time.Now(), record)
}

// ask calls one incarnation of a host. It fails if that one is not known.
func (t *retry) ask(ctx context.Context, incarnation identity.Incarnation, kind mesh.Kind, request, response any) error {
	host, known := t.config.Hosts.Find(incarnation)
	if !known {
		return witness.ErrNoWitness
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return t.config.Caller.Call(ctx, host.MeshAddress, kind, request, response)
}

func (t *retry) readLog(ctx context.Context) resume.Decision {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	record, found, err := t.config.Log.Find(ctx, t.key)
	if err != nil {
		return t.machine.LogUnavailable()
	}
	return t.machine.LogReplied(time.Now(), record, found)
}

// refuse ends the answer: with the refusal itself if nothing was given to the
// caller yet, else by telling that the answer is cut.
func (t *retry) refuse(refusal outcome.Refusal) {
	name := "request.refused." + string(refusal.Outcome) + "." + string(refusal.Reason)
	metrics.GetOrRegisterCounter(name, t.config.Metrics).Inc(1)
	t.config.Events.Refused(t.request, refusal)
	if t.out != nil {
		t.out.abort(refusal)
		return
	}
	if err := refusal.WithAddresses(t.config.OtherHosts()).Write(t.w); err != nil {
		metrics.GetOrRegisterCounter("request.write_errors", t.config.Metrics).Inc(1)
	}
}

// replay answers with an answer that the witness or the log has kept.
func (t *retry) replay(final witness.Final) {
	t.begin(owner.Head{Status: final.Status, ContentType: final.ContentType})
	// A caller that has gone notices by itself.
	_ = t.out.write(final.Answer[t.offset:])
}

// begin writes the head of the answer unless that was done before.
func (t *retry) begin(head owner.Head) {
	if t.out == nil {
		t.out = newAnswerWriter(t.w, head)
	}
}
