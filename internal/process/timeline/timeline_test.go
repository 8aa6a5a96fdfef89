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

var wall = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newRing(name string, capacity int) *timeline.Ring {
	clock := hlc.NewClock(func() time.Time { return wall })
	return timeline.NewRing(identity.Incarnation{Host: name, Number: 1}, clock, capacity)
}

func TestRingKeepsTheNewest(t *testing.T) {
	ring := newRing("a", 4)
	for i := range 10 {
		ring.Record(timeline.Event{Kind: timeline.RequestReceived, Value: int64(i)})
	}
	slice := ring.Slice(timeline.Filter{}, 0, 100)
	assert.Equal(t, len(slice.Events), 4)
	assert.Equal(t, slice.Events[0].Value, int64(6))
	assert.Equal(t, slice.Dropped, uint64(6))
	assert.Assert(t, !slice.More)
}

func TestRingTakesConcurrentRecorders(t *testing.T) {
	const recorders, each = 8, 100
	ring := newRing("a", recorders*each)
	var group sync.WaitGroup
	for range recorders {
		group.Go(func() {
			for range each {
				ring.Record(timeline.Event{Kind: timeline.RequestReceived})
				ring.Slice(timeline.Filter{}, 0, 1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, len(ring.Slice(timeline.Filter{}, 0, recorders*each).Events), recorders*each)
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
		parsed, err := timeline.ParseFilter(c.filter.Values(), wall)
		assert.NilError(t, err)
		assert.Equal(t, parsed, c.filter)
	}
}

func TestParseSince(t *testing.T) {
	cases := []struct {
		text string
		want hlc.Stamp
	}{
		{"10s", hlc.At(wall.Add(-10 * time.Second))},
		{"2026-01-02T03:04:05Z", hlc.At(wall)},
		{"17", 17},
	}
	for _, c := range cases {
		filter, err := timeline.ParseFilter(map[string][]string{"since": {c.text}}, wall)
		assert.NilError(t, err)
		assert.Equal(t, filter.Since, c.want)
	}
	_, err := timeline.ParseFilter(map[string][]string{"since": {"noon"}}, wall)
	assert.ErrorIs(t, err, timeline.ErrFilter)
}

func TestBefore(t *testing.T) {
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
		assert.Equal(t, ring.Before(c.filter, c.newest), c.want, "%+v", c)
	}
}

func TestCollectIsBounded(t *testing.T) {
	const perHost = 30_000
	here := newRing("a", perHost)
	calls := fakeMesh{}
	var peers []identity.Host
	for _, name := range []string{"b", "c", "d"} {
		ring := newRing(name, perHost)
		for range perHost {
			ring.Record(timeline.Event{Kind: timeline.RequestReceived})
		}
		timeline.Register(register(func(_ mesh.Kind, h mesh.Handler) { calls[name] = h }), ring)
		peers = append(peers, identity.Host{Incarnation: identity.Incarnation{Host: name, Number: 1}, MeshAddress: name})
	}
	service := timeline.Service{Ring: here, Caller: calls, Peers: func() []identity.Host { return peers }}
	merged := service.Collect(t.Context(), timeline.Filter{})
	assert.Equal(t, len(merged.Events), 3*(1<<14))
	assert.Equal(t, len(merged.Gaps), 3)
	assert.Equal(t, merged.Gaps[0].Dropped, uint64(perHost-1<<14))
	assert.Equal(t, merged.Events[len(merged.Events)-1].Sequence, uint64(perHost))
}

// fakeMesh calls the handlers of hosts in the same process.
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

type register func(mesh.Kind, mesh.Handler)

func (r register) Handle(kind mesh.Kind, handler mesh.Handler) { r(kind, handler) }

func TestCollectMergesHosts(t *testing.T) {
	const pages = 2500
	here, there, full := newRing("a", 0), newRing("b", 0), newRing("c", 2)
	calls := fakeMesh{}
	for name, ring := range map[string]*timeline.Ring{"b": there, "c": full} {
		timeline.Register(register(func(_ mesh.Kind, h mesh.Handler) { calls[name] = h }), ring)
	}
	for i := range pages {
		here.Record(timeline.Event{Kind: timeline.RequestReceived, Request: fmt.Sprint(i)})
		there.Record(timeline.Event{Kind: timeline.RequestDispatched, Request: fmt.Sprint(i)})
		full.Record(timeline.Event{Kind: timeline.RequestDone, Request: fmt.Sprint(i)})
	}
	for _, name := range []string{"b", "d", "e", "e"} {
		here.Record(timeline.Event{Kind: timeline.MemberDead, Peer: identity.Incarnation{Host: name, Number: 1}})
	}
	service := timeline.Service{Ring: here, Caller: calls, Peers: func() []identity.Host {
		return []identity.Host{
			{Incarnation: identity.Incarnation{Host: "b"}, MeshAddress: "b"},
			{Incarnation: identity.Incarnation{Host: "c"}, MeshAddress: "c"},
			{Incarnation: identity.Incarnation{Host: "d", Number: 1}, MeshAddress: "d"},
		}
	}}
	merged := service.Collect(t.Context(), timeline.Filter{})
	assert.Equal(t, len(merged.Events), 2*pages+2+4)
	for i := 1; i < len(merged.Events); i++ {
		assert.Assert(t, merged.Events[i-1].Stamp <= merged.Events[i].Stamp)
	}
	assert.Equal(t, len(merged.Gaps), 3)
	assert.Equal(t, merged.Gaps[0].Host.Host, "d")
	assert.Equal(t, merged.Gaps[1].Host.Host, "e")
	assert.Equal(t, merged.Gaps[2].Dropped, uint64(pages-2))
}

func TestPrint(t *testing.T) {
	merged := timeline.Merge([]timeline.Slice{
		{
			Host:    identity.Incarnation{Host: "a", Number: 1},
			Dropped: 3,
			Events: []timeline.Event{{
				Stamp: hlc.At(wall), Host: identity.Incarnation{Host: "a", Number: 1}, Sequence: 4,
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
	again, err := timeline.ReadJSON(&encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, merged)
}
