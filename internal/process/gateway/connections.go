package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mustarddoor/internal/process/pause"
)

// callerConnections tracks the callers' connections and closes those that have
// been idle for longer than the current configuration allows. That limit may
// change while they are open.
type callerConnections struct {
	gateway *Gateway

	mu sync.Mutex
	// idleSince holds the idle connections, active the ones serving a request.
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]bool
}

func newCallerConnections(g *Gateway) *callerConnections {
	return &callerConnections{gateway: g, idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// onStateChange records a connection's new state.
func (c *callerConnections) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idleSince, conn)
	delete(c.active, conn)
	switch state {
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	}
}

// openCount returns the number of open connections.
func (c *callerConnections) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) + len(c.idleSince)
}

// activeCount returns the number of connections serving a request.
func (c *callerConnections) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

const (
	// idleCheckInterval is the time between checks for idle connections.
	idleCheckInterval = 500 * time.Millisecond
	// idleGrace is how much longer than allowed a connection stays open, so
	// that closing it does not race with a caller's last request.
	idleGrace = time.Second
)

// closeIdle closes idle connections until ctx is done.
func (c *callerConnections) closeIdle(ctx context.Context) error {
	for pause.For(ctx, idleCheckInterval) {
		limit := defaultIdleTimeout
		if table := c.gateway.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
			limit = table.Limits.IdleTimeout
		}
		for _, conn := range c.idleLongerThan(limit + idleGrace) {
			// Fails the server's pending read unless a request has arrived.
			if err := conn.SetReadDeadline(time.Now()); err != nil {
				// The connection is already closed.
				continue
			}
		}
	}
	return nil
}

func (c *callerConnections) idleLongerThan(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []net.Conn
	for conn, since := range c.idleSince {
		if time.Since(since) > limit {
			idle = append(idle, conn)
		}
	}
	return idle
}
