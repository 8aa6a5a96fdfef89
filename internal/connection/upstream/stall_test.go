package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// lateConn is a connection of a process that does not run for a time before its first
// read.
type lateConn struct {
	*net.TCPConn
	delay time.Duration
}

func (c *lateConn) Read(buffer []byte) (int, error) {
	time.Sleep(c.delay)
	c.delay = 0
	return c.TCPConn.Read(buffer)
}

// A process that did not run while its read deadline passed took what lay in the socket,
// or what the endpoint sent right after, for silence.
func TestOwnDelayIsNoSilence(t *testing.T) {
	const maxSilence, pause = 300 * time.Millisecond, 600 * time.Millisecond
	cases := []struct {
		name string
		// responseDelay is when the endpoint responds.
		responseDelay time.Duration
		isSilent      bool
		delay         time.Duration
	}{
		{"the response has arrived", 100 * time.Millisecond, false, pause},
		{"the response arrives after the pause", pause + 150*time.Millisecond, false, pause},
		{"the endpoint is silent after the pause", pause + 2*maxSilence, true, pause},
		{"no pause", 2 * maxSilence, true, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				time.Sleep(test.responseDelay)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}()
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := Dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &lateConn{TCPConn: conn.(*net.TCPConn), delay: test.delay}, nil
			}
			conn, err := NewPool(listener.Addr().String(), dial, metrics.NewCounter()).Get(context.Background())
			assert.NilError(t, err)
			calls := 0
			conn.OnStall(maxSilence, func() (time.Time, bool) {
				calls++
				return time.Now().Add(maxSilence), true
			})
			response, err := conn.Do(Request{Method: "POST", Target: "/", Host: "h"}, time.Now().Add(5*time.Second), notStaleHeader)
			assert.NilError(t, err)
			defer response.Finish()
			assert.Equal(t, response.Status, http.StatusOK)
			assert.Equal(t, calls > 0, test.isSilent)
			assert.Equal(t, conn.LongestDelay() > 0, test.delay > 0 && test.responseDelay > pause)
		})
	}
}

func notStaleHeader(http.Header) bool { return false }

// A response that is due is read for a moment only, however much arrives.
func TestOverdueResponseEnds(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for err == nil {
			_, err = conn.Write(make([]byte, 64<<10))
		}
	}()
	conn, err := NewPool(listener.Addr().String(), Dial, metrics.NewCounter()).Get(context.Background())
	assert.NilError(t, err)
	defer conn.Abort()
	response, err := conn.Do(Request{Method: "POST", Target: "/", Host: "h"}, time.Now().Add(5*time.Second), notStaleHeader)
	assert.NilError(t, err)
	startedAt, deadline := time.Now(), 200*time.Millisecond
	assert.NilError(t, response.Await(0, startedAt.Add(deadline)))
	_, err = io.Copy(io.Discard, response)
	var timeout interface{ Timeout() bool }
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	assert.Assert(t, time.Since(startedAt) < deadline+maxOverdueRead+time.Second)
}
