package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// memoryMesh delivers messages to the handlers of hosts in the same process.
type memoryMesh struct {
	mu       sync.Mutex
	handlers map[string]mesh.Handler
}

// memoryTransport connects one host to a memoryMesh.
type memoryTransport struct {
	mesh *memoryMesh
	self identity.Host
}

func (p memoryTransport) Handle(_ mesh.Kind, handler mesh.Handler) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.mesh.handlers[p.self.MeshAddress] = handler
}

func (p memoryTransport) Call(ctx context.Context, address string, _ mesh.Kind, request, response any) error {
	time.Sleep(time.Millisecond)
	p.mesh.mu.Lock()
	handler := p.mesh.handlers[address]
	p.mesh.mu.Unlock()
	if handler == nil {
		return mesh.ErrUnreachable
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, p.self.Incarnation, body)
	if err != nil {
		return mesh.ErrRejected
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, response)
}

// TestHostsShareEndpointsOverTheMesh checks that two hosts never exceed an
// endpoint's slots together. Both use endpoints with homes on either host, with
// many concurrent callers.
func TestHostsShareEndpointsOverTheMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, callers, rounds = 3, 20, 10
		hosts := []identity.Host{testHost("h1"), testHost("h2")}
		homes := &staticHomes{byEndpoint: map[string]Home{}}
		for i, name := range []string{"e1", "e2"} {
			homes.byEndpoint[name] = Home{Host: hosts[i].Incarnation, MeshAddress: hosts[i].MeshAddress, Fence: 1, First: true}
		}
		network := &memoryMesh{handlers: map[string]mesh.Handler{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var placers []*Placer
		for _, self := range hosts {
			p := New(Config{Self: self, Homes: homes, Caller: memoryTransport{network, self}})
			p.Register(memoryTransport{network, self})
			p.Update(View{Bundle: testBundle(testEndpoint("e1", "a", slots), testEndpoint("e2", "b", slots))})
			for _, name := range []string{"e1", "e2"} {
				p.ObserveLoad(name, engine.Load{Incarnation: "A"})
			}
			running.Go(func() { _ = p.Run(ctx) })
			placers = append(placers, p)
		}
		inFlight := map[string]*atomic.Int32{"e1": {}, "e2": {}}
		var served atomic.Int32
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() {
				for range rounds {
					placed, refusal := placers[i%2].Place(ctx, Request{Route: "summary", Team: "blue"})
					if refusal != nil {
						t.Error(refusal.Reason)
						return
					}
					if got := inFlight[placed.Endpoint].Add(1); got > slots {
						t.Errorf("%d requests in flight at %s exceed its slots", got, placed.Endpoint)
					}
					time.Sleep(100 * time.Millisecond)
					placed.FirstToken()
					inFlight[placed.Endpoint].Add(-1)
					placed.Done(Result{Outcome: OutcomeDone, OutputTokens: 20})
					served.Add(1)
				}
			})
		}
		all.Wait()
		cancel()
		running.Wait()
		assert.Equal(t, int(served.Load()), callers*rounds)
	})
}
