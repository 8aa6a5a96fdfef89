package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// acceptOne opens a connection of a pool and returns both of its ends.
func acceptOne(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := NewPool(listener.Addr().String(), Dial, metrics.NewCounter()).Get(t.Context())
	assert.NilError(t, err)
	t.Cleanup(conn.Close)
	peer, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer.(*net.TCPConn)
}

// A look at a connection that the endpoint had reset took the error with it: the next read
// found the end of the stream, and a body without a length counted as complete.
func TestResetIsNoEndAfterArrived(t *testing.T) {
	t.Parallel()
	conn, peer := acceptOne(t)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, conn.Arrived(), ArrivedEnd)
	_, err := conn.net.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// An endpoint that sent a part of the header and then nothing kept its request beyond the
// deadline: what lay in the read buffer counted as arrived, and was awaited from the socket.
func TestPartOfAHeaderEndsAtTheDeadline(t *testing.T) {
	t.Parallel()
	conn, peer := acceptOne(t)
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\nRequest-I")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Do(Request{Method: "GET", Target: "/", Host: "x"}, time.Now().Add(200*time.Millisecond), nil)
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, ErrNoResponse)
	case <-time.After(3 * time.Second):
		t.Fatal("the request goes on")
	}
}

// An endpoint that sent a part of the header and then nothing counted as one that had broken
// its answer off, as when it crashes: the part of a line counted as malformed.
func TestPartOfAHeaderIsNoEnd(t *testing.T) {
	t.Parallel()
	conn, peer := acceptOne(t)
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\nRequest-I")
	assert.NilError(t, err)
	_, err = conn.Do(Request{Method: "GET", Target: "/", Host: "x"}, time.Now().Add(200*time.Millisecond), nil)
	timeout := net.Error(nil)
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}

// When an endpoint was silent after a part of the header, the stall handler was called again
// after it had ended the wait: the request was sent to a second endpoint besides the one
// that had taken over, and what that one sent was never read.
func TestStallInsideAHeaderEndsTheWait(t *testing.T) {
	t.Parallel()
	conn, peer := acceptOne(t)
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\nRequest-Id: 1")
	assert.NilError(t, err)
	calls := 0
	conn.OnStall(100*time.Millisecond, func() (time.Time, bool) {
		calls++
		conn.Abort()
		return time.Time{}, false
	})
	_, err = conn.Do(Request{Method: "GET", Target: "/", Host: "x"}, time.Now().Add(3*time.Second), nil)
	timeout := net.Error(nil)
	assert.Check(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	assert.Equal(t, calls, 1)
}

// As above, without a reset of the connection.
func TestStallInsideAHeaderIsHandledOnce(t *testing.T) {
	t.Parallel()
	conn, peer := acceptOne(t)
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\nRequest-Id: 1")
	assert.NilError(t, err)
	calls := 0
	conn.OnStall(100*time.Millisecond, func() (time.Time, bool) {
		calls++
		return time.Time{}, false
	})
	_, err = conn.Do(Request{Method: "GET", Target: "/", Host: "x"}, time.Now().Add(3*time.Second), nil)
	assert.ErrorIs(t, err, ErrNoResponse)
	assert.Equal(t, calls, 1)
}
