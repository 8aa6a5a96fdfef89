package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mustarddoor/internal/process/pause"
)

// callerConnections watches the callers' callerConnections: it closes those that are idle
// for longer than the configuration in force allows, which may change while
// they are open.
type callerConnections struct {
	gateway *Gateway

	mu sync.Mutex
	// idleSince holds the idle connections; active counts the others.
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]bool
}

func newCallerConnections(g *Gateway) *callerConnections {
	return &callerConnections{gateway: g, idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// onStateChange follows the states of connections.
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

// activeCount is the number of connections with a request under way.
func (c *callerConnections) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

const (
	// idleCheckInterval is the pause between looks for idle connections.
	idleCheckInterval = 500 * time.Millisecond
	// idleGrace is how much longer than allowed a connection stays open, so
	// that a caller's last request does not cross the close.
	idleGrace = time.Second
)

// closeIdle closes idle connections until the context ends.
func (c *callerConnections) closeIdle(ctx context.Context) error {
	for pause.For(ctx, idleCheckInterval) {
		limit := defaultIdleTimeout
		if table := c.gateway.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
			limit = table.Limits.IdleTimeout
		}
		for _, conn := range c.idleLongerThan(limit + idleGrace) {
			// Makes the server's pending read fail, unless a request has come.
			if err := conn.SetReadDeadline(time.Now()); err != nil {
				// The connection is closed already.
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
