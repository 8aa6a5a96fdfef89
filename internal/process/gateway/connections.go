package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/process/pause"
)

// connections tracks the connections of a server, of callers or other hosts.
type connections struct {
	gateway *Gateway

	mu sync.Mutex
	// fresh holds the connections whose first request has not been read.
	fresh map[net.Conn]bool
	// idleSince holds the idle connections, active the ones serving a request.
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]bool
	// expired holds the idle connections whose pending read was made to fail.
	expired map[net.Conn]bool
}

func newConnections(g *Gateway) *connections {
	return &connections{gateway: g, fresh: map[net.Conn]bool{}, idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}, expired: map[net.Conn]bool{}}
}

// onStateChange records a connection's new state.
func (c *connections) onStateChange(conn net.Conn, state http.ConnState) {
	downstream.OnState(conn, state)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idleSince, conn)
	delete(c.active, conn)
	if c.expired[conn] {
		delete(c.expired, conn)
		if state == http.StateActive {
			// The request arrived first. With the deadline in force, the server would
			// take its caller for gone. If it cannot be reset, the connection is closed.
			_ = conn.SetReadDeadline(time.Time{})
		}
	}
	switch state {
	case http.StateNew:
		c.fresh[conn] = true
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	}
}

// openCount returns the number of open connections.
func (c *connections) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) + len(c.idleSince)
}

// activeCount returns the number of connections serving a request.
func (c *connections) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// hasUnread reports whether a request has arrived on a connection that serves none.
func (c *connections) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.fresh {
		if hasUnread(conn) {
			return true
		}
	}
	for conn := range c.idleSince {
		if hasUnread(conn) {
			return true
		}
	}
	return false
}

const (
	// idleCheckInterval is the time between checks for idle connections.
	idleCheckInterval = 500 * time.Millisecond
	// idleGrace is how much longer than allowed a connection stays open, so
	// that closing it does not race with a caller's last request.
	idleGrace = time.Second
)

// closeIdle closes the callers' connections that have been idle for longer than the
// current configuration allows, until ctx is done. That limit may change while they are
// open.
func (c *connections) closeIdle(ctx context.Context) error {
	for pause.For(ctx, idleCheckInterval) {
		limit := defaultIdleTimeout
		if table := c.gateway.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
			limit = table.Limits.IdleTimeout
		}
		c.expire(limit + idleGrace)
	}
	return nil
}

// expire makes the server close the connections that have been idle for longer than the
// limit, unless a request has arrived. If this process did not run for some time, the
// server has not read it yet.
func (c *connections) expire(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if time.Since(since) <= limit || hasUnread(conn) {
			continue
		}
		// An error means that the connection is already closed.
		if err := conn.SetReadDeadline(time.Now()); err == nil {
			c.expired[conn] = true
		}
	}
}
