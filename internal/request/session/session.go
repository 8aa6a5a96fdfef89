// Package session makes sessions: it picks the witness that, beside this host,
// answers for a caller's requests.
package session

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
)

// Peers tells which other hosts can witness now.
type Peers interface {
	// Live returns the other hosts that are believed alive and are not leaving.
	// The slice is not changed afterwards.
	Live() []identity.Host
}

// Issuer makes sessions that this host owns. It is safe for concurrent use.
type Issuer struct {
	self  identity.Host
	peers Peers
	clock *Clock
	nonce atomic.Uint64
}

// NewIssuer returns an issuer for the host's own incarnation.
func NewIssuer(self identity.Host, peers Peers, clock *Clock) *Issuer {
	issuer := &Issuer{self: self, peers: peers, clock: clock}
	issuer.nonce.Store(rand.Uint64() >> 1)
	return issuer
}

// Issue makes a session with a witness in another failure domain if there is
// one, else any peer, else none.
func (m *Issuer) Issue() key.Session {
	return key.Session{
		Owner:        m.self.Incarnation,
		Witness:      PickWitness(m.self, m.peers.Live(), rand.IntN),
		Nonce:        m.nonce.Add(1),
		IssuedMillis: m.clock.Now().UnixMilli(),
	}
}

// maxWitnesses bounds the hosts among which one owner spreads its sessions, and
// with them the mesh connections that witnessing keeps open.
const maxWitnesses = 8

// PickWitness chooses the witness for sessions of self among the live hosts: at
// random among the maxWitnesses hosts of other failure domains that rank first
// for self by rendezvous hashing, else among those of its own domain. Hosts that
// come and go thus change at most one of the candidates each. It returns the
// zero incarnation if there is none. The function intn returns a number from 0
// to n-1.
func PickWitness(self identity.Host, live []identity.Host, intn func(n int) int) identity.Incarnation {
	var otherDomains, sameDomain topCandidates
	for _, host := range live {
		if host.Host == self.Host {
			continue
		}
		candidate := candidate{rendezvousWeight(self.Host, host.Host), host.Incarnation}
		if host.Domain == self.Domain {
			sameDomain.add(candidate)
			continue
		}
		otherDomains.add(candidate)
	}
	if otherDomains.size > 0 {
		return otherDomains.items[intn(otherDomains.size)].incarnation
	}
	if sameDomain.size > 0 {
		return sameDomain.items[intn(sameDomain.size)].incarnation
	}
	return identity.Incarnation{}
}

// rendezvousWeight is the weight of a host as a witness for an owner.
func rendezvousWeight(owner, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(owner)
	_, _ = digest.WriteString("\n")
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// candidate is a host that may witness.
type candidate struct {
	weight      uint64
	incarnation identity.Incarnation
}

// topCandidates keeps the candidates of greatest weight, in descending order.
type topCandidates struct {
	items [maxWitnesses]candidate
	size  int
}

func (r *topCandidates) add(c candidate) {
	at := r.size
	for at > 0 && r.items[at-1].weight < c.weight {
		at--
	}
	if at == maxWitnesses {
		return
	}
	r.size = min(r.size+1, maxWitnesses)
	copy(r.items[at+1:r.size], r.items[at:r.size-1])
	r.items[at] = c
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
