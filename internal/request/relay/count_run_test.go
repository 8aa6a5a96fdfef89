package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/quarantine"
	"mustarddoor/internal/version/routing"
)

type teamProtocol struct{ plainProtocol }

func (teamProtocol) ParseRequest(*http.Request) RequestAttributes {
	return RequestAttributes{ID: "a", APIKey: "key"}
}

type calmQuarantine struct{ noQuarantine }

func (calmQuarantine) RecordCrash(uint64, []quarantine.Part) {}

type retryLimits struct{ noLimits }

func (retryLimits) AllowRetry(string) bool { return true }

// A caller's request counts once when an endpoint begins to respond, however many do, and
// not at all if none does.
func TestCountRun(t *testing.T) {
	write := func(w http.ResponseWriter, status int) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "data: x\n\n")
	}
	cases := []struct {
		name    string
		kind    routing.Kind
		respond func(w http.ResponseWriter)
		want    int
	}{
		{"plain", routing.KindSafe, func(w http.ResponseWriter) { write(w, http.StatusOK) }, 1},
		{"failing", routing.KindSafe, func(w http.ResponseWriter) { write(w, http.StatusInternalServerError) }, 1},
		{"broken off", routing.KindSafe, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 0},
		{"stream", routing.KindStream, func(w http.ResponseWriter) { write(w, http.StatusOK) }, 1},
		{"stream without events", routing.KindStream, func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.respond(w) }))
			defer endpoint.Close()
			r, _ := newTestRelay(endpoint.URL)
			table := routing.NewTable(routing.Config{
				Routes: []routing.Route{{
					Name: "r", Host: "h", Prefix: "/", Kind: c.kind, Timeout: 5 * time.Second, TargetLatency: time.Second,
					Shares: []routing.Share{{Service: "s", Weight: 1}}, MaxAttempts: 3,
				}},
				Services: []routing.Service{{Name: "s", MaxConnections: 10}},
				Teams:    []routing.Team{{Name: "team", Keys: []string{"key"}}},
			})
			r.Table = func() *routing.Table { return table }
			r.Protocol, r.Limits, r.Quarantine = teamProtocol{}, retryLimits{}, calmQuarantine{}
			counts := map[string]int{}
			r.CountRun = func(team string) { counts[team]++ }
			func() {
				defer func() { _ = recover() }() // of an aborted response
				r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/x", nil))
			}()
			assert.Equal(t, counts["team"], c.want)
			assert.Assert(t, len(counts) <= 1)
		})
	}
}
