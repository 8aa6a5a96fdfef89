package mesh

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
)

// Direction is the way that a frame takes between this host and a peer.
type Direction string

// The directions of a frame.
const (
	ToPeer   Direction = "to"
	FromPeer Direction = "from"
)

// Gate decides which frames pass between this host and its peers. Frames that
// do not pass are dropped silently, as on a broken network.
type Gate interface {
	// Passes reports whether a frame may go in the direction between this host
	// and the peer with the mesh address (IP:port).
	Passes(peer string, direction Direction) bool
}

// passAllGate lets everything pass.
type passAllGate struct{}

func (passAllGate) Passes(string, Direction) bool { return true }

// Cut names one broken direction between this host and a peer.
type Cut struct {
	// Peer is the peer's mesh address, IP:port.
	Peer      string    `json:"peer"`
	Direction Direction `json:"direction"`
}

// CutOrder is the body of a POST that makes or mends a cut.
type CutOrder struct {
	Cut
	Broken bool `json:"broken"`
}

// CutGate is a Gate whose cuts can be changed at run time, for tests of cut
// networks. The zero value lets everything pass.
type CutGate struct {
	mu     sync.Mutex
	broken atomic.Pointer[map[Cut]bool]
}

// Passes implements Gate.
func (c *CutGate) Passes(peer string, direction Direction) bool {
	broken := c.broken.Load()
	return broken == nil || !(*broken)[Cut{Peer: peer, Direction: direction}]
}

// Set breaks or mends one direction to a peer.
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

// ServeHTTP takes a POST of CutOrder. Serve it to tests alone.
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
