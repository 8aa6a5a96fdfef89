package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

const (
	// idleMargin is subtracted from the idle timeout that an endpoint
	// announces, so that no request is sent while the endpoint closes the
	// connection.
	idleMargin = 700 * time.Millisecond
	// maxIdleTime is the idle time of connections to endpoints that announce
	// no timeout or a longer one.
	maxIdleTime = 4 * time.Second
	// maxUnusedTime is how long a connection without any request stays open.
	maxUnusedTime = time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Pool holds idle connections to one endpoint address. It is safe for
// concurrent use.
type Pool struct {
	address string
	dial    DialFunc
	opened  metrics.Counter
	// countInFlight is a variable for tests.
	countInFlight func(net.Conn) int

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// NewPool returns an empty pool that opens connections with dial. It increments opened
// for each connection that it opens.
func NewPool(address string, dial DialFunc, opened metrics.Counter) *Pool {
	return &Pool{address: address, dial: dial, opened: opened, countInFlight: countInFlight}
}

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	net net.Conn
	// reader reads from limited.
	reader  *bufio.Reader
	limited *limitedReader
	pool    *Pool
	// reused is set if an earlier request has completed on the connection.
	reused bool
	// taken is set if the connection was idle in the pool.
	taken bool
	// expiresAt is when an idle connection expires.
	expiresAt time.Time
	// wait is the wait for the response in progress, or for more of it. onStall is called
	// when the endpoint is silent; nil if there is no handler.
	wait    responseWait
	onStall StallHandler
	// longestDelay is by how much this process was late at most to notice a silence.
	longestDelay time.Duration
	// stopAbort ends the link between a context and the connection, and reports whether
	// the context has not ended before; nil if there is none.
	stopAbort func() bool
	// receivedBytes counts the bytes read from the network.
	receivedBytes int64
}

// Get returns an idle connection or opens a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		conn := p.popIdle()
		if conn == nil {
			break
		}
		if time.Now().Before(conn.expiresAt) && conn.isReusable() {
			conn.taken = true
			return conn, nil
		}
		conn.Close()
	}
	return p.open(ctx)
}

// open opens a new connection.
func (p *Pool) open(ctx context.Context) (*Conn, error) {
	p.opened.Inc(1)
	opened, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, eris.Wrapf(err, "connection to %s", p.address)
	}
	conn := &Conn{net: opened, pool: p}
	conn.limited = &limitedReader{Reader: stallReader{conn}, remaining: -1}
	conn.reader = bufio.NewReaderSize(conn.limited, readBufferBytes)
	return conn, nil
}

// OpenIdle opens a new connection and keeps it for a request.
func (p *Pool) OpenIdle(ctx context.Context) error {
	conn, err := p.open(ctx)
	if err != nil {
		return err
	}
	conn.expiresAt = time.Now().Add(maxUnusedTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		return nil
	}
	p.idle = append(p.idle, conn)
	return nil
}

// IsRefusing reports whether the endpoint refuses new connections, as when its
// process has ended. An endpoint that does not answer before ctx is done is not
// refusing.
func (p *Pool) IsRefusing(ctx context.Context) bool {
	p.opened.Inc(1)
	opened, err := p.dial(ctx, "tcp", p.address)
	if err == nil {
		// Nothing was sent on the connection.
		_ = opened.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	conn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return conn
}

// isReusable reports whether the peer has neither sent unexpected data nor
// closed the connection.
func (c *Conn) isReusable() bool { return c.Arrived() == ArrivedNothing }

// release returns the connection to the pool after a complete response. A
// timeout of 0 means that the endpoint announced none.
func (c *Conn) release(timeout time.Duration) {
	c.onStall, c.wait, c.longestDelay = nil, responseWait{}, 0
	if c.stopAbort != nil && !c.stopAbort() {
		c.Close()
		return
	}
	c.stopAbort = nil
	idleTime := maxIdleTime
	if timeout > 0 {
		idleTime = min(idleTime, timeout-idleMargin)
	}
	if idleTime <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	if err := c.net.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.reused = true
	c.expiresAt = time.Now().Add(idleTime)
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// AbortOn makes the end of a context abort the exchange in progress. It has no effect on
// later ones on the connection, whose requests are others'.
func (c *Conn) AbortOn(ctx context.Context) { c.stopAbort = context.AfterFunc(ctx, c.Abort) }

// Abort resets the connection and discards unacknowledged data. After a normal
// close the kernel would keep sending it, and a canceled request could still
// run seconds later.
func (c *Conn) Abort() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Close closes a connection without a request in progress.
func (c *Conn) Close() {
	// The connection is not used again, even if closing it fails.
	_ = c.net.Close()
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	kept, expired := p.idle[:0], []*Conn(nil)
	for _, conn := range p.idle {
		if now.Before(conn.expiresAt) {
			kept = append(kept, conn)
		} else {
			expired = append(expired, conn)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// Close closes the idle connections. Connections that are released later are
// closed as well.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}
