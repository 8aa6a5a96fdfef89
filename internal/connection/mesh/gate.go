package mesh

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
)

// Direction is the direction of a frame between this host and a peer.
type Direction string

// Directions of a frame.
const (
	ToPeer   Direction = "to"
	FromPeer Direction = "from"
)

// Gate decides which frames pass between this host and its peers. Other frames
// are dropped silently, as in a network partition.
type Gate interface {
	// Passes reports whether frames in the given direction pass between this
	// host and the peer with the mesh address (IP:port).
	Passes(peer string, direction Direction) bool
}

// passAllGate lets all frames pass.
type passAllGate struct{}

func (passAllGate) Passes(string, Direction) bool { return true }

// Cut identifies one direction of the link between this host and a peer.
type Cut struct {
	// Peer is the peer's mesh address, IP:port.
	Peer      string    `json:"peer"`
	Direction Direction `json:"direction"`
}

// CutOrder is the body of a POST that cuts or restores one direction.
type CutOrder struct {
	Cut
	Broken bool `json:"broken"`
}

// CutGate is a Gate whose cuts can be changed at run time to test network
// partitions. Its zero value lets all frames pass.
type CutGate struct {
	mu     sync.Mutex
	broken atomic.Pointer[map[Cut]bool]
}

// Passes implements Gate.
func (c *CutGate) Passes(peer string, direction Direction) bool {
	broken := c.broken.Load()
	return broken == nil || !(*broken)[Cut{Peer: peer, Direction: direction}]
}

// Set cuts or restores one direction to a peer.
func (c *CutGate) Set(cut Cut, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[Cut]bool{}
	if last := c.broken.Load(); last != nil {
		next = maps.Clone(*last)
	}
	if broken {
		next[cut] = true
	} else {
		delete(next, cut)
	}
	c.broken.Store(&next)
}

// ServeHTTP handles POST of a CutOrder. It must be served only in tests.
func (c *CutGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order CutOrder
	if r.Method != http.MethodPost {
		http.Error(w, "POST a cut order", http.StatusMethodNotAllowed)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if order.Direction != ToPeer && order.Direction != FromPeer {
		http.Error(w, "direction is neither to nor from", http.StatusBadRequest)
		return
	}
	c.Set(order.Cut, order.Broken)
	w.WriteHeader(http.StatusNoContent)
}
