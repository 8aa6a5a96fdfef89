package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlineConn is a connection that records its last read deadline.
type deadlineConn struct {
	net.Conn
	// beforeSet is called once, before a deadline takes effect.
	beforeSet func()

	mu           sync.Mutex
	readDeadline time.Time
}

func (c *deadlineConn) SetReadDeadline(deadline time.Time) error {
	if before := c.beforeSet; before != nil && !deadline.IsZero() {
		c.beforeSet = nil
		before()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	return nil
}

// A request that arrived as its idle connection expired kept the read deadline that was to
// close the connection: the host took the caller for gone and ended the request without
// an answer. A lower idle limit of a new configuration expires many connections at once.
func TestRequestArrivesAsConnectionExpires(t *testing.T) {
	c := newConnections(nil)
	var active sync.WaitGroup
	conn := &deadlineConn{}
	conn.beforeSet = func() {
		active.Go(func() { c.onStateChange(conn, http.StateActive) })
		// Leaves the state change time to get ahead, which it does unless it must wait.
		time.Sleep(50 * time.Millisecond)
	}
	c.onStateChange(conn, http.StateIdle)
	c.expire(-time.Second)
	active.Wait()
	assert.Assert(t, conn.readDeadline.IsZero())
	assert.Equal(t, c.activeCount(), 1)
	c.onStateChange(conn, http.StateIdle)
	c.expire(time.Minute)
	assert.Assert(t, conn.readDeadline.IsZero())
	c.onStateChange(conn, http.StateClosed)
	assert.Equal(t, c.openCount(), 0)
	assert.Equal(t, len(c.expired), 0)
}

// heldListener accepts connections whose first read after each idleNow waits: it sends to
// waiting and receives from resume.
type heldListener struct {
	net.Listener
	waiting, resume chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
	idleNow  atomic.Bool
}

func (c *heldConn) Read(buffer []byte) (int, error) {
	if c.idleNow.Swap(false) {
		c.listener.waiting <- struct{}{}
		<-c.listener.resume
	}
	return c.TCPConn.Read(buffer)
}

// A host that had stood still closed idle connections as expired while callers' requests
// lay unread in their sockets: those callers got neither an answer nor a refusal.
func TestRequestWaitsUnreadAsConnectionExpires(t *testing.T) {
	c := newConnections(nil)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	// The server sets its own read deadline between the state change and the read, so
	// the read is what to wait for.
	held := &heldListener{Listener: listener, waiting: make(chan struct{}, 1), resume: make(chan struct{}, 1)}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			c.onStateChange(conn, state)
			conn.(*heldConn).idleNow.Store(state == http.StateIdle)
		},
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(held) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	caller, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, caller.Close()) })
	assert.NilError(t, caller.SetDeadline(time.Now().Add(30*time.Second))) // fails instead of hanging
	reader := bufio.NewReader(caller)
	ask := func() {
		_, err := caller.Write([]byte("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"))
		assert.NilError(t, err)
	}
	readResponse := func() {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNoContent)
	}
	ask()
	readResponse()
	<-held.waiting

	ask()
	time.Sleep(20 * time.Millisecond) // loopback has delivered it by then
	c.expire(-time.Second)
	held.resume <- struct{}{}
	readResponse()

	<-held.waiting
	c.expire(-time.Second)
	held.resume <- struct{}{}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "nothing has arrived")
}
