package member_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/member"
	"mustarddoor/internal/process/timeline"
)

// testHost is a driver that runs on loopback.
type testHost struct {
	driver *member.Driver
	ring   *timeline.Ring
	cuts   *mesh.CutGate
	stop   context.CancelFunc
	ended  chan error
	self   identity.Host
}

// freeAddress returns a loopback address whose UDP port was free just now.
func freeAddress(t testing.TB) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer conn.Close()
	return conn.LocalAddr().String()
}

func startTestHost(t testing.TB, name string, number uint64, at string, seeds ...string) *testHost {
	h := &testHost{cuts: &mesh.CutGate{}, ended: make(chan error, 1)}
	h.self = identity.Host{
		Incarnation: identity.Incarnation{Host: name, Number: number}, MeshAddress: at, Address: at,
	}
	clock := hlc.NewClock(time.Now)
	h.ring = timeline.NewRing(h.self.Incarnation, clock, 0)
	var err error
	h.driver, err = member.NewDriver(member.Options{
		Self: h.self, Seeds: seeds, Clock: clock, Recorder: h.ring, Metrics: metrics.NewRegistry(), Gate: h.cuts,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	go func() { h.ended <- h.driver.Run(ctx) }()
	return h
}

// waitForState waits until the host sees a host name in the given state.
func (h *testHost) waitForState(t testing.TB, name string, state member.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m, known := h.driver.View().ByName(name); known && m.State == state {
			return poll.Success()
		}
		return poll.Continue("%s does not see %s %s: %v", h.self.Host, name, state, h.driver.View().Members())
	}, poll.WithTimeout(15*time.Second))
}

func (h *testHost) recorded(kind timeline.Kind, peer string) bool {
	for _, event := range h.ring.Page(timeline.Filter{}, 0, timeline.DefaultCapacity).Events {
		if event.Kind == kind && event.Peer.Host == peer {
			return true
		}
	}
	return false
}

func TestDriversOverLoopback(t *testing.T) {
	a := startTestHost(t, "a", 1, freeAddress(t))
	b := startTestHost(t, "b", 1, freeAddress(t), a.self.MeshAddress)
	c := startTestHost(t, "c", 1, freeAddress(t), a.self.MeshAddress)
	for _, h := range []*testHost{a, b, c} {
		for _, name := range []string{"a", "b", "c"} {
			h.waitForState(t, name, member.StateAlive)
		}
	}
	assert.Equal(t, len(a.driver.View().Peers()), 2)
	assert.Equal(t, len(a.driver.View().Usable()), 3)

	b.driver.AnnounceLeaving()
	b.driver.AnnounceLeft(t.Context())
	b.stop()
	assert.NilError(t, <-b.ended)
	a.waitForState(t, "b", member.StateLeft)

	c.stop()
	assert.NilError(t, <-c.ended)
	failing := member.NewProbingCaller(failingCaller{}, a.driver)
	assert.ErrorIs(t, failing.Call(t.Context(), c.self.MeshAddress, "x.y", nil, nil), mesh.ErrUnreachable)
	a.waitForState(t, "c", member.StateDead)
	for _, want := range []timeline.Kind{timeline.MemberJoined, timeline.MemberSuspected, timeline.MemberDead} {
		assert.Assert(t, a.recorded(want, "c"), want)
	}
	assert.Assert(t, a.recorded(timeline.MemberLeft, "b"))
	assert.Assert(t, !a.recorded(timeline.MemberSuspected, "b"))
}

type failingCaller struct{}

func (failingCaller) Call(context.Context, string, mesh.Kind, any, any) error {
	return eris.Wrap(mesh.ErrUnreachable, "down")
}

func TestDriverEndsWhenSuperseded(t *testing.T) {
	a := startTestHost(t, "a", 1, freeAddress(t))
	newer := startTestHost(t, "b", 2, freeAddress(t), a.self.MeshAddress)
	a.waitForState(t, "b", member.StateAlive)
	older := startTestHost(t, "b", 1, freeAddress(t), a.self.MeshAddress)
	assert.ErrorIs(t, <-older.ended, member.ErrSuperseded)
	newer.waitForState(t, "a", member.StateAlive)
}

func TestCutHostsOverLoopback(t *testing.T) {
	a := startTestHost(t, "a", 1, freeAddress(t))
	b := startTestHost(t, "b", 1, freeAddress(t), a.self.MeshAddress)
	a.waitForState(t, "b", member.StateAlive)
	b.waitForState(t, "a", member.StateAlive)
	cut := mesh.Cut{Peer: b.self.MeshAddress, Direction: mesh.ToPeer}
	a.cuts.Set(cut, true)
	a.cuts.Set(mesh.Cut{Peer: b.self.MeshAddress, Direction: mesh.FromPeer}, true)
	a.waitForState(t, "b", member.StateSuspect)
	a.cuts.Set(cut, false)
	a.cuts.Set(mesh.Cut{Peer: b.self.MeshAddress, Direction: mesh.FromPeer}, false)
	a.waitForState(t, "b", member.StateAlive)
	b.waitForState(t, "a", member.StateAlive)
}

func FuzzDecode(f *testing.F) {
	seed, err := member.Message{
		Type: member.TypePing, From: identity.Incarnation{Host: "a", Number: 1}, Nonce: 7,
		Records: []member.Record{{Host: identity.Host{Incarnation: identity.Incarnation{Host: "b"}, MeshAddress: "x"}, State: member.StateAlive}},
	}.Encode()
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := member.Decode(datagram)
		if err != nil {
			assert.ErrorIs(t, err, member.ErrMalformedMessage)
			return
		}
		w := newNetwork(1)
		w.startHosts(2, nil)
		w.run(2 * time.Second)
		n := w.nodes[address(0)]
		w.apply(n, n.core.Receive(w.now, address(1), message))
		w.run(10 * time.Second)
	})
}
