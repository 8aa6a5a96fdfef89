package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
)

// endlessReader reads zeros.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// Bodies were unlimited in a configuration without a limit, and took memory as soon as they
// were announced.
func TestBodyLimits(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		assert.Check(t, err)
		_, _ = w.Write(body)
	}))
	defer endpoint.Close()
	r, _ := newTestRelay(endpoint.URL)
	registry := metrics.NewRegistry()
	r.Guard = downstream.NewGuard(intake.Limits{BodyMemory: 8 << 20}, registry)
	frontend := httptest.NewServer(r)
	defer frontend.Close()
	post := func(body io.Reader, announced int64) (status int, text string) {
		request, err := http.NewRequest(http.MethodPost, frontend.URL+"/x", io.NopCloser(body))
		assert.NilError(t, err)
		request.Host, request.ContentLength = "h", announced
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(data)
	}
	for _, length := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000} {
		body := strings.Repeat("x", length)
		for _, announced := range []int64{int64(length), -1} {
			status, got := post(strings.NewReader(body), announced)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, got == body, "length %d, announced %d", length, announced)
		}
	}
	status, _ := post(endlessReader{}, -1)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	status, _ = post(io.LimitReader(endlessReader{}, intake.DefaultBodyBytes+1), intake.DefaultBodyBytes+1)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)

	r.Guard = downstream.NewGuard(intake.Limits{BodyMemory: firstBodyBytes}, registry)
	status, _ = post(strings.NewReader(strings.Repeat("x", firstBodyBytes+1)), -1)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, r.Guard.ReserveBody(nil, firstBodyBytes), "all memory is returned")
}

// A request that arrived as its connection was closed for another one was sent on although
// its caller could not get the response, and kept its memory.
func TestConnectionIsClosedAsRequestArrives(t *testing.T) {
	r, registry := newTestRelay("http://127.0.0.1:1")
	r.Guard = downstream.NewGuard(intake.Limits{BodyMemory: 100}, registry)
	listener, err := downstream.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	listener.Limit(r.Guard, 2)
	connect := func() *downstream.Conn {
		caller, err := net.Dial("tcp4", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
		conn, err := listener.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn.(*downstream.Conn)
	}
	s := &serverRequest{relay: r, conn: connect(), ctx: t.Context()}
	s.conn.BeginBody()
	assert.NilError(t, s.growBody(90))
	next := connect()
	reserved := make(chan bool)
	go func() { reserved <- r.Guard.ReserveBody(next, 50) }()
	_, err = s.conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, downstream.ErrShed)
	assert.Assert(t, !s.markArrived())
	assert.Equal(t, s.outcome, outcome{outcomeCallerLeft, 0, reasonShed})
	s.releaseBody()
	assert.Assert(t, <-reserved)
}
