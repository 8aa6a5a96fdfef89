package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/upstream"
)

// serveResponses starts a server that replies to the requests on each
// connection with the given responses, in order, and then closes the
// connection.
func serveResponses(t *testing.T, responses ...string) string {
	t.Helper()
	return serveAndNotify(t, make(chan bool, 100), responses...)
}

// serveAndNotify is like serveResponses and signals each closed connection.
func serveAndNotify(t *testing.T, closed chan<- bool, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() {
					_ = conn.Close()
					closed <- true
				}()
				reader := bufio.NewReader(conn)
				for _, response := range responses {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func notStale(http.Header) bool { return false }

// exchange sends one request and reads the whole response.
func exchange(pool *upstream.Pool, stale func(http.Header) bool) (body string, err error) {
	conn, err := pool.Get(context.Background())
	if err != nil {
		return "", err
	}
	response, err := conn.Do(upstream.Request{Method: "POST", Target: "/x?y=%20", Host: "h", Body: []byte("q")}, time.Now().Add(5*time.Second), stale)
	if err != nil {
		conn.Close()
		return "", err
	}
	data, err := io.ReadAll(response)
	response.Finish()
	return string(data), err
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Only connections with a complete response, no announced close and no
// unexpected data are reused.
func TestReuse(t *testing.T) {
	cases := []struct {
		name     string
		response string
		opened   int64
	}{
		{"whole", okResponse("a", "good"), 1},
		{"announced close", strings.Replace(okResponse("a", "good"), "Id: a", "Connection: close", 1), 2},
		{"short idle time", strings.Replace(okResponse("a", "good"), "Id: a", "Keep-Alive: timeout=0, max=5", 1), 1},
		{"idle time within the margin", strings.Replace(okResponse("a", "good"), "Id: a", "Keep-Alive: timeout=1", 1), 1},
		{"bytes after the answer", okResponse("a", "good") + "extra", 2},
		{"early hints first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("a", "good"), 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			opened := metrics.NewCounter()
			pool := upstream.NewPool(serveResponses(t, test.response, test.response), upstream.Dial, opened)
			defer pool.Close()
			for range 2 {
				body, err := exchange(pool, notStale)
				assert.NilError(t, err)
				assert.Equal(t, body, "good")
			}
			assert.Equal(t, opened.Count(), test.opened)
		})
	}
}

// A late duplicate response to an earlier request on the same connection is
// skipped.
func TestStaleResponse(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, response := range []string{okResponse("a", "first"), okResponse("a", "again") + okResponse("b", "second")} {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, response)
		}
	}()
	pool := upstream.NewPool(listener.Addr().String(), upstream.Dial, metrics.NewCounter())
	defer pool.Close()
	for id, want := range []string{"first", "second"} {
		body, err := exchange(pool, func(h http.Header) bool { return h.Get("Id") != string(rune('a'+id)) })
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
}

// Each kind of failed response is reported with the error that tells whether
// the endpoint may have received the request.
func TestFailures(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().String()
	assert.NilError(t, closed.Close())
	_, err = exchange(upstream.NewPool(address, upstream.Dial, metrics.NewCounter()), notStale)
	assert.Assert(t, err != nil && !errors.Is(err, upstream.ErrNoResponse))
	for name, response := range map[string]string{
		"no answer": "", "garbage": "\x00\xff", "half a head": "HTTP/1.1 200 OK\r\nContent-",
		"other protocol": "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"of another":     okResponse("z", "other"),
	} {
		_, err := exchange(upstream.NewPool(serveResponses(t, response), upstream.Dial, metrics.NewCounter()), func(h http.Header) bool { return h.Get("Id") == "z" })
		assert.Assert(t, errors.Is(err, upstream.ErrNoResponse), "%s: %v", name, err)
	}
	_, err = exchange(upstream.NewPool(serveResponses(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"), upstream.Dial, metrics.NewCounter()), notStale)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// An idle connection that the peer has closed is not reused.
func TestClosedIdleConnection(t *testing.T) {
	opened, closed := metrics.NewCounter(), make(chan bool, 3)
	pool := upstream.NewPool(serveAndNotify(t, closed, okResponse("a", "good")), upstream.Dial, opened)
	defer pool.Close()
	for range 3 {
		body, err := exchange(pool, notStale)
		assert.NilError(t, err)
		assert.Equal(t, body, "good")
		<-closed
		pool.CloseExpired()
	}
	assert.Equal(t, opened.Count(), int64(3))
}

// Aborting a request resets its connection, so that the kernel discards unsent
// data instead of delivering it later.
func TestAbortedRequestIsReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	pool := upstream.NewPool(listener.Addr().String(), upstream.Dial, metrics.NewCounter())
	conn, err := pool.Get(context.Background())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	_, err = conn.Do(upstream.Request{Method: "POST", Target: "/", Host: "h"}, time.Now().Add(50*time.Millisecond), notStale)
	assert.Assert(t, errors.Is(err, upstream.ErrNoResponse))
	conn.Abort()
	_, err = io.Copy(io.Discard, accepted)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
