package upstream_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
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

// exchangeWith sends a request with a body to an endpoint that is given the connection once
// it has read the header. It returns the response, nil if there was none, and what was read
// of its body.
func exchangeWith(t *testing.T, bodySize int, serve func(conn *net.TCPConn, reader *bufio.Reader)) (response *upstream.Response, body string, err error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err == nil {
			serve(conn.(*net.TCPConn), reader)
		}
	}()
	pool := upstream.NewPool(listener.Addr().String(), upstream.Dial, metrics.NewCounter())
	conn, err := pool.Get(t.Context())
	assert.NilError(t, err)
	response, err = conn.Do(upstream.Request{Method: "POST", Target: "/", Host: "h", Body: bytes.Repeat([]byte("q"), bodySize)}, time.Now().Add(5*time.Second), notStale)
	data := []byte(nil)
	if err == nil {
		data, err = io.ReadAll(response)
		response.Finish()
	} else {
		conn.Abort()
	}
	<-served
	return response, string(data), err
}

const (
	// unframedHead begins a response that ends with its connection.
	unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	// longBody is more than the kernel takes from a sender whose peer does not read.
	longBody  = 32 << 20
	shortBody = 100
)

// A response without a length that ends with its connection is complete only if the
// connection was not reset, whether the client notices that when it reads or when it still
// writes the request.
func TestUnframedResponseEnds(t *testing.T) {
	write := func(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	pause := func() { time.Sleep(100 * time.Millisecond) }
	for name, test := range map[string]struct {
		bodySize   int
		serve      func(conn *net.TCPConn, reader *bufio.Reader)
		isComplete bool
	}{
		"reset while the request is written": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			write(conn, unframedHead+"part")
			pause()
			reset(conn)
		}, false},
		"reset at once while the request is written": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			write(conn, unframedHead+"part")
			reset(conn)
		}, false},
		"closed with unread bytes of the request": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			write(conn, unframedHead+"part")
			pause()
			_ = conn.Close()
		}, false},
		"end of the response, then reset while the request is written": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			write(conn, unframedHead+"part")
			_ = conn.CloseWrite()
			pause()
			reset(conn)
		}, false},
		"end of the response, then the rest of the request is read": {longBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			write(conn, unframedHead+"whole")
			_ = conn.CloseWrite()
			_, _ = io.CopyN(io.Discard, reader, longBody)
		}, true},
		"end of the response, the rest of the request is never read": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			write(conn, unframedHead+"part")
			_ = conn.CloseWrite()
			time.Sleep(6 * time.Second)
		}, false},
		"end of the response, then reset, request within the buffers": {256 << 10, func(conn *net.TCPConn, _ *bufio.Reader) {
			_ = conn.SetReadBuffer(4 << 10)
			write(conn, unframedHead+"part")
			_ = conn.CloseWrite()
			pause()
			reset(conn)
		}, false},
		"reset after the request was written": {longBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			write(conn, unframedHead+"part")
			_, _ = io.CopyN(io.Discard, reader, longBody)
			pause()
			reset(conn)
		}, false},
		"reset, short request": {shortBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, shortBody)
			write(conn, unframedHead+"part")
			pause()
			reset(conn)
		}, false},
		"end of the response, short request": {shortBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, shortBody)
			write(conn, unframedHead+"whole")
		}, true},
		"end of the response, long request": {longBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, longBody)
			write(conn, unframedHead+"whole")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, body, err := exchangeWith(t, test.bodySize, test.serve)
			if test.isComplete {
				assert.NilError(t, err)
				assert.Equal(t, body, "whole")
				return
			}
			assert.Assert(t, err != nil, "%q passed for a complete response", body)
		})
	}
}

// Only statuses from 200 to 599 are responses, and of the informational ones only those
// that announce a response.
func TestStatusLine(t *testing.T) {
	whole := okResponse("a", "whole")
	for line, wantStatus := range map[string]int{
		"HTTP/1.1 200 OK":        200,
		"HTTP/1.1 200":           200,
		"HTTP/1.1 599 Odd":       599,
		"HTTP/1.1 000 X":         0,
		"HTTP/1.1 099 X":         0,
		"HTTP/1.1 001 X":         0,
		"HTTP/1.1 600 X":         0,
		"HTTP/1.1 999 X":         0,
		"HTTP/1.1 2 0":           0,
		"HTTP/1.1 20 OK":         0,
		"HTTP/1.1 +20 OK":        0,
		"HTTP/1.1 +200 OK":       0,
		"HTTP/1.1 -00 OK":        0,
		"HTTP/1.1 -200 OK":       0,
		"HTTP/1.1  200 OK":       200,
		"HTTP/1.1 2000 OK":       0,
		"HTTP/1.1 0200 OK":       0,
		"HTTP/1.1 2x0 OK":        0,
		"HTTP/1.1":               0,
		"HTTP/1.1 ":              0,
		"HTTP/1.1 OK":            0,
		"HTTP/2.0 200 OK":        0,
		"HTTP/0.9 200 OK":        0,
		"HTTP/1.1\t200 OK":       0,
		"HTTP/1.1 101 X":         0,
		"HTTP/1.1 2\u0660\u0660": 0,
	} {
		t.Run(line, func(t *testing.T) {
			response, body, err := exchangeWith(t, shortBody, func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, reader, shortBody)
				_, rest, _ := strings.Cut(whole, "\r\n")
				text := line + "\r\n" + rest
				if wantStatus == 0 {
					// What follows must not pass for the response.
					text = line + "\r\n\r\n" + whole
				}
				_, _ = io.WriteString(conn, text)
			})
			if wantStatus != 0 {
				assert.NilError(t, err)
				assert.Equal(t, response.Status, wantStatus)
				assert.Equal(t, body, "whole")
				return
			}
			assert.Assert(t, errors.Is(err, upstream.ErrNoResponse), "%+v, body %q, %v", response, body, err)
		})
	}
}

// Informational responses announce one response. Many of them are none.
func TestInformationalResponses(t *testing.T) {
	for _, test := range []struct {
		count      int
		text       string
		isResponse bool
	}{
		{1, "HTTP/1.1 100 Continue\r\n\r\n", true},
		{3, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", true},
		{2, "HTTP/1.1 199 X\r\n\r\n", true},
		{100, "HTTP/1.1 100 Continue\r\n\r\n", false},
		{1, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", false},
	} {
		t.Run(fmt.Sprintf("%d of %.12s", test.count, test.text), func(t *testing.T) {
			_, body, err := exchangeWith(t, shortBody, func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, reader, shortBody)
				_, _ = io.WriteString(conn, strings.Repeat(test.text, test.count)+okResponse("a", "whole"))
			})
			if test.isResponse {
				assert.NilError(t, err)
				assert.Equal(t, body, "whole")
				return
			}
			assert.Assert(t, errors.Is(err, upstream.ErrNoResponse), "%q, %v", body, err)
		})
	}
}
