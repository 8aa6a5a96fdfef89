package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/upstream"
)

// maxEndlessBytes is well above what the client may read, including what the
// kernel buffers, and well below what the endpoint could send.
const maxEndlessBytes = 32 << 20

// serveWithoutEnd starts a server that replies with a beginning and then repeats
// a text until the connection is closed. It returns the number of bytes sent on
// the first connection once that is closed.
func serveWithoutEnd(t *testing.T, beginning, repeated string) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	result := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, beginning)
		block := []byte(strings.Repeat(repeated, 1+16<<10/len(repeated)))
		total := 0
		for total < 8*maxEndlessBytes {
			n, err := conn.Write(block)
			total += n
			if err != nil {
				break
			}
		}
		result <- total
	}()
	return listener.Addr().String(), result
}

// Bytes that never become a response header end the exchange, long before its
// deadline and with bounded memory, and the connection is closed.
func TestHeaderWithoutEnd(t *testing.T) {
	for name, test := range map[string]struct{ beginning, repeated string }{
		"no line ends":            {"", "x"},
		"status line without end": {"HTTP/1.1 200 ", "OK"},
		"field without end":       {"HTTP/1.1 200 OK\r\nX: ", "y"},
		"fields without end":      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"empty lines":             {"", "\r\n"},
		"continued informational": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "Link: </a>\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveWithoutEnd(t, test.beginning, test.repeated)
			pool := upstream.NewPool(address, upstream.Dial, metrics.NewCounter())
			conn, err := pool.Get(t.Context())
			assert.NilError(t, err)
			startedAt := time.Now()
			_, err = conn.Do(upstream.Request{Method: "POST", Target: "/", Host: "h"}, startedAt.Add(time.Minute), notStale)
			assert.Assert(t, errors.Is(err, upstream.ErrNoResponse), "%v", err)
			conn.Abort()
			assert.Assert(t, time.Since(startedAt) < 30*time.Second)
			bytes := <-sent
			assert.Assert(t, bytes < maxEndlessBytes, "%d bytes were sent", bytes)
		})
	}
}

// The limit of the header does not limit the body, on a reused connection either.
func TestBodyBeyondTheHeaderLimit(t *testing.T) {
	body := strings.Repeat("b", 1<<20)
	pool := upstream.NewPool(serveResponses(t, okResponse("a", body), okResponse("b", body)), upstream.Dial, metrics.NewCounter())
	for range 2 {
		got, err := exchange(pool, notStale)
		assert.NilError(t, err)
		assert.Equal(t, got, body)
	}
}
