package downstream_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/downstream"
)

// An interrupted read was taken for the end of the caller.
func TestFailure(t *testing.T) {
	cases := []struct {
		name string
		end  func(t *testing.T, caller *net.TCPConn, conn net.Conn)
		want error
	}{
		{"interrupted", func(t *testing.T, _ *net.TCPConn, conn net.Conn) {
			assert.NilError(t, conn.SetReadDeadline(time.Now()))
		}, nil},
		{"caller closes", func(t *testing.T, caller *net.TCPConn, _ net.Conn) { assert.NilError(t, caller.Close()) }, io.EOF},
		{"caller resets", func(t *testing.T, caller *net.TCPConn, _ net.Conn) {
			assert.NilError(t, caller.SetLinger(0))
			assert.NilError(t, caller.Close())
		}, syscall.ECONNRESET},
		{"closed here", func(t *testing.T, _ *net.TCPConn, conn net.Conn) { assert.NilError(t, conn.Close()) }, net.ErrClosed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			listener, err := downstream.Listen("127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			caller, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = caller.Close() })
			conn, err := listener.Accept()
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			test.end(t, caller.(*net.TCPConn), conn)
			_, err = conn.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
			_, _ = conn.Write([]byte("x")) // a later error does not replace the first one
			assert.ErrorIs(t, conn.(*downstream.Conn).Failure(), test.want)
		})
	}
}
