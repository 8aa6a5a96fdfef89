package rollout

import (
	"context"
	"sync"

	"mustarddoor/internal/connection/mesh"
)

// MeshExchange broadcasts deltas by mesh messages.
type MeshExchange struct {
	caller mesh.Caller
	peers  func() []string

	mu       sync.Mutex
	inFlight map[string]bool
}

// NewMeshExchange returns an exchange with the hosts whose mesh addresses
// (IP:port) peers returns.
func NewMeshExchange(caller mesh.Caller, peers func() []string) *MeshExchange {
	return &MeshExchange{caller: caller, peers: peers, inFlight: map[string]bool{}}
}

// Broadcast implements Exchange. It leaves out hosts to which an earlier
// broadcast is still under way.
func (x *MeshExchange) Broadcast(ctx context.Context, deltas []Delta) {
	var calls sync.WaitGroup
	for _, peer := range x.peers() {
		if !x.tryAcquire(peer) {
			continue
		}
		calls.Go(func() {
			defer x.release(peer)
			var reply struct{}
			// A lost delta is made good by the next refresh.
			_ = x.caller.Call(ctx, peer, KindEvidence, deltas, &reply)
		})
	}
	calls.Wait()
}

// tryAcquire reports whether the peer may be sent to.
func (x *MeshExchange) tryAcquire(peer string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[peer] {
		return false
	}
	x.inFlight[peer] = true
	return true
}

// release lets the next broadcast reach the peer.
func (x *MeshExchange) release(peer string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, peer)
}
