package caller_test

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/version/bundle"
)

var testIndex = bundle.NewIndex(&bundle.Bundle{
	Tiers:    []bundle.Tier{{Name: "urgent", Rank: 1}},
	Services: []bundle.Service{{Name: "llm", Kind: bundle.KindEngine}, {Name: "app", Kind: bundle.KindPlain}},
	Routes: []bundle.Route{
		{Name: "chat", Service: "llm", Tier: "urgent"},
		{Name: "script", Service: "llm", Tier: "urgent"},
		{Name: "all", Service: "app", Tier: "urgent", Method: http.MethodPost, PathPrefix: "/"},
		{Name: "booking", Service: "app", Tier: "urgent", Method: http.MethodPost, PathPrefix: "/bookings"},
	},
	Teams: []bundle.Team{{Name: "team", Weight: 1}},
})

var testSession = key.Session{Owner: identity.Incarnation{Host: "a", Number: 1}}

// echoRequests responds with the route and path that a request was assigned.
type echoRequests struct{}

func (echoRequests) Serve(_ context.Context, request *flow.Request, w http.ResponseWriter) {
	_, _ = io.WriteString(w, request.Route.Name+" "+request.EndpointPath+" "+request.Key.Part)
}

func (echoRequests) Resume(_ context.Context, request *flow.Request, w http.ResponseWriter) {
	_, _ = io.WriteString(w, request.Key.String())
}

func (echoRequests) CloseKey(k key.Key) outcome.Outcome {
	if k.Part == "ran" {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (echoRequests) NewKey() key.Key { return key.Key{Session: testSession, Part: "minted"} }

func (echoRequests) Entry() caller.Entry { return caller.Entry{Addresses: []string{"127.0.0.1:1"}} }

func newServer(notReady string, registry metrics.Registry) *caller.Server {
	return caller.NewServer(caller.Config{
		Requests:       echoRequests{},
		Index:          func() *bundle.Index { return testIndex },
		NotReadyReason: func() string { return notReady },
		OtherHosts:     func() []string { return []string{"127.0.0.1:2"} },
		MaxBodyBytes:   256,
		Metrics:        registry,
	})
}

func TestRequests(t *testing.T) {
	validKey := testSession.String() + "/order-1"
	chat := `{"model":"llm","messages":[{"role":"user","content":"hi"}]}`
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		notReady                 string
		wantStatus               int
		// wantReason is the reason of a refusal; wantBody is the response if
		// wantReason is empty.
		wantReason, wantBody string
		// wantOutcome is NotRun if empty.
		wantOutcome outcome.Outcome
	}{
		{name: "chat", method: "POST", path: caller.PathChat, body: chat, wantStatus: 200, wantBody: "chat /v1/chat/completions minted"},
		{
			name: "chat by key and route", method: "POST", path: caller.PathChat, body: chat,
			header:     map[string]string{caller.HeaderIdempotencyKey: validKey, caller.HeaderRoute: "script"},
			wantStatus: 200, wantBody: "script /v1/chat/completions order-1",
		},
		{name: "longest prefix", method: "POST", path: "/v1/services/app/bookings/7?x=1", wantStatus: 200, wantBody: "booking /bookings/7?x=1 minted"},
		{name: "prefix ends at a slash", method: "POST", path: "/v1/services/app/bookings2", wantStatus: 200, wantBody: "all /bookings2 minted"},
		{name: "resume", method: "GET", path: caller.PathRequests + validKey + "?offset=5", wantStatus: 200, wantBody: validKey},
		{name: "resume, key escaped", method: "GET", path: caller.PathRequests + strings.ReplaceAll(validKey, "/", "%2F"), wantStatus: 200, wantBody: validKey},
		{name: "malformed JSON", method: "POST", path: caller.PathChat, body: `{"model":`, wantStatus: 400, wantReason: "malformed"},
		{name: "wrong type", method: "POST", path: caller.PathChat, body: `{"model":7}`, wantStatus: 400, wantReason: "malformed"},
		{name: "negative length", method: "POST", path: caller.PathChat, body: `{"model":"llm","max_tokens":-1}`, wantStatus: 400, wantReason: "malformed"},
		{name: "empty body", method: "POST", path: caller.PathChat, wantStatus: 400, wantReason: "malformed"},
		{name: "oversize body", method: "POST", path: caller.PathChat, body: strings.Repeat("x", 257), wantStatus: 413, wantReason: "too_large"},
		{name: "unknown model", method: "POST", path: caller.PathChat, body: `{"model":"other"}`, wantStatus: 404, wantReason: "unknown_route"},
		{name: "plain service as model", method: "POST", path: caller.PathChat, body: `{"model":"app"}`, wantStatus: 404, wantReason: "unknown_route"},
		{
			name: "route of another service", method: "POST", path: caller.PathChat, body: chat,
			header: map[string]string{caller.HeaderRoute: "booking"}, wantStatus: 404, wantReason: "unknown_route",
		},
		{name: "unknown service", method: "POST", path: "/v1/services/other/x", wantStatus: 404, wantReason: "unknown_route"},
		{name: "engine as plain service", method: "POST", path: "/v1/services/llm/x", wantStatus: 404, wantReason: "unknown_route"},
		{name: "no route for the method", method: "DELETE", path: "/v1/services/app/bookings", wantStatus: 404, wantReason: "unknown_route"},
		{name: "unknown path", method: "POST", path: "/v2/nothing", body: chat, wantStatus: 404, wantReason: "unknown_route"},
		{name: "wrong method", method: "GET", path: caller.PathChat, wantStatus: 404, wantReason: "unknown_route"},
		{
			name: "unknown team", method: "POST", path: caller.PathChat, body: chat,
			header: map[string]string{caller.HeaderTeam: "nobody"}, wantStatus: 403, wantReason: "unknown_team",
		},
		{
			name: "malformed key", method: "POST", path: caller.PathChat, body: chat,
			header: map[string]string{caller.HeaderIdempotencyKey: "x"}, wantStatus: 400, wantReason: "malformed",
		},
		{
			name: "a key that may have run, host not ready", method: "POST", path: caller.PathChat, body: chat, notReady: "no bundle",
			header:     map[string]string{caller.HeaderIdempotencyKey: testSession.String() + "/ran"},
			wantStatus: 503, wantReason: "not_ready", wantOutcome: outcome.Unknown,
		},
		{
			name: "a key that may have run, unknown team", method: "POST", path: caller.PathChat, body: chat,
			header: map[string]string{
				caller.HeaderIdempotencyKey: testSession.String() + "/ran", caller.HeaderTeam: "nobody",
			},
			wantStatus: 403, wantReason: "unknown_team", wantOutcome: outcome.Unknown,
		},
		{name: "malformed key in the path", method: "GET", path: caller.PathRequests + "x", wantStatus: 400, wantReason: "malformed"},
		{name: "malformed offset", method: "GET", path: caller.PathRequests + validKey + "?offset=-1", wantStatus: 400, wantReason: "malformed"},
		{name: "not ready", method: "POST", path: caller.PathChat, body: chat, notReady: "no bundle", wantStatus: 503, wantReason: "not_ready"},
		{name: "no entry before ready", method: "GET", path: caller.PathEntry, notReady: "no bundle", wantStatus: 503, wantReason: "not_ready"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			request.Header.Set(caller.HeaderTeam, "team")
			for name, value := range c.header {
				request.Header.Set(name, value)
			}
			recorder := httptest.NewRecorder()
			newServer(c.notReady, registry).ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, c.wantStatus, recorder.Body)
			if c.wantReason == "" {
				assert.Equal(t, recorder.Body.String(), c.wantBody)
				return
			}
			var refusal struct {
				Outcome        outcome.Outcome
				Reason, Detail string
				Addresses      []string
			}
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal))
			assert.Equal(t, refusal.Outcome, cmp.Or(c.wantOutcome, outcome.NotRun))
			assert.Equal(t, refusal.Reason, c.wantReason)
			assert.Assert(t, refusal.Detail != "")
			assert.DeepEqual(t, refusal.Addresses, []string{"127.0.0.1:2"})
			counter := metrics.GetOrRegisterCounter("caller.refused."+c.wantReason, registry)
			assert.Equal(t, counter.Count(), int64(1))
		})
	}
}
