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

	mu   sync.Mutex
	busy map[string]bool
}

// NewMeshExchange returns an exchange with the hosts whose mesh addresses
// (IP:port) peers returns.
func NewMeshExchange(caller mesh.Caller, peers func() []string) *MeshExchange {
	return &MeshExchange{caller: caller, peers: peers, busy: map[string]bool{}}
}

// Broadcast implements Exchange. It leaves out hosts to which an earlier
// broadcast is still under way.
func (x *MeshExchange) Broadcast(ctx context.Context, deltas []Delta) {
	var all sync.WaitGroup
	for _, peer := range x.peers() {
		if !x.begin(peer) {
			continue
		}
		all.Go(func() {
			defer x.end(peer)
			var nothing struct{}
			// A lost delta is made good by the next refresh.
			_ = x.caller.Call(ctx, peer, KindEvidence, deltas, &nothing)
		})
	}
	all.Wait()
}

// begin reports whether the peer may be sent to.
func (x *MeshExchange) begin(peer string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[peer] {
		return false
	}
	x.busy[peer] = true
	return true
}

// end lets the next broadcast reach the peer.
func (x *MeshExchange) end(peer string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busy, peer)
}
