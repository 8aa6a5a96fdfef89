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

const completeStream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"

var self = identity.Incarnation{Host: "a", Number: 1}

// newPlacer returns a placer with one endpoint per service, for which this host
// is the home.
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

func (acceptingWitness) SendIntent(context.Context, witness.Intent) (witness.Verdict, error) {
	return witness.Accepted, nil
}

func (acceptingWitness) RecordOutcome(witness.Outcome) {}

// scriptedConnection is what the endpoint sends over one connection.
type scriptedConnection struct {
	status int
	body   string
	// bodyErr ends the connection after the body; nil means a normal end.
	bodyErr error
	// sendErr fails the connection before any response.
	sendErr error
}

// scriptedEndpoint serves each connection from a script.
type scriptedEndpoint struct {
	contentType string

	mu          sync.Mutex
	connections []scriptedConnection
	sends       int
}

func (s *scriptedEndpoint) next() (*engine.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) == 0 {
		return nil, engine.ErrInterrupted
	}
	connection := s.connections[0]
	s.connections = s.connections[1:]
	if connection.sendErr != nil {
		return nil, connection.sendErr
	}
	end := connection.bodyErr
	if end == nil {
		end = io.EOF
	}
	body := io.MultiReader(strings.NewReader(connection.body), failingReader{end})
	return &engine.Response{Status: connection.status, ContentType: s.contentType, Body: io.NopCloser(body)}, nil
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

// The first meter starts a goroutine of the library that never ends. It must
// not be started inside a synctest bubble.
var _ = metrics.NewMeter()

func newRunner(endpoints flow.EndpointClient) *flow.Runner {
	registry := owner.NewRegistry(owner.Config{
		Self:            self,
		Limits:          owner.Limits{MaxRequests: 100, MaxResponseBytes: 1 << 20, MaxWindowBytes: 1 << 16},
		IntentSender:    acceptingWitness{},
		OutcomeRecorder: acceptingWitness{},
		Now:             time.Now,
		Retention:       func() time.Duration { return time.Hour },
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

var errConnectionBroken = errors.New("connection broke")

// TestEndpointFaults sends a request to an endpoint that fails in various ways.
// It checks what the caller receives and that the request is sent only once.
func TestEndpointFaults(t *testing.T) {
	cases := []struct {
		name        string
		service     *bundle.Service
		connections []scriptedConnection
		// want is contained in the response that the caller receives.
		want       string
		wantStatus int
	}{
		{"complete stream", engineService, []scriptedConnection{{status: 200, body: completeStream}}, completeStream, 200},
		{
			"stream broken and resumed", engineService,
			[]scriptedConnection{{status: 200, body: completeStream[:15], bodyErr: errConnectionBroken}, {status: 200, body: completeStream[15:]}}, completeStream, 200,
		},
		{
			"stream closed normally but too early", engineService,
			[]scriptedConnection{{status: 200, body: completeStream[:15]}, {status: 200, body: completeStream[15:]}}, completeStream, 200,
		},
		{
			"stream broken, then unknown to the engine", engineService,
			[]scriptedConnection{{status: 200, body: "data: one\n\n", bodyErr: errConnectionBroken}, {sendErr: engine.ErrUnknownKey}},
			"data: one\n\nevent: error\ndata: {\"outcome\":\"failed\"", 200,
		},
		{
			"reply lost, then found", engineService,
			[]scriptedConnection{{sendErr: engine.ErrInterrupted}, {status: 200, body: completeStream}}, completeStream, 200,
		},
		{
			"reply lost, never found", engineService,
			[]scriptedConnection{{sendErr: engine.ErrInterrupted}}, `"outcome":"unknown"`, 504,
		},
		{"engine error", engineService, []scriptedConnection{{status: 500, body: "data: [DONE]\n\n"}}, "data: [DONE]\n\n", 500},
		{"plain response", plainService, []scriptedConnection{{status: 201, body: "booked"}}, "booked", 201},
		{"plain reply lost", plainService, []scriptedConnection{{sendErr: engine.ErrInterrupted}}, `"outcome":"unknown"`, 504},
		{
			"plain reply lost, looked up", lookupService,
			[]scriptedConnection{{sendErr: engine.ErrInterrupted}, {status: 200, body: "booked"}}, "booked", 200,
		},
		{
			"plain reply lost, lookup finds nothing", lookupService,
			[]scriptedConnection{{sendErr: engine.ErrInterrupted}, {status: 404, body: "no"}}, `"outcome":"unknown"`, 504,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &scriptedEndpoint{connections: c.connections}
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

// TestDuplicatesShareOneResponse sends the same key from several callers at
// once.
func TestDuplicatesShareOneResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := &scriptedEndpoint{contentType: "text/event-stream", connections: []scriptedConnection{{status: 200, body: completeStream}}}
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
			assert.Equal(t, recorder.Body.String(), completeStream)
		}
		assert.Equal(t, endpoint.sends, 1)
	})
}

// silentEndpoint accepts a request and never replies.
type silentEndpoint struct{ scriptedEndpoint }

func (s *silentEndpoint) Send(ctx context.Context, _ engine.Call) (*engine.Response, error) {
	<-ctx.Done()
	return nil, engine.ErrInterrupted
}

func TestSilentEndpointEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := httptest.NewRecorder()
		newRunner(&silentEndpoint{}).Serve(t.Context(), requestTo(plainService, "p"), recorder)
		assert.Equal(t, recorder.Code, http.StatusGatewayTimeout)
		assert.Assert(t, strings.Contains(recorder.Body.String(), `"outcome":"unknown"`))
	})
}
