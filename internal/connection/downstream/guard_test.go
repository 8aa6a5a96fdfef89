package downstream_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
)

// guarded serves connections through a guard.
type guarded struct {
	t        *testing.T
	guard    *downstream.Guard
	listener *downstream.Listener
	registry metrics.Registry
}

func newGuarded(t *testing.T, connections int, limits intake.Limits) *guarded {
	t.Helper()
	listener, err := downstream.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	registry := metrics.NewRegistry()
	g := &guarded{t: t, guard: downstream.NewGuard(limits, registry), listener: listener, registry: registry}
	listener.Limit(g.guard, connections)
	return g
}

// connect returns both ends of a new connection.
func (g *guarded) connect() (caller net.Conn, conn *downstream.Conn) {
	g.t.Helper()
	caller, err := net.Dial("tcp4", g.listener.Addr().String())
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = caller.Close() })
	accepted, err := g.listener.Accept()
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted.(*downstream.Conn)
}

func (g *guarded) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.registry).Count()
}

// A request that arrives as its connection is closed for another one is not sent to an
// endpoint: its caller could not get the response.
func TestShedConnection(t *testing.T) {
	g := newGuarded(t, 2, intake.Limits{})
	_, silent := g.connect()
	_, served := g.connect()
	downstream.OnState(served, http.StateActive)
	time.Sleep(300 * time.Millisecond)
	_, next := g.connect()
	_, err := silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, downstream.ErrShed)
	assert.Assert(t, !silent.EndBody())
	assert.Assert(t, served.EndBody())
	assert.Equal(t, g.count("intake.shed_for_connections"), int64(1))

	// No connection may be closed now: the next caller is refused, and the one after a
	// connection has ended is accepted.
	downstream.OnState(next, http.StateActive)
	refused, err := net.Dial("tcp4", g.listener.Addr().String())
	assert.NilError(t, err)
	defer refused.Close()
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := g.listener.Accept()
		accepted <- conn
	}()
	_, err = refused.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, next.Close())
	last, err := net.Dial("tcp4", g.listener.Addr().String())
	assert.NilError(t, err)
	defer last.Close()
	assert.NilError(t, (<-accepted).Close())
}

// A connection that waited only because this process was late is not taken for silent.
func TestUnreadRequestIsKept(t *testing.T) {
	g := newGuarded(t, 1, intake.Limits{})
	caller, conn := g.connect()
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	go func() { _, _ = g.listener.Accept() }()
	second, err := net.Dial("tcp4", g.listener.Addr().String())
	assert.NilError(t, err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = conn.Read(make([]byte, 3))
	assert.NilError(t, err)
}

// Memory is returned once, whether the connection is closed for another one or ends.
func TestBodyMemory(t *testing.T) {
	g := newGuarded(t, 10, intake.Limits{BodyMemory: 1000})
	_, large := g.connect()
	_, small := g.connect()
	_, ended := g.connect()
	for _, conn := range []*downstream.Conn{large, small, ended} {
		conn.BeginBody()
	}
	assert.Assert(t, g.guard.ReserveBody(ended, 100))
	assert.NilError(t, ended.Close())
	g.guard.ReleaseBody(ended, 100)
	assert.Assert(t, g.guard.ReserveBody(large, 900))
	reserved := make(chan bool)
	go func() { reserved <- g.guard.ReserveBody(small, 200) }()
	_, err := large.Read(make([]byte, 1))
	assert.ErrorIs(t, err, downstream.ErrShed, "the larger one gives way")
	assert.Assert(t, !g.guard.ReserveBody(large, 10))
	select {
	case <-reserved:
		t.Fatal("memory was given away that is still in use")
	case <-time.After(20 * time.Millisecond):
	}
	g.guard.ReleaseBody(large, 900)
	assert.Assert(t, <-reserved)
	assert.Assert(t, g.guard.ReserveBody(nil, 800))
	assert.Assert(t, small.EndBody())
	assert.Assert(t, !g.guard.ReserveBody(nil, 1), "a body that has arrived stays")
	g.guard.ReleaseBody(nil, 800)
	g.guard.ReleaseBody(small, 200)
	assert.Assert(t, g.guard.ReserveBody(nil, 1000))
	assert.Equal(t, g.count("intake.shed_for_body_memory"), int64(1))
	assert.Equal(t, g.count("intake.refused_for_body_memory"), int64(1))
}

// A caller that sends its next request after the response is not taken for one that sends
// without a pause, even if the server has not noted the end of the response yet.
func TestPipelining(t *testing.T) {
	for name, responds := range map[string]bool{"before the response": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			g := newGuarded(t, 1, intake.Limits{})
			caller, conn := g.connect()
			downstream.OnState(conn, http.StateActive)
			if responds {
				_, err := conn.Write([]byte("response"))
				assert.NilError(t, err)
			}
			_, err := caller.Write([]byte("G"))
			assert.NilError(t, err)
			_, err = conn.Read(make([]byte, 1))
			assert.NilError(t, err)
			assert.Equal(t, conn.IsPipelining(), !responds)
		})
	}
}

// A head takes memory until its connection serves no request, and what is too much for the
// total ends its connection.
func TestHeadMemory(t *testing.T) {
	const total = 16 << 10
	g := newGuarded(t, 2, intake.Limits{HeadMemory: total})
	caller, conn := g.connect()
	read := func() error {
		buffer := make([]byte, 8<<10)
		_, err := caller.Write(buffer)
		assert.NilError(t, err)
		_, err = io.ReadFull(conn, buffer)
		return err
	}
	assert.NilError(t, read())
	downstream.OnState(conn, http.StateActive)
	assert.NilError(t, read())
	downstream.OnState(conn, http.StateIdle)
	for range 3 {
		if err := read(); err != nil {
			assert.ErrorIs(t, err, downstream.ErrShed)
			break
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.count("intake.refused_for_head_memory") == 1 {
			return poll.Success()
		}
		return poll.Continue("not refused")
	})
}
