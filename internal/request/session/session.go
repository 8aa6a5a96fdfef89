// Package session issues sessions for callers and selects the witness of each.
package session

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/key"
)

// Peers lists the hosts that can be witnesses.
type Peers interface {
	// Live returns the other hosts that are considered alive and are not
	// leaving. The slice must not be modified after it was returned.
	Live() []identity.Host
}

// Issuer issues sessions owned by this host. It is safe for concurrent use.
type Issuer struct {
	self  identity.Host
	peers Peers
	clock *Clock
	nonce atomic.Uint64

	mu sync.Mutex
	// lost holds the witnesses that did not reply to this host, and when.
	lost map[identity.Incarnation]time.Time
}

// lostWitnessTime is how long a witness that did not reply is avoided. By then,
// membership knows whether the host is dead; it may also be cut off from this
// host alone.
const lostWitnessTime = 10 * time.Second

// NewIssuer returns an issuer for the host's own incarnation.
func NewIssuer(self identity.Host, peers Peers, clock *Clock) *Issuer {
	issuer := &Issuer{self: self, peers: peers, clock: clock, lost: map[identity.Incarnation]time.Time{}}
	issuer.nonce.Store(rand.Uint64() >> 1)
	return issuer
}

// Issue returns a new session. Its witness is in another failure domain if
// possible, else it is any peer; without peers the session has no witness.
func (i *Issuer) Issue() key.Session {
	return key.Session{
		Owner:        i.self.Incarnation,
		Witness:      PickWitness(i.self, i.candidates(), rand.IntN),
		Nonce:        i.nonce.Add(1),
		IssuedMillis: i.clock.Now().UnixMilli(),
	}
}

// MarkLost records that a witness did not reply to this host. New sessions name
// another one for a while, so that the caller's next try is not refused for the
// same reason.
func (i *Issuer) MarkLost(witness identity.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lost[witness] = time.Now()
}

// candidates returns the hosts to choose a witness from: the live ones without
// those that were lost, unless all were.
func (i *Issuer) candidates() []identity.Host {
	live := i.peers.Live()
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.lost, func(_ identity.Incarnation, at time.Time) bool { return time.Since(at) > lostWitnessTime })
	if len(i.lost) == 0 {
		return live
	}
	isLost := func(host identity.Host) bool { return !i.lost[host.Incarnation].IsZero() }
	replying := slices.DeleteFunc(slices.Clone(live), isLost)
	if len(replying) == 0 {
		return live
	}
	return replying
}

// maxWitnesses limits the witnesses of one owner's sessions, and with them the
// mesh connections that the owner keeps open to witnesses.
const maxWitnesses = 8

// PickWitness selects the witness for a session of self: a random one of the
// maxWitnesses hosts of other failure domains with the greatest rendezvous hash
// for self, or of its own domain if there is no other. With rendezvous hashing a
// host that joins or leaves changes at most one candidate. PickWitness returns
// the zero incarnation if there is no candidate. The function intn returns a
// random number from 0 to n-1.
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

// rendezvousWeight returns the rendezvous hash of a host as a witness for an
// owner.
func rendezvousWeight(owner, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(owner)
	_, _ = digest.WriteString("\n")
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// candidate is a host that can be the witness.
type candidate struct {
	weight      uint64
	incarnation identity.Incarnation
}

// topCandidates holds the candidates with the greatest weights, in descending
// order.
type topCandidates struct {
	items [maxWitnesses]candidate
	size  int
}

func (t *topCandidates) add(c candidate) {
	position := t.size
	for position > 0 && t.items[position-1].weight < c.weight {
		position--
	}
	if position == maxWitnesses {
		return
	}
	t.size = min(t.size+1, maxWitnesses)
	copy(t.items[position+1:t.size], t.items[position:t.size-1])
	t.items[position] = c
}

// Clock is a wall clock without jumps: it reads the wall time once and then
// advances with the monotonic clock, so that the owner computes exact session
// ages.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at the current wall time.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time { return c.start.Add(time.Since(c.start)) }
