// Package session makes sessions: it picks the witness that, beside this host,
// answers for a caller's requests.
package session

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
)

// Peers tells which other hosts can witness now.
type Peers interface {
	// Live returns the other hosts that are believed alive and are not leaving.
	// The slice is not changed afterwards.
	Live() []identity.Host
}

// Minter makes sessions that this host owns. It is safe for concurrent use.
type Minter struct {
	self  identity.Host
	peers Peers
	clock *Clock
	nonce atomic.Uint64
}

// NewMinter returns a minter for the host's own incarnation.
func NewMinter(self identity.Host, peers Peers, clock *Clock) *Minter {
	minter := &Minter{self: self, peers: peers, clock: clock}
	minter.nonce.Store(rand.Uint64() >> 1)
	return minter
}

// Mint makes a session with a witness in another failure domain if there is
// one, else any peer, else none.
func (m *Minter) Mint() key.Session {
	return key.Session{
		Owner:        m.self.Incarnation,
		Witness:      PickWitness(m.self, m.peers.Live(), rand.IntN),
		Nonce:        m.nonce.Add(1),
		IssuedMillis: m.clock.Now().UnixMilli(),
	}
}

// PickWitness chooses the witness for sessions of self among the live hosts:
// at random among those of other failure domains, else among all others. It
// returns the zero incarnation if there is none. The function intn returns a
// number from 0 to n-1.
func PickWitness(self identity.Host, live []identity.Host, intn func(n int) int) identity.Incarnation {
	var elsewhere, others []identity.Host
	for _, host := range live {
		if host.Host == self.Host {
			continue
		}
		others = append(others, host)
		if host.Domain != self.Domain {
			elsewhere = append(elsewhere, host)
		}
	}
	if len(elsewhere) > 0 {
		return elsewhere[intn(len(elsewhere))].Incarnation
	}
	if len(others) > 0 {
		return others[intn(len(others))].Incarnation
	}
	return identity.Incarnation{}
}

// Clock is a wall clock that never jumps: it reads the wall once and advances
// with the monotonic clock. Session ages are therefore exact at the owner.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at the current wall time.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now is the time by the clock.
func (c *Clock) Now() time.Time { return c.start.Add(time.Since(c.start)) }
