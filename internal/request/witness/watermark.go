package witness

import (
	"sync"
	"sync/atomic"

	"mustarddoor/internal/request/key"
)

// watermarks holds, for each host, the latest of its sessions of which a record
// was dropped. An unseen key of that session or an earlier one may have had a
// record; a key of a later session never had one. Clocks of different hosts are
// not compared: sessions of one incarnation are ordered by its own clock, and
// later incarnations have greater numbers.
type watermarks struct {
	mu     sync.Mutex
	byHost sync.Map
	hosts  int
}

// watermark is the position of the latest session of one host of which a record
// was dropped; nil if there is none.
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

// forHost returns the watermark of a host, or nil if the host was not added.
func (w *watermarks) forHost(host string) *watermark {
	found, ok := w.byHost.Load(host)
	if !ok {
		return nil
	}
	return found.(*watermark)
}

// addHost adds a watermark for a host. It returns false if there are too many
// hosts.
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

// raise advances the watermark to a session of which a record was dropped.
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
