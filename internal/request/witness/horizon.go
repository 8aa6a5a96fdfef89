package witness

import (
	"sync"
	"sync/atomic"

	"mustarddoor/internal/request/key"
)

// horizons remembers, for each host, the latest of its sessions of which a
// record was dropped. An unseen key of such a session or an earlier one may
// have had a record; a key of a later session has had none. No clocks are
// compared: sessions of one incarnation are in the order of its own clock, and
// later incarnations have greater numbers.
type horizons struct {
	mu     sync.Mutex
	byHost sync.Map
	hosts  int
}

// horizon is the latest place, in the sequence of one host's sessions, of
// which a record was dropped; nil if there is none.
type horizon struct {
	dropped atomic.Pointer[place]
}

// place orders the sessions of one host.
type place struct {
	number uint64
	issued int64
}

func placeOf(session key.Session) place {
	return place{number: session.Owner.Number, issued: session.IssuedMillis}
}

func (p place) isBefore(other place) bool {
	if p.number != other.number {
		return p.number < other.number
	}
	return p.issued < other.issued
}

// covers reports whether a record of the session may have been dropped.
func (h *horizons) covers(session key.Session) bool {
	found := h.of(session.Owner.Host)
	if found == nil {
		return false
	}
	dropped := found.dropped.Load()
	return dropped != nil && !dropped.isBefore(placeOf(session))
}

// of is the horizon of a host, or nil if the host was not admitted.
func (h *horizons) of(host string) *horizon {
	found, ok := h.byHost.Load(host)
	if !ok {
		return nil
	}
	return found.(*horizon)
}

// admit makes room for a host's horizon. It returns false if there are too
// many hosts.
func (h *horizons) admit(host string, limit int) bool {
	if h.of(host) != nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.of(host) != nil {
		return true
	}
	if h.hosts >= limit {
		return false
	}
	h.hosts++
	h.byHost.Store(host, &horizon{})
	return true
}

// raise notes that a record of a session was dropped.
func (h *horizon) raise(next place) {
	for {
		current := h.dropped.Load()
		if current != nil && !current.isBefore(next) {
			return
		}
		if h.dropped.CompareAndSwap(current, &next) {
			return
		}
	}
}
