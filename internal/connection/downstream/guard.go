package downstream

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"mustarddoor/internal/connection/intake"
)

// ErrShed means that the connection was closed because what callers may take of the
// process was used up.
var ErrShed = eris.New("the connection was closed for want of room")

// Guard keeps what callers take of a process within its limits. It is safe for concurrent
// use.
type Guard struct {
	limits intake.Limits
	// shed counts the connections closed for a resource, refused what was refused for it.
	shed, refused map[intake.Resource]metrics.Counter

	mu    sync.Mutex
	conns map[*Conn]bool
	// heads and bodies are the bytes of memory in use, ending those of the bodies whose
	// connections were closed for others. They are in use until released.
	heads, bodies, ending int
	// changed is signaled when a connection was closed or its memory released.
	changed sync.Cond
}

// NewGuard returns a guard that counts in a registry.
func NewGuard(limits intake.Limits, registry metrics.Registry) *Guard {
	g := &Guard{
		limits: limits, conns: map[*Conn]bool{},
		shed: map[intake.Resource]metrics.Counter{}, refused: map[intake.Resource]metrics.Counter{},
	}
	g.changed.L = &g.mu
	for _, r := range []intake.Resource{intake.ResourceConnection, intake.ResourceHeadMemory, intake.ResourceBodyMemory} {
		g.shed[r] = metrics.GetOrRegisterCounter("intake.shed_for_"+r.String(), registry)
		g.refused[r] = metrics.GetOrRegisterCounter("intake.refused_for_"+r.String(), registry)
	}
	registry.GetOrRegister("intake.head_bytes", metrics.NewFunctionalGauge(func() int64 { return int64(g.inUse(&g.heads)) }))
	registry.GetOrRegister("intake.body_bytes", metrics.NewFunctionalGauge(func() int64 { return int64(g.inUse(&g.bodies)) }))
	return g
}

func (g *Guard) inUse(total *int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *total
}

// Turned returns how many connections were closed and how many connections and requests
// were refused so far.
func (g *Guard) Turned() (shed, refused int64) {
	for _, counter := range g.shed {
		shed += counter.Count()
	}
	for _, counter := range g.refused {
		refused += counter.Count()
	}
	return shed, refused
}

// ReserveBody reserves memory for a request's body and reports whether that is available.
// It waits for what is about to be released. The connection is nil if it is unknown.
func (g *Guard) ReserveBody(c *Conn, size int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := 0
	if c != nil {
		held = c.holder.Body
	}
	limit := g.limits.BodyMemoryFor(held + size)
	for c == nil || !c.isShed {
		switch {
		case g.bodies+size <= limit:
			g.bodies += size
			if c != nil {
				c.holder.Body += size
			}
			return true
		case g.bodies-g.ending+size <= limit:
			g.changed.Wait()
		case !g.shedOne(c, intake.ResourceBodyMemory, held, size):
			g.refused[intake.ResourceBodyMemory].Inc(1)
			return false
		}
	}
	return false
}

// ReleaseBody returns memory for a request's body.
func (g *Guard) ReleaseBody(c *Conn, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies -= size
	if c != nil {
		c.holder.Body -= size
		if c.isShed {
			g.ending -= size
		}
	}
	g.changed.Broadcast()
}

// read records what has arrived and reports whether the connection may stay.
func (g *Guard) read(c *Conn, data []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.isShed {
		return false
	}
	switch phase := c.holder.Phase; {
	case len(data) == 0:
		return true
	case phase == intake.PhaseNew || phase == intake.PhaseKept:
		c.holder.Phase, c.holder.Since = intake.PhaseHead, time.Now()
		c.headBytes, c.headLines = 0, 0
		return g.growHead(c, data)
	case phase == intake.PhaseHead:
		return g.growHead(c, data)
	case phase == intake.PhaseBody:
		if c.bodyProgress += len(data); c.bodyProgress >= intake.MinProgress {
			c.bodyProgress, c.holder.Since = 0, time.Now()
		}
	case phase == intake.PhaseServing && !c.hasWritten.Load():
		c.isPipelining = true
	}
	return true
}

// growHead reserves memory for what has arrived of a head and reports whether that is
// available.
func (g *Guard) growHead(c *Conn, data []byte) bool {
	c.headBytes += len(data)
	c.headLines += bytes.Count(data, []byte{'\n'})
	more := intake.HeadMemory(c.headBytes, c.headLines) - c.holder.Head
	for g.heads+more > g.limits.HeadMemory {
		if !g.shedOne(c, intake.ResourceHeadMemory, c.holder.Head, more) {
			g.refused[intake.ResourceHeadMemory].Inc(1)
			return false
		}
	}
	g.heads += more
	c.holder.Head += more
	return true
}

// shedOne closes the connection that goes first so that c gets more of a resource, and
// reports whether there is one.
func (g *Guard) shedOne(c *Conn, r intake.Resource, held, more int) bool {
	now := time.Now()
	for {
		var first *Conn
		for other := range g.conns {
			isCandidate := other != c && (r != intake.ResourceConnection || other.port == c.port) && intake.CanShed(other.holder, r, held, more, now)
			if isCandidate && (first == nil || intake.ShedsBefore(other.holder, first.holder, r, now)) {
				first = other
			}
		}
		if first == nil {
			return false
		}
		if !first.checkedAt.Equal(now) && first.holder.Phase != intake.PhaseEnding && first.hasUnread() {
			// This process is late, not the caller.
			first.holder.Since, first.checkedAt = now, now
			continue
		}
		g.shed[r].Inc(1)
		first.isShed = true
		g.ending += first.holder.Body
		g.remove(first)
		g.changed.Broadcast()
		// The server ends the connection when it finds it closed.
		_ = first.TCPConn.Close()
		return true
	}
}

// admit adds a connection and reports whether its port has room for it.
func (g *Guard) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.port.count >= c.port.max && !g.shedOne(c, intake.ResourceConnection, 0, 0) {
		g.refused[intake.ResourceConnection].Inc(1)
		return false
	}
	c.holder = intake.Holder{Phase: intake.PhaseNew, Since: time.Now()}
	c.port.count++
	g.conns[c] = true
	return true
}

// remove drops a connection. The memory of its body is in use until it is released.
func (g *Guard) remove(c *Conn) {
	if !g.conns[c] {
		return
	}
	delete(g.conns, c)
	c.port.count--
	g.heads -= c.holder.Head
	c.holder.Head = 0
}

// setPhase records what a connection is doing and reports whether it is still open here.
func (c *Conn) setPhase(phase intake.Phase) bool {
	if c.port == nil {
		return true
	}
	g := c.port.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.holder.Phase, c.holder.Since, c.bodyProgress = phase, time.Now(), 0
	c.hasWritten.Store(false)
	if phase == intake.PhaseKept {
		g.heads -= c.holder.Head
		c.holder.Head = 0
	}
	return !c.isShed
}

// BeginBody records that the body of a request is being received.
func (c *Conn) BeginBody() { c.setPhase(intake.PhaseBody) }

// EndBody records that a request has arrived, and reports whether its connection is still
// open here.
func (c *Conn) EndBody() bool { return c.setPhase(intake.PhaseServing) }

// IsPipelining reports whether the caller has sent a request before the response to the last
// one began.
func (c *Conn) IsPipelining() bool {
	if c.port == nil {
		return false
	}
	c.port.guard.mu.Lock()
	defer c.port.guard.mu.Unlock()
	return c.isPipelining
}

// EndRequest records that a request is refused before its body has arrived.
func (c *Conn) EndRequest() { c.setPhase(intake.PhaseEnding) }

// OnState records the state that a server reports of a connection.
func OnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(intake.PhaseServing)
	case http.StateIdle:
		c.setPhase(intake.PhaseKept)
	}
}

// CloseWrite ends what is sent to the caller. The server does so before it closes the
// connection.
func (c *Conn) CloseWrite() error {
	c.setPhase(intake.PhaseEnding)
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.port != nil {
		g := c.port.guard
		g.mu.Lock()
		g.remove(c)
		g.mu.Unlock()
	}
	return c.TCPConn.Close()
}

// hasUnread reports whether bytes have arrived that were not read.
func (c *Conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	if err := raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return false
	}
	return unread > 0
}
