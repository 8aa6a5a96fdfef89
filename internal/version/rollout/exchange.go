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

// Broadcast implements Exchange. It skips hosts to which an earlier broadcast
// is still in flight.
func (x *MeshExchange) Broadcast(ctx context.Context, deltas []Delta) {
	var calls sync.WaitGroup
	for _, peer := range x.peers() {
		if !x.tryAcquire(peer) {
			continue
		}
		calls.Go(func() {
			defer x.release(peer)
			var reply struct{}
			// The next refresh replaces a lost delta.
			_ = x.caller.Call(ctx, peer, KindEvidence, deltas, &reply)
		})
	}
	calls.Wait()
}

// tryAcquire marks a call to the peer as in flight. It returns false if there
// is one already.
func (x *MeshExchange) tryAcquire(peer string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight[peer] {
		return false
	}
	x.inFlight[peer] = true
	return true
}

// release allows the next call to the peer.
func (x *MeshExchange) release(peer string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, peer)
}
