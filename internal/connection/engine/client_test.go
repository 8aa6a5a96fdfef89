package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
)

// listen serves each accepted connection with handle until the test ends.
func listen(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestSendNeverRetries(t *testing.T) {
	cases := []struct {
		name string
		// responses are sent on each connection before it is closed.
		responses []string
		wantSeen  int64
		wantErr   error
	}{
		{"closed after the request", []string{""}, 1, engine.ErrInterrupted},
		{"garbage", []string{"\x00\x01\x02\r\n\r\n"}, 1, engine.ErrInterrupted},
		{"closed on the second use", []string{okResponse, ""}, 2, engine.ErrInterrupted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var seen atomic.Int64
			address := listen(t, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, response := range c.responses {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					seen.Add(1)
					if _, err := io.WriteString(conn, response); err != nil {
						return
					}
				}
			})
			client := engine.NewClient()
			call := engine.Call{Address: address, Method: http.MethodPost, Path: "/bookings", Body: []byte("{}"), Key: "k"}
			for range len(c.responses) - 1 {
				response, err := client.Send(context.Background(), call)
				assert.NilError(t, err)
				_, err = io.ReadAll(response.Body)
				assert.NilError(t, err)
				response.Body.Close()
			}
			_, err := client.Send(context.Background(), call)
			assert.ErrorIs(t, err, c.wantErr)
			assert.Equal(t, seen.Load(), c.wantSeen)
		})
	}
}

func TestSendToClosedPortIsNotStarted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = engine.NewClient().Send(context.Background(), engine.Call{Address: address, Method: http.MethodGet, Path: "/"})
	assert.ErrorIs(t, err, engine.ErrNotStarted)
}
