package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mustarddoor/internal/process/pause"
)

// connections watches the callers' connections: it closes those that are idle
// for longer than the configuration in force allows, which may change while
// they are open.
type connections struct {
	gateway *Gateway

	mu sync.Mutex
	// idleSince holds the idle connections; active counts the others.
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]bool
}

func newConnections(g *Gateway) *connections {
	return &connections{gateway: g, idleSince: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// changed follows the states of connections.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
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

// busy is the number of connections with a request under way.
func (c *connections) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

const (
	// sweepEvery is the pause between looks for idle connections.
	sweepEvery = 500 * time.Millisecond
	// idleSlack is how much longer than allowed a connection stays open, so
	// that a caller's last request does not cross the close.
	idleSlack = time.Second
)

// sweep closes idle connections until the context ends.
func (c *connections) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepEvery) {
		limit := idleTimeout
		if table := c.gateway.table.Load(); table != nil && table.Limits.IdleTimeout > 0 {
			limit = table.Limits.IdleTimeout
		}
		for _, conn := range c.idleLonger(limit + idleSlack) {
			// Makes the server's pending read fail, unless a request has come.
			if err := conn.SetReadDeadline(time.Now()); err != nil {
				// The connection is closed already.
				continue
			}
		}
	}
	return nil
}

func (c *connections) idleLonger(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []net.Conn
	for conn, since := range c.idleSince {
		if time.Since(since) > limit {
			old = append(old, conn)
		}
	}
	return old
}
