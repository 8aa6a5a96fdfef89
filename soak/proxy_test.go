package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortWait is how long the tests check that nothing arrives.
const shortWait = 50 * time.Millisecond

// newEchoProxy starts a proxy to a target that echoes what it receives.
func newEchoProxy(t *testing.T) *Proxy {
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
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	proxy, err := NewProxy(listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", proxy.Address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// isEchoed reports whether a byte arrives within a duration.
func isEchoed(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		assert.NilError(t, err)
	}
	return err == nil
}

const echoTimeout = 10 * time.Second

// Held bytes are forwarded once no mode holds them any more.
func TestProxyHolds(t *testing.T) {
	for _, mode := range []Mode{{HoldIn: true}, {HoldOut: true}} {
		proxy := newEchoProxy(t)
		conn := dial(t, proxy)
		_, err := conn.Write([]byte("a"))
		assert.NilError(t, err)
		assert.Assert(t, isEchoed(t, conn, echoTimeout))
		first, second := proxy.Apply(mode), proxy.Apply(mode)
		_, err = conn.Write([]byte("b"))
		assert.NilError(t, err)
		first()
		assert.Assert(t, !isEchoed(t, conn, shortWait))
		second()
		assert.Assert(t, isEchoed(t, conn, echoTimeout))
	}
}

// The client sees a reset or a refusal as a reset, and a close as a close.
func TestProxyEnds(t *testing.T) {
	proxy := newEchoProxy(t)
	conn := dial(t, proxy)
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, echoTimeout))
	proxy.Reset()
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	halfClosed := dial(t, proxy)
	assert.NilError(t, halfClosed.(*net.TCPConn).CloseWrite())
	_, err = halfClosed.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	defer proxy.Apply(Mode{Refuse: true})()
	refused, err := net.Dial("tcp4", proxy.Address)
	if err == nil { // otherwise the reset arrived before Dial returned
		defer refused.Close()
		_, err = refused.Read(make([]byte, 1))
	}
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// A delay applies to each chunk in both directions.
func TestProxyDelays(t *testing.T) {
	proxy := newEchoProxy(t)
	defer proxy.Apply(Mode{Delay: shortWait})()
	conn := dial(t, proxy)
	start := time.Now()
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, echoTimeout))
	assert.Assert(t, time.Since(start) >= 2*shortWait)
}

// A target that has ended can listen again, although its port was free meanwhile: no
// outgoing connection gets a port of a proxy.
func TestProxyPortIsNotTakenByConnections(t *testing.T) {
	proxy := newEchoProxy(t)
	port := proxy.listener.Addr().(*net.TCPAddr).Port
	assert.Assert(t, port >= firstPort && port < lastPort, "port %d", port)
	restart := proxy.End()
	assert.NilError(t, restart())
	_, err := dial(t, proxy).Write([]byte("a"))
	assert.NilError(t, err)
}
