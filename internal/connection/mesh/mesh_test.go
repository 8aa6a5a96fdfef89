package mesh_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

const (
	kindEcho  mesh.Kind = "test.echo"
	kindFail  mesh.Kind = "test.fail"
	kindBlock mesh.Kind = "test.block"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// peer is one host of a test with its listener.
type peer struct {
	server  *mesh.Server
	client  *mesh.Client
	cuts    *mesh.CutGate
	clock   *hlc.Clock
	metrics metrics.Registry
	http    *httptest.Server
	address string
	entered chan struct{}
	release chan struct{}
}

func startPeer(t testing.TB, name string, configure func(*mesh.Options)) *peer {
	p := &peer{
		cuts:    &mesh.CutGate{},
		clock:   hlc.NewClock(time.Now),
		metrics: metrics.NewRegistry(),
		entered: make(chan struct{}, 100),
		release: make(chan struct{}),
	}
	p.http = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.server.ServeHTTP(w, r)
	}))
	p.address = p.http.Listener.Addr().String()
	options := mesh.Options{
		Self: identity.Host{
			Incarnation: identity.Incarnation{Host: name, Number: 1},
			MeshAddress: p.address,
		},
		Clock:   p.clock,
		Metrics: p.metrics,
		Gate:    p.cuts,
	}
	if configure != nil {
		configure(&options)
	}
	p.server = mesh.NewServer(options)
	p.client = mesh.NewClient(options)
	p.handle(t)
	p.http.Start()
	t.Cleanup(func() {
		p.client.Close()
		p.server.Close()
		p.http.Close()
	})
	return p
}

// handle registers the handlers of the test messages.
func (p *peer) handle(t testing.TB) {
	p.server.Handle(kindEcho, func(_ context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error) {
		var request echo
		err := cbor.Unmarshal(body, &request)
		return echo{Text: from.Host + ":" + request.Text}, err
	})
	p.server.Handle(kindFail, func(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) {
		return nil, eris.New("no such thing")
	})
	p.server.Handle(kindBlock, func(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) {
		p.entered <- struct{}{}
		select {
		case <-p.release:
		case <-t.Context().Done():
		}
		return echo{}, nil
	})
}

func (p *peer) count(name string) int64 {
	return metrics.GetOrRegisterCounter("mesh."+name, p.metrics).Count()
}

func TestCallsAreMultiplexed(t *testing.T) {
	a, b := startPeer(t, "a", nil), startPeer(t, "b", nil)
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			var reply echo
			err := a.client.Call(t.Context(), b.address, kindEcho, echo{Text: "hi"}, &reply)
			assert.Check(t, err)
			assert.Check(t, reply.Text == "a:hi")
		})
	}
	group.Wait()
	assert.Equal(t, a.count("links"), int64(1))
	assert.Equal(t, a.count("calls"), int64(200))
}

func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	a, b := startPeer(t, "a", nil), startPeer(t, "b", nil)
	slow := make(chan error, 1)
	go func() { slow <- a.client.Call(t.Context(), b.address, kindBlock, echo{}, nil) }()
	<-b.entered
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, &echo{}))
	close(b.release)
	assert.NilError(t, <-slow)
}

func TestCallErrors(t *testing.T) {
	small := func(o *mesh.Options) { o.MaxMessageBytes = 100 }
	short := func(o *mesh.Options) {
		o.CallTimeout = 300 * time.Millisecond
		o.DialTimeout = 300 * time.Millisecond
	}
	cases := []struct {
		name      string
		configure func(*mesh.Options)
		disrupt   func(a, b *peer)
		kind      mesh.Kind
		text      string
		want      error
	}{
		{name: "handler fails", kind: kindFail, want: mesh.ErrRejected},
		{name: "unknown kind", kind: "test.unknown", want: mesh.ErrRejected},
		{name: "request too large", configure: small, kind: kindEcho, text: strings.Repeat("x", 200), want: mesh.ErrUnreachable},
		{name: "response too large", configure: small, kind: kindEcho, text: strings.Repeat("x", 96), want: mesh.ErrRejected},
		{name: "no listener", disrupt: func(_, b *peer) { b.http.Close() }, kind: kindEcho, want: mesh.ErrUnreachable},
		{name: "no answer in time", configure: short, kind: kindBlock, want: mesh.ErrNoReply},
		{
			name: "cut before the connection opens", configure: short, kind: kindEcho, want: mesh.ErrUnreachable,
			disrupt: func(a, b *peer) { a.cuts.Set(mesh.Cut{Peer: b.address, Direction: mesh.FromPeer}, true) },
		},
		{
			name: "peer has cut this host off", configure: short, kind: kindEcho, want: mesh.ErrUnreachable,
			disrupt: func(a, b *peer) { b.cuts.Set(mesh.Cut{Peer: a.address, Direction: mesh.ToPeer}, true) },
		},
		{
			name: "request cut on an open connection", configure: short, kind: kindEcho, want: mesh.ErrNoReply,
			disrupt: func(a, b *peer) {
				_ = a.client.Call(context.Background(), b.address, kindEcho, echo{}, nil)
				b.cuts.Set(mesh.Cut{Peer: a.address, Direction: mesh.FromPeer}, true)
			},
		},
		{
			name: "reply cut on an open connection", configure: short, kind: kindEcho, want: mesh.ErrNoReply,
			disrupt: func(a, b *peer) {
				_ = a.client.Call(context.Background(), b.address, kindEcho, echo{}, nil)
				a.cuts.Set(mesh.Cut{Peer: b.address, Direction: mesh.FromPeer}, true)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := startPeer(t, "a", c.configure), startPeer(t, "b", c.configure)
			if c.disrupt != nil {
				c.disrupt(a, b)
			}
			err := a.client.Call(t.Context(), b.address, c.kind, echo{Text: c.text}, &echo{})
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func TestConnectionLostWhileWaiting(t *testing.T) {
	a, b := startPeer(t, "a", nil), startPeer(t, "b", nil)
	outcome := make(chan error, 1)
	go func() { outcome <- a.client.Call(t.Context(), b.address, kindBlock, echo{}, nil) }()
	<-b.entered
	b.server.Close()
	assert.ErrorIs(t, <-outcome, mesh.ErrNoReply)
}

func TestTooManyCallsInFlight(t *testing.T) {
	one := func(o *mesh.Options) { o.MaxInFlight = 1 }
	a, b := startPeer(t, "a", one), startPeer(t, "b", nil)
	first := make(chan error, 1)
	go func() { first <- a.client.Call(t.Context(), b.address, kindBlock, echo{}, nil) }()
	<-b.entered
	assert.ErrorIs(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil), mesh.ErrUnreachable)
	close(b.release)
	assert.NilError(t, <-first)
}

func TestServerBusy(t *testing.T) {
	one := func(o *mesh.Options) { o.MaxInFlight = 1 }
	a, b := startPeer(t, "a", nil), startPeer(t, "b", one)
	first := make(chan error, 1)
	go func() { first <- a.client.Call(t.Context(), b.address, kindBlock, echo{}, nil) }()
	<-b.entered
	assert.ErrorIs(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil), mesh.ErrRejected)
	close(b.release)
	assert.NilError(t, <-first)
}

func TestCutRemoved(t *testing.T) {
	short := func(o *mesh.Options) { o.CallTimeout = 200 * time.Millisecond }
	a, b := startPeer(t, "a", short), startPeer(t, "b", nil)
	cut := mesh.Cut{Peer: a.address, Direction: mesh.FromPeer}
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil))
	b.cuts.Set(cut, true)
	assert.ErrorIs(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil), mesh.ErrNoReply)
	b.cuts.Set(cut, false)
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil))
}

// firstDialGate drops frames only on its first query, which comes from the
// first dial.
type firstDialGate struct {
	once  sync.Once
	asked chan struct{}
}

func (g *firstDialGate) Passes(string, mesh.Direction) bool {
	passes := true
	g.once.Do(func() {
		passes = false
		close(g.asked)
	})
	return passes
}

// TestCallDuringFailingDial checks that a call that waits for a dial in
// progress does not fail when that dial fails.
func TestCallDuringFailingDial(t *testing.T) {
	gate := &firstDialGate{asked: make(chan struct{})}
	a := startPeer(t, "a", func(o *mesh.Options) { o.Gate = gate })
	b := startPeer(t, "b", nil)
	first := make(chan error, 1)
	go func() { first <- a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil) }()
	<-gate.asked
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil))
	assert.ErrorIs(t, <-first, mesh.ErrUnreachable)
}

func TestIdleConnectionsClose(t *testing.T) {
	idle := func(o *mesh.Options) { o.IdleTimeout = time.Millisecond }
	a, b := startPeer(t, "a", idle), startPeer(t, "b", nil)
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.count("links") == 0 && b.count("sessions") == 0 {
			return poll.Success()
		}
		return poll.Continue("still connected")
	})
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil))
}

func TestClockStampPropagation(t *testing.T) {
	ahead := hlc.At(time.Now().Add(10 * time.Second))
	a, b := startPeer(t, "a", nil), startPeer(t, "b", nil)
	a.clock.Observe(ahead)
	assert.NilError(t, a.client.Call(t.Context(), b.address, kindEcho, echo{}, nil))
	assert.Assert(t, b.clock.Now() > ahead)
}

// TestUnknownProtocol checks that the server closes a connection whose hello
// has an incompatible, higher protocol version.
func TestUnknownProtocol(t *testing.T) {
	b := startPeer(t, "b", nil)
	conn, _, err := websocket.Dial(t.Context(), "ws://"+b.address+mesh.Path, nil)
	assert.NilError(t, err)
	defer conn.CloseNow()
	body, err := cbor.Marshal(map[int]any{1: 99, 2: 98, 3: map[int]any{1: "x"}})
	assert.NilError(t, err)
	greeting, err := cbor.Marshal(map[int]any{1: 1, 3: 1, 5: cbor.RawMessage(body)})
	assert.NilError(t, err)
	assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, greeting))
	_, _, err = conn.Read(t.Context())
	assert.Assert(t, err != nil)
}

func TestSecondHandlerPanics(t *testing.T) {
	b := startPeer(t, "b", nil)
	defer func() { assert.Assert(t, recover() != nil) }()
	b.server.Handle(kindEcho, func(context.Context, identity.Incarnation, cbor.RawMessage) (any, error) { return nil, nil })
}

func TestCutGateHTTP(t *testing.T) {
	cuts := &mesh.CutGate{}
	cases := []struct {
		body string
		code int
	}{
		{`{"peer":"127.0.0.1:1","direction":"to","broken":true}`, http.StatusNoContent},
		{`{"peer":"127.0.0.1:1","direction":"sideways","broken":true}`, http.StatusBadRequest},
		{`{`, http.StatusBadRequest},
	}
	for _, c := range cases {
		recorder := httptest.NewRecorder()
		cuts.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(c.body)))
		assert.Equal(t, recorder.Code, c.code, c.body)
	}
	assert.Assert(t, !cuts.Passes("127.0.0.1:1", mesh.ToPeer))
	assert.Assert(t, cuts.Passes("127.0.0.1:1", mesh.FromPeer))
}
