package witness

import (
	"sync"
	"sync/atomic"

	"mustarddoor/internal/request/key"
)

// watermarks remembers, for each host, the latest of its sessions of which a
// record was dropped. An unseen key of such a session or an earlier one may
// have had a record; a key of a later session has had none. No clocks are
// compared: sessions of one incarnation are in the order of its own clock, and
// later incarnations have greater numbers.
type watermarks struct {
	mu     sync.Mutex
	byHost sync.Map
	hosts  int
}

// watermark is the latest place, in the sequence of one host's sessions, of
// which a record was dropped; nil if there is none.
type watermark struct {
	dropped atomic.Pointer[sessionPosition]
}

// sessionPosition orders the sessions of one host.
type sessionPosition struct {
	incarnation  uint64
	issuedMillis int64
}

func positionOf(session key.Session) sessionPosition {
	return sessionPosition{incarnation: session.Owner.Number, issuedMillis: session.IssuedMillis}
}

func (p sessionPosition) isBefore(other sessionPosition) bool {
	if p.incarnation != other.incarnation {
		return p.incarnation < other.incarnation
	}
	return p.issuedMillis < other.issuedMillis
}

// covers reports whether a record of the session may have been dropped.
func (w *watermarks) covers(session key.Session) bool {
	found := w.forHost(session.Owner.Host)
	if found == nil {
		return false
	}
	dropped := found.dropped.Load()
	return dropped != nil && !dropped.isBefore(positionOf(session))
}

// forHost is the horizon forHost a host, or nil if the host was not admitted.
func (w *watermarks) forHost(host string) *watermark {
	found, ok := w.byHost.Load(host)
	if !ok {
		return nil
	}
	return found.(*watermark)
}

// addHost makes room for a host's horizon. It returns false if there are too
// many hosts.
func (w *watermarks) addHost(host string, maxHosts int) bool {
	if w.forHost(host) != nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.forHost(host) != nil {
		return true
	}
	if w.hosts >= maxHosts {
		return false
	}
	w.hosts++
	w.byHost.Store(host, &watermark{})
	return true
}

// raise notes that a record of a session was dropped.
func (w *watermark) raise(next sessionPosition) {
	for {
		current := w.dropped.Load()
		if current != nil && !current.isBefore(next) {
			return
		}
		if w.dropped.CompareAndSwap(current, &next) {
			return
		}
	}
}
