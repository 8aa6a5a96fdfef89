// Package downstream provides callers' connections that record their first error and their
// last write.
package downstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Listener accepts connections as *Conn.
type Listener struct{ *net.TCPListener }

// Listen listens on an address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Listener{listener.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: conn}, nil
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn

	mu          sync.Mutex
	failure     error
	lastWriteAt time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.recordFailure(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
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
