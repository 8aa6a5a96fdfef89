package engine_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
)

// An answer without a valid status, or one that was cut while the request was still being
// written, is none: the endpoint may have started the request.
func TestResponseThatIsNone(t *testing.T) {
	const (
		longBody  = 32 << 20
		shortBody = 100
	)
	write := func(text string) func(*net.TCPConn, *bufio.Reader) {
		return func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, shortBody)
			_, _ = io.WriteString(conn, text)
		}
	}
	for name, test := range map[string]struct {
		bodySize int
		serve    func(conn *net.TCPConn, reader *bufio.Reader)
		isWhole  bool
	}{
		"reset during the upload": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(100 * time.Millisecond)
			_ = conn.SetLinger(0)
		}, false},
		"end, then reset during the upload": {longBody, func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
			_ = conn.SetLinger(0)
		}, false},
		"whole without a length": {shortBody, write("HTTP/1.1 200 OK\r\n\r\nwhole"), true},
		"whole after a long upload": {longBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, longBody)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}, true},
		"early with a length": {longBody, func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			_, _ = io.CopyN(io.Discard, reader, longBody)
		}, true},
		"status 000": {shortBody, write("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"), false},
		"status 099": {shortBody, write("HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nwhole"), false},
		"status +20": {shortBody, write("HTTP/1.1 +20 X\r\nContent-Length: 5\r\n\r\nwhole"), false},
		"status 101": {shortBody, write("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nwhole"), false},
		"status 600": {shortBody, write("HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nwhole"), false},
		"status 2 0": {shortBody, write("HTTP/1.1 2 0\r\nContent-Length: 5\r\n\r\nwhole"), false},
		"no status":  {shortBody, write("HTTP/1.1\r\nContent-Length: 5\r\n\r\nwhole"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					test.serve(conn.(*net.TCPConn), reader)
				}
			}()
			response, err := engine.NewClient().Send(t.Context(), engine.Call{
				Address: listener.Addr().String(), Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("q"), test.bodySize),
			})
			body := []byte(nil)
			if err == nil {
				body, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			if test.isWhole {
				assert.NilError(t, err)
				assert.Equal(t, string(body), "whole")
				return
			}
			assert.Assert(t, err != nil, "%q passed for a response", body)
		})
	}
}
