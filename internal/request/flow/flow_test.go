package flow_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/witness"
	"mustarddoor/internal/version/bundle"
)

const wholeStream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"

var self = identity.Incarnation{Host: "a", Number: 1}

// newPlacer gives a placer over one endpoint for each service, of which this
// host is the home.
func newPlacer() *placement.Placer {
	b := &bundle.Bundle{
		Tiers:    []bundle.Tier{{Name: "t", Rank: 1}},
		Services: []bundle.Service{{Name: "llm", Kind: bundle.KindEngine}, {Name: "app", Kind: bundle.KindPlain}},
		Teams:    []bundle.Team{{Name: "team", Weight: 1, QueueRequests: 100, QueueBytes: 1 << 20}},
	}
	for _, service := range b.Services {
		b.Routes = append(b.Routes, bundle.Route{Name: service.Name, Service: service.Name, Tier: "t"})
		b.Endpoints = append(b.Endpoints, bundle.Endpoint{
			Name: service.Name, Service: service.Name, Address: "127.0.0.1:1", ColdSlots: 16, MaxSlots: 16,
		})
	}
	placer := placement.New(placement.Config{Self: identity.Host{Incarnation: self}, Metrics: metrics.NewRegistry()})
	placer.Update(placement.View{Bundle: b})
	return placer
}

// acceptingWitness acknowledges every intent.
type acceptingWitness struct{}

func (acceptingWitness) Intend(context.Context, witness.Intent) (witness.Verdict, error) {
	return witness.Accepted, nil
}

func (acceptingWitness) Record(witness.Outcome) {}

// part is what one connection to the endpoint brings.
type part struct {
	status int
	text   string
	// err ends the connection after the text; nil means that it ends in order.
	err error
	// sendErr fails the connection before any reply.
	sendErr error
}

// scriptedEndpoint answers connection by connection from a script.
type scriptedEndpoint struct {
	contentType string

	mu    sync.Mutex
	parts []part
	sends int
}

func (s *scriptedEndpoint) next() (*engine.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) == 0 {
		return nil, engine.ErrInterrupted
	}
	p := s.parts[0]
	s.parts = s.parts[1:]
	if p.sendErr != nil {
		return nil, p.sendErr
	}
	end := p.err
	if end == nil {
		end = io.EOF
	}
	body := io.MultiReader(strings.NewReader(p.text), failingReader{end})
	return &engine.Response{Status: p.status, ContentType: s.contentType, Body: io.NopCloser(body)}, nil
}

func (s *scriptedEndpoint) Send(_ context.Context, call engine.Call) (*engine.Response, error) {
	s.mu.Lock()
	if call.Method == http.MethodPost {
		s.sends++
	}
	s.mu.Unlock()
	return s.next()
}

func (s *scriptedEndpoint) Resume(context.Context, string, string, int64) (*engine.Response, error) {
	return s.next()
}

func (s *scriptedEndpoint) Cancel(context.Context, string, string) error { return nil }

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// The library's clock for meters runs from the first meter on, for good. It
// must not start inside a bubble of synctest.
var _ = metrics.NewMeter()

func newRunner(endpoints flow.Endpoints) *flow.Runner {
	registry := owner.NewRegistry(owner.Config{
		Self:      self,
		Limits:    owner.Limits{Requests: 100, AnswerBytes: 1 << 20, WindowBytes: 1 << 16},
		Intender:  acceptingWitness{},
		Recorder:  acceptingWitness{},
		Now:       time.Now,
		Retention: func() time.Duration { return time.Hour },
	})
	return flow.New(flow.Config{
		Registry:   registry,
		Placer:     newPlacer(),
		Endpoints:  endpoints,
		Events:     flow.Events{Recorder: timeline.Discard},
		OtherHosts: func() []string { return nil },
		Metrics:    metrics.NewRegistry(),
	})
}

func requestTo(service *bundle.Service, part string) *flow.Request {
	return &flow.Request{
		Key:     key.Key{Session: key.Session{Owner: self, IssuedMillis: time.Now().UnixMilli()}, Part: part},
		Route:   &bundle.Route{Name: service.Name, Service: service.Name, Tier: "t"},
		Team:    "team",
		Tier:    &bundle.Tier{Name: "t", Rank: 1},
		Service: service,
		Method:  http.MethodPost,
		Arrival: time.Now(),
	}
}

var (
	engineService = &bundle.Service{Name: "llm", Kind: bundle.KindEngine}
	plainService  = &bundle.Service{Name: "app", Kind: bundle.KindPlain}
	lookupService = &bundle.Service{Name: "app", Kind: bundle.KindPlain, LookupPath: "/lookup/{key}"}
)

var errBroken = errors.New("connection broke")

// TestEndpointFaults drives a request over an endpoint that fails in each way,
// and checks what the caller is told and that the request was sent once.
func TestEndpointFaults(t *testing.T) {
	cases := []struct {
		name    string
		service *bundle.Service
		parts   []part
		// want is in the answer that the caller gets.
		want       string
		wantStatus int
	}{
		{"whole stream", engineService, []part{{status: 200, text: wholeStream}}, wholeStream, 200},
		{
			"stream broken and resumed", engineService,
			[]part{{status: 200, text: wholeStream[:15], err: errBroken}, {status: 200, text: wholeStream[15:]}}, wholeStream, 200,
		},
		{
			"stream ended in order but too early", engineService,
			[]part{{status: 200, text: wholeStream[:15]}, {status: 200, text: wholeStream[15:]}}, wholeStream, 200,
		},
		{
			"stream broken, then forgotten", engineService,
			[]part{{status: 200, text: "data: one\n\n", err: errBroken}, {sendErr: engine.ErrUnknownKey}},
			"data: one\n\nevent: error\ndata: {\"outcome\":\"failed\"", 200,
		},
		{
			"reply lost, then found", engineService,
			[]part{{sendErr: engine.ErrInterrupted}, {status: 200, text: wholeStream}}, wholeStream, 200,
		},
		{
			"reply lost, never found", engineService,
			[]part{{sendErr: engine.ErrInterrupted}}, `"outcome":"unknown"`, 504,
		},
		{"engine error", engineService, []part{{status: 500, text: "data: [DONE]\n\n"}}, "data: [DONE]\n\n", 500},
		{"plain answer", plainService, []part{{status: 201, text: "booked"}}, "booked", 201},
		{"plain reply lost", plainService, []part{{sendErr: engine.ErrInterrupted}}, `"outcome":"unknown"`, 504},
		{
			"plain reply lost, looked up", lookupService,
			[]part{{sendErr: engine.ErrInterrupted}, {status: 200, text: "booked"}}, "booked", 200,
		},
		{
			"plain reply lost, lookup knows nothing", lookupService,
			[]part{{sendErr: engine.ErrInterrupted}, {status: 404, text: "no"}}, `"outcome":"unknown"`, 504,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &scriptedEndpoint{parts: c.parts}
				if c.service.Kind == bundle.KindEngine {
					endpoint.contentType = "text/event-stream"
				}
				recorder := httptest.NewRecorder()
				newRunner(endpoint).Serve(t.Context(), requestTo(c.service, "p"), recorder)
				assert.Equal(t, recorder.Code, c.wantStatus, recorder.Body)
				assert.Assert(t, strings.Contains(recorder.Body.String(), c.want), recorder.Body)
				assert.Equal(t, endpoint.sends, 1)
			})
		})
	}
}

// TestDuplicatesShareOneAnswer sends the same key from several callers at once.
func TestDuplicatesShareOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := &scriptedEndpoint{contentType: "text/event-stream", parts: []part{{status: 200, text: wholeStream}}}
		runner := newRunner(endpoint)
		const callers = 8
		recorders := make([]*httptest.ResponseRecorder, callers)
		var group sync.WaitGroup
		for i := range callers {
			recorders[i] = httptest.NewRecorder()
			group.Go(func() { runner.Serve(t.Context(), requestTo(engineService, "same"), recorders[i]) })
		}
		group.Wait()
		for _, recorder := range recorders {
			assert.Equal(t, recorder.Body.String(), wholeStream)
		}
		assert.Equal(t, endpoint.sends, 1)
	})
}

// silentEndpoint accepts a request and never answers.
type silentEndpoint struct{ scriptedEndpoint }

func (s *silentEndpoint) Send(ctx context.Context, _ engine.Call) (*engine.Response, error) {
	<-ctx.Done()
	return nil, engine.ErrInterrupted
}

func TestSilentEndpointIsGivenUpAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := httptest.NewRecorder()
		newRunner(&silentEndpoint{}).Serve(t.Context(), requestTo(plainService, "p"), recorder)
		assert.Equal(t, recorder.Code, http.StatusGatewayTimeout)
		assert.Assert(t, strings.Contains(recorder.Body.String(), `"outcome":"unknown"`))
	})
}
