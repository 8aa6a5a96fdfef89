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

// held is how long the tests watch that nothing comes.
const held = 50 * time.Millisecond

// echo starts a target that sends back what it gets.
func echo(t *testing.T) *Proxy {
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

// isEchoed reports whether a byte comes back within a time.
func isEchoed(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		assert.NilError(t, err)
	}
	return err == nil
}

const soon = 10 * time.Second

// Held bytes come once no mode holds them any more.
func TestProxyHolds(t *testing.T) {
	for _, mode := range []Mode{{HoldIn: true}, {HoldOut: true}} {
		proxy := echo(t)
		conn := dial(t, proxy)
		_, err := conn.Write([]byte("a"))
		assert.NilError(t, err)
		assert.Assert(t, isEchoed(t, conn, soon))
		first, second := proxy.Apply(mode), proxy.Apply(mode)
		_, err = conn.Write([]byte("b"))
		assert.NilError(t, err)
		first()
		assert.Assert(t, !isEchoed(t, conn, held))
		second()
		assert.Assert(t, isEchoed(t, conn, soon))
	}
}

// A reset and a refusal reach the caller as resets, a close as a close.
func TestProxyEnds(t *testing.T) {
	proxy := echo(t)
	conn := dial(t, proxy)
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, soon))
	proxy.Reset()
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	closing := dial(t, proxy)
	assert.NilError(t, closing.(*net.TCPConn).CloseWrite())
	_, err = closing.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	defer proxy.Apply(Mode{Refuse: true})()
	refused, err := net.Dial("tcp4", proxy.Address)
	if err == nil { // the reset may come before the call returns
		defer refused.Close()
		_, err = refused.Read(make([]byte, 1))
	}
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// A slow path delays each piece.
func TestProxyDelays(t *testing.T) {
	proxy := echo(t)
	defer proxy.Apply(Mode{Delay: held})()
	conn := dial(t, proxy)
	begun := time.Now()
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, soon))
	assert.Assert(t, time.Since(begun) >= 2*held)
}
