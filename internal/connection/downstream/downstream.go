// Package downstream provides callers' connections that record their first error and their
// last write, and keeps what they take of a process within its limits.
package downstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"mustarddoor/internal/connection/intake"
)

// Listener accepts connections as *Conn.
type Listener struct {
	*net.TCPListener
	// port is nil if the connections are not limited.
	port *port
}

// port is a listener's part of a guard. Its count is guarded by the guard's lock.
type port struct {
	guard      *Guard
	max, count int
}

// Listen listens on an address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: listener.(*net.TCPListener)}, nil
}

// Limit makes the listener keep to a number of connections and to the guard's limits. It
// must be called before Accept.
func (l *Listener) Limit(guard *Guard, connections int) {
	l.port = &port{guard: guard, max: connections}
}

// Accept implements net.Listener. Connections beyond the limit are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &Conn{TCPConn: conn, port: l.port}
		if l.port == nil || l.port.guard.admit(c) {
			return c, nil
		}
		// The caller learns of it when it sends or reads.
		_ = conn.Close()
	}
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn

	port *port
	// holder is what the connection holds, isShed is set once it was closed for want of
	// room. They and the counts below are guarded by the guard's lock.
	holder intake.Holder
	isShed bool
	// headBytes and headLines count what has arrived of a head, bodyProgress the bytes of a
	// body since the last progress.
	headBytes, headLines, bodyProgress int
	// isPipelining is set once a caller has sent a request before the response to the last.
	isPipelining bool
	// checkedAt is when unread bytes were found last.
	checkedAt time.Time

	// hasWritten is set once the response to the request has begun.
	hasWritten atomic.Bool

	mu          sync.Mutex
	failure     error
	lastWriteAt time.Time
	requests    int
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if c.port != nil && !c.port.guard.read(c, buffer[:n]) {
		n, err = 0, ErrShed
		// The server ends the connection.
		_ = c.TCPConn.Close()
	}
	c.recordFailure(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.hasWritten.Store(true)
	n, err := c.TCPConn.Write(data)
	c.recordFailure(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWriteAt = time.Now()
	return n, err
}

// recordFailure records the first error. A timeout is none: the server interrupts its own
// reads by one.
func (c *Conn) recordFailure(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// CountRequest counts a request and returns the number so far.
func (c *Conn) CountRequest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.requests
}

// Failure returns the first error of the connection, or nil. The end of the caller's input
// is io.EOF.
func (c *Conn) Failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// LastWrite returns when the last write ended, or the zero time.
func (c *Conn) LastWrite() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWriteAt
}

// Unsent returns the number of bytes that the caller's host has not acknowledged, or 0 if
// that is unknown.
func (c *Conn) Unsent() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		unsent, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil || ioctlErr != nil {
		return 0
	}
	return unsent
}

type contextKey struct{}

// Context adds a connection to the context of its requests.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// FromContext returns the connection of a request, or nil if it is unknown.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}
