package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/enginesim"
	"mustarddoor/internal/standin/executions"
	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/hostlist"
	"mustarddoor/internal/standin/logservice"
	"mustarddoor/internal/standin/plain"
	"mustarddoor/internal/standin/weightstore"
)

// client sends requests to one simulator that runs in the test process.
type client struct {
	t   *testing.T
	url string
}

// readResponse is a response with its body, and the error of the request or of
// reading the body.
type readResponse struct {
	status int
	body   []byte
	err    error
}

func serve(t *testing.T, handler http.Handler) client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return client{t: t, url: server.URL}
}

func (c client) do(ctx context.Context, method, path, key string, body any) readResponse {
	text, isText := body.(string)
	encoded := []byte(text)
	if body != nil && !isText {
		var err error
		encoded, err = json.Marshal(body)
		assert.NilError(c.t, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(encoded))
	assert.NilError(c.t, err)
	if key != "" {
		request.Header.Set(engine.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return readResponse{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return readResponse{status: response.StatusCode, body: content, err: err}
}

func (c client) get(path string) readResponse {
	return c.do(c.t.Context(), http.MethodGet, path, "", nil)
}

func (c client) post(path, key string, body any) readResponse {
	return c.do(c.t.Context(), http.MethodPost, path, key, body)
}

// setFaults changes the fault switches that the JSON text names.
func (c client) setFaults(text string) {
	c.t.Helper()
	got := c.post(fault.Path, "", text)
	assert.NilError(c.t, got.err)
	assert.Equal(c.t, got.status, http.StatusOK, "%s", got.body)
}

// executionCount returns how often the simulator ran the request with a key.
func (c client) executionCount(key string) int {
	for _, e := range decode[[]executions.Execution](c.t, c.get(executions.Path)) {
		if e.Key == key {
			return e.Count
		}
	}
	return 0
}

// decode parses the JSON body of a response and fails unless its status is 200.
func decode[T any](t *testing.T, r readResponse) T {
	t.Helper()
	var value T
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
	assert.NilError(t, json.Unmarshal(r.body, &value))
	return value
}

func newLog(t *testing.T, configure func(*logservice.Options)) client {
	options := logservice.Options{AppendsPerSecond: 1e6, AppendBurst: 1000, MaxRecords: 1000}
	if configure != nil {
		configure(&options)
	}
	return serve(t, logservice.New(options).Handler())
}

func newHosts(t *testing.T, lagMillis int) client {
	service, err := hostlist.New(hostlist.Options{
		Hosts:     []string{"host-1,127.0.0.1:1,127.0.0.1:2,forge"},
		LagMillis: lagMillis,
	})
	assert.NilError(t, err)
	return serve(t, service.Handler())
}

func newWeights(t *testing.T) client {
	return serve(t, weightstore.New(weightstore.Options{LoadsPerMinute: 1, LoadBurst: 1, WeightBytes: 64}).Handler())
}

func newPlain(t *testing.T) client {
	return serve(t, plain.New(plain.Options{Version: "v1", Lookup: true}).Handler())
}

func newEngine(t *testing.T, configure func(*enginesim.Options)) client {
	options := enginesim.Options{
		Version:                "v1",
		Model:                  "m",
		Role:                   "both",
		PrefillTokensPerSecond: 1e6,
		DecodeTokensPerSecond:  1e4,
		MaxConcurrent:          4,
		MaxWaiting:             100,
		CacheTokens:            256,
		RetainMillis:           60_000,
	}
	if configure != nil {
		configure(&options)
	}
	return serve(t, enginesim.New(t.Context(), options).Handler())
}

// streamPath returns the path of the stream of a request.
func streamPath(key string) string { return "/v1/streams/" + url.PathEscape(key) }

// appendOne appends one record to the configuration stream.
func (c client) appendOne(id string) readResponse {
	request := platform.AppendRequest{Records: []platform.AppendRecord{{ID: id, Data: []byte(id)}}}
	return c.post("/v1/streams/config/append", "", request)
}
