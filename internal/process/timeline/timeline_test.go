package timeline_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/timeline"
)

var wallTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newRing(name string, capacity int) *timeline.Ring {
	clock := hlc.NewClock(func() time.Time { return wallTime })
	return timeline.NewRing(identity.Incarnation{Host: name, Number: 1}, clock, capacity)
}

func TestRingKeepsNewestEvents(t *testing.T) {
	ring := newRing("a", 4)
	for i := range 10 {
		ring.Record(timeline.Event{Kind: timeline.RequestReceived, Value: int64(i)})
	}
	page := ring.Page(timeline.Filter{}, 0, 100)
	assert.Equal(t, len(page.Events), 4)
	assert.Equal(t, page.Events[0].Value, int64(6))
	assert.Equal(t, page.Dropped, uint64(6))
	assert.Assert(t, !page.More)
}

func TestRingConcurrentRecorders(t *testing.T) {
	const recorders, eventsPerRecorder = 8, 100
	ring := newRing("a", recorders*eventsPerRecorder)
	var group sync.WaitGroup
	for range recorders {
		group.Go(func() {
			for range eventsPerRecorder {
				ring.Record(timeline.Event{Kind: timeline.RequestReceived})
				ring.Page(timeline.Filter{}, 0, 1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, len(ring.Page(timeline.Filter{}, 0, recorders*eventsPerRecorder).Events), recorders*eventsPerRecorder)
}

func TestFilter(t *testing.T) {
	event := timeline.Event{
		Stamp: 100, Host: identity.Incarnation{Host: "a"}, Peer: identity.Incarnation{Host: "p"},
		Request: "r", Endpoint: "e", Domain: "d", Version: "v",
	}
	cases := []struct {
		filter timeline.Filter
		want   bool
	}{
		{timeline.Filter{}, true},
		{timeline.Filter{Request: "r", Endpoint: "e", Domain: "d", Version: "v", Host: "a", Since: 100}, true},
		{timeline.Filter{Host: "p"}, true},
		{timeline.Filter{Host: "x"}, false},
		{timeline.Filter{Request: "x"}, false},
		{timeline.Filter{Endpoint: "x"}, false},
		{timeline.Filter{Domain: "x"}, false},
		{timeline.Filter{Version: "x"}, false},
		{timeline.Filter{Since: 101}, false},
	}
	for _, c := range cases {
		assert.Equal(t, c.filter.Matches(&event), c.want, "%+v", c.filter)
		parsed, err := timeline.ParseFilter(c.filter.Values(), wallTime)
		assert.NilError(t, err)
		assert.Equal(t, parsed, c.filter)
	}
}

func TestParseSince(t *testing.T) {
	cases := []struct {
		text string
		want hlc.Stamp
	}{
		{"10s", hlc.At(wallTime.Add(-10 * time.Second))},
		{"2026-01-02T03:04:05Z", hlc.At(wallTime)},
		{"17", 17},
	}
	for _, c := range cases {
		filter, err := timeline.ParseFilter(map[string][]string{"since": {c.text}}, wallTime)
		assert.NilError(t, err)
		assert.Equal(t, filter.Since, c.want)
	}
	_, err := timeline.ParseFilter(map[string][]string{"since": {"noon"}}, wallTime)
	assert.ErrorIs(t, err, timeline.ErrInvalidFilter)
}

func TestSequenceBeforeNewest(t *testing.T) {
	ring := newRing("a", 8)
	for i := range 12 {
		ring.Record(timeline.Event{Request: fmt.Sprint(i % 2)})
	}
	cases := []struct {
		filter timeline.Filter
		newest int
		want   uint64
	}{
		{timeline.Filter{}, 3, 9},
		{timeline.Filter{}, 100, 4},
		{timeline.Filter{Request: "1"}, 2, 8},
		{timeline.Filter{Request: "none"}, 2, 4},
	}
	for _, c := range cases {
		assert.Equal(t, ring.SequenceBeforeNewest(c.filter, c.newest), c.want, "%+v", c)
	}
}

// TestCollectIsBounded checks that a collection from large rings stays within
// the limit on events, keeps the newest events of each host and reports the
// others as gaps.
func TestCollectIsBounded(t *testing.T) {
	const eventsPerHost = 30_000
	localRing := newRing("a", eventsPerHost)
	callers := fakeMesh{}
	var peers []identity.Host
	for _, name := range []string{"b", "c", "d"} {
		ring := newRing(name, eventsPerHost)
		for range eventsPerHost {
			ring.Record(timeline.Event{Kind: timeline.RequestReceived})
		}
		timeline.Register(routerFunc(func(_ mesh.Kind, h mesh.Handler) { callers[name] = h }), ring)
		peers = append(peers, identity.Host{Incarnation: identity.Incarnation{Host: name, Number: 1}, MeshAddress: name})
	}
	collector := timeline.Collector{Ring: localRing, Caller: callers, Peers: func() []identity.Host { return peers }}
	merged := collector.Collect(t.Context(), timeline.Filter{})
	assert.Equal(t, len(merged.Events), 3*(1<<14))
	assert.Equal(t, len(merged.Gaps), 3)
	assert.Equal(t, merged.Gaps[0].Dropped, uint64(eventsPerHost-1<<14))
	assert.Equal(t, merged.Events[len(merged.Events)-1].Sequence, uint64(eventsPerHost))
}

// fakeMesh is a mesh.Caller that invokes the handlers of hosts in the same
// process, by address.
type fakeMesh map[string]mesh.Handler

func (f fakeMesh) Call(ctx context.Context, address string, _ mesh.Kind, request, response any) error {
	handler := f[address]
	if handler == nil {
		return eris.Wrap(mesh.ErrUnreachable, address)
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	result, err := handler(ctx, identity.Incarnation{}, body)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(result)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, response)
}

type routerFunc func(mesh.Kind, mesh.Handler)

func (r routerFunc) Handle(kind mesh.Kind, handler mesh.Handler) { r(kind, handler) }

// TestCollectMergesHosts checks the order of the merged events and the gaps for
// hosts that are unreachable, that died, and whose ring overwrote events.
func TestCollectMergesHosts(t *testing.T) {
	const requests = 2500
	localRing, peerRing, smallRing := newRing("a", 0), newRing("b", 0), newRing("c", 2)
	callers := fakeMesh{}
	for name, ring := range map[string]*timeline.Ring{"b": peerRing, "c": smallRing} {
		timeline.Register(routerFunc(func(_ mesh.Kind, h mesh.Handler) { callers[name] = h }), ring)
	}
	for i := range requests {
		localRing.Record(timeline.Event{Kind: timeline.RequestReceived, Request: fmt.Sprint(i)})
		peerRing.Record(timeline.Event{Kind: timeline.RequestDispatched, Request: fmt.Sprint(i)})
		smallRing.Record(timeline.Event{Kind: timeline.RequestDone, Request: fmt.Sprint(i)})
	}
	for _, name := range []string{"b", "d", "e", "e"} {
		localRing.Record(timeline.Event{Kind: timeline.MemberDead, Peer: identity.Incarnation{Host: name, Number: 1}})
	}
	collector := timeline.Collector{Ring: localRing, Caller: callers, Peers: func() []identity.Host {
		return []identity.Host{
			{Incarnation: identity.Incarnation{Host: "b"}, MeshAddress: "b"},
			{Incarnation: identity.Incarnation{Host: "c"}, MeshAddress: "c"},
			{Incarnation: identity.Incarnation{Host: "d", Number: 1}, MeshAddress: "d"},
		}
	}}
	merged := collector.Collect(t.Context(), timeline.Filter{})
	assert.Equal(t, len(merged.Events), 2*requests+2+4)
	for i := 1; i < len(merged.Events); i++ {
		assert.Assert(t, merged.Events[i-1].Stamp <= merged.Events[i].Stamp)
	}
	assert.Equal(t, len(merged.Gaps), 3)
	assert.Equal(t, merged.Gaps[0].Host.Host, "d")
	assert.Equal(t, merged.Gaps[1].Host.Host, "e")
	assert.Equal(t, merged.Gaps[2].Dropped, uint64(requests-2))
}

func TestPrint(t *testing.T) {
	merged := timeline.Merge([]timeline.Page{
		{
			Host:    identity.Incarnation{Host: "a", Number: 1},
			Dropped: 3,
			Events: []timeline.Event{{
				Stamp: hlc.At(wallTime), Host: identity.Incarnation{Host: "a", Number: 1}, Sequence: 4,
				Kind: timeline.RequestDone, Request: "k", Endpoint: "e", Outcome: timeline.OutcomeDone, Value: 7,
			}},
		},
	}, []timeline.Gap{{Host: identity.Incarnation{Host: "b", Number: 1}, Failure: "no reply"}})
	var table bytes.Buffer
	assert.NilError(t, merged.WriteTable(&table))
	want := []string{
		"TIME HOST EVENT REQUEST FIELDS",
		"- b@1 gap - not read: no reply",
		"- a@1 gap - 3 older events dropped",
		"03:04:05.000000 a@1 request.done k endpoint=e outcome=done value=7",
	}
	for i, line := range strings.Split(strings.TrimSpace(table.String()), "\n") {
		assert.Equal(t, strings.Join(strings.Fields(line), " "), want[i])
	}
	var encoded bytes.Buffer
	assert.NilError(t, merged.WriteJSON(&encoded))
	decoded, err := timeline.ReadJSON(&encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, merged)
}
