package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/downstream"
)

// A request whose connection failed for any reason was logged and counted as if its caller
// had left.
func TestOnlyCallersThatLeaveCountAsLeft(t *testing.T) {
	for _, test := range []struct {
		name     string
		end      func(t *testing.T, caller net.Conn, conn net.Conn)
		left     int64
		isOfHost bool
	}{
		{"caller closes", func(t *testing.T, caller, _ net.Conn) { assert.NilError(t, caller.Close()) }, 1, false},
		{"caller resets", func(t *testing.T, caller, _ net.Conn) {
			assert.NilError(t, caller.(*net.TCPConn).SetLinger(0))
			assert.NilError(t, caller.Close())
		}, 1, false},
		{"read deadline of the host", func(t *testing.T, _, conn net.Conn) { assert.NilError(t, conn.SetReadDeadline(time.Now())) }, 0, true},
		{"closed by the host", func(t *testing.T, _, conn net.Conn) { assert.NilError(t, conn.Close()) }, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			arrived, release := make(chan struct{}), make(chan struct{})
			endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				close(arrived)
				<-release
			}))
			defer endpoint.Close()
			defer close(release)
			r, registry := newTestRelay(endpoint.URL)
			listener, err := downstream.Listen("127.0.0.1:0")
			assert.NilError(t, err)
			var conn atomic.Pointer[net.Conn]
			server := &http.Server{Handler: r, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				conn.Store(&c)
				return downstream.Context(ctx, c)
			}}
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			caller, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			defer caller.Close()
			_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			<-arrived
			test.end(t, caller, *conn.Load())
			count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
			for end := time.Now().Add(5 * time.Second); count("request.caller_left")+count("request.failed") == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, count("request.caller_left"), test.left)
			assert.Equal(t, count("request.failed") == 1, test.isOfHost)
			assert.NilError(t, server.Close())
			assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
		})
	}
}
