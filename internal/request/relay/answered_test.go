package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/decisionlog"
	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/fleet"
	"mustarddoor/internal/process/quarantine"
	"mustarddoor/internal/version/routing"
)

// plainProtocol neither adds headers nor reads any.
type plainProtocol struct{ Protocol }

func (plainProtocol) ParseRequest(*http.Request) RequestAttributes          { return RequestAttributes{ID: "a"} }
func (plainProtocol) ForwardHeader(http.Header, SendAttributes) http.Header { return http.Header{} }
func (plainProtocol) ParseResponse(int, http.Header) ResponseAttributes {
	return ResponseAttributes{ID: "a", Sealed: true}
}
func (plainProtocol) CopyResponseHeader(http.Header, http.Header)         {}
func (plainProtocol) SetRefusalHeader(http.Header, string, time.Duration) {}

type noLimits struct{ Limits }

func (noLimits) CountRequest(string)    {}
func (noLimits) AllowRetry(string) bool { return false }

type noQuarantine struct{ Quarantine }

func (noQuarantine) RecordSuccess([]quarantine.Part)  {}
func (noQuarantine) AllowSend([]quarantine.Part) bool { return true }
func (noQuarantine) IsQuarantined([]quarantine.Part) (quarantine.Part, time.Duration, bool) {
	return 0, 0, false
}

// endingWriter calls end once the body has been written.
type endingWriter struct {
	http.ResponseWriter
	end func()
}

func (w endingWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	w.end()
	return n, err
}

// newTestRelay returns a relay with one endpoint, and its metrics.
func newTestRelay(endpointURL string) (*Relay, metrics.Registry) {
	table := routing.NewTable(routing.Config{
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.KindSafe, Timeout: 5 * time.Second, TargetLatency: time.Second,
			Shares: []routing.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		}},
		Services: []routing.Service{{Name: "s", MaxConnections: 10}},
	})
	registry := metrics.NewRegistry()
	dispatcher := dispatch.New("z", upstream.Dial, metrics.NewCounter(), func(dispatch.EndpointChange) {})
	dispatcher.SetRoutingTable(table)
	dispatcher.SetEntry(fleet.Entry{ID: "e", Service: "s", Address: strings.TrimPrefix(endpointURL, "http://"), Domain: "z", Slots: 4, Sequence: 1})
	return New(Config{
		Protocol: plainProtocol{}, Dispatcher: dispatcher, Limits: noLimits{}, Quarantine: noQuarantine{},
		Table: func() *routing.Table { return table }, Stop: func() *Stop { return nil },
		LongestDelay: func(time.Time) time.Duration { return 0 },
		Log:          decisionlog.New(io.Discard, registry), Metrics: registry,
	}), registry
}

// A caller that closed its connection once it had its whole answer counted as one that had
// left without; a stop at that moment cut the answer.
func TestWholeAnswerIsNotCut(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") }))
	defer endpoint.Close()
	for _, by := range []string{"caller", "stop"} {
		t.Run(by, func(t *testing.T) {
			r, registry := newTestRelay(endpoint.URL)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			ends := map[string]func(){"caller": leave, "stop": func() {
				r.End()
				time.Sleep(20 * time.Millisecond) // until the request's context has ended
			}}
			recorder := httptest.NewRecorder()
			r.ServeHTTP(endingWriter{recorder, ends[by]}, httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx))
			assert.Equal(t, recorder.Code, http.StatusOK)
			assert.Equal(t, recorder.Body.String(), "good")
			assert.Equal(t, metrics.GetOrRegisterCounter("request.answered", registry).Count(), int64(1))
		})
	}
}
