package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// reconnectInterval is the mean time between messages to hosts that were forgotten,
	// one at a time. It does not depend on the number of hosts: the larger two parts of a
	// fleet are that lost each other, the more hosts of each look for the other.
	reconnectInterval = time.Second
	// reconnectTimeout is when the address of a forgotten host is dropped, unless it is a
	// seed. Parts of a fleet may be apart for long, while the addresses of hosts that were
	// replaced accumulate.
	reconnectTimeout = 24 * time.Hour
	// defaultMaxForgotten is the default number of addresses that are kept.
	defaultMaxForgotten = 1024
)

// forgottenHosts holds the addresses of hosts that were silent for so long that they no
// longer count. They may be on the other side of a cut.
type forgottenHosts struct {
	// max is the number of addresses that are kept, besides the seeds.
	max   int
	seeds []netip.AddrPort
	// since holds when each host was forgotten.
	since       map[netip.AddrPort]time.Time
	nextProbeAt time.Time
}

// add adds a host. If there are too many, another one is dropped.
func (f *forgottenHosts) add(address netip.AddrPort, now time.Time) {
	if f.since == nil {
		f.since = map[netip.AddrPort]time.Time{}
	}
	if len(f.since) >= f.max {
		for other := range f.since { // in random order
			delete(f.since, other)
			break
		}
	}
	f.since[address] = now
}

// next returns the address of a host to look for if a message to one is due, or the zero
// address. Hosts for which isKnown returns true need not be looked for.
func (f *forgottenHosts) next(isKnown func(netip.AddrPort) bool, now time.Time) netip.AddrPort {
	if now.Before(f.nextProbeAt) {
		return netip.AddrPort{}
	}
	jitter := time.Duration((rand.Float64() - 0.5) * float64(reconnectInterval))
	f.nextProbeAt = now.Add(reconnectInterval + jitter)
	var candidates []netip.AddrPort
	for address, since := range f.since {
		if isKnown(address) || now.Sub(since) > reconnectTimeout {
			delete(f.since, address)
			continue
		}
		candidates = append(candidates, address)
	}
	for _, seed := range f.seeds {
		if !isKnown(seed) && !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}
	}
	return candidates[rand.IntN(len(candidates))]
}

// AddSeed adds the address of a possible host that this one looks for whenever it does not
// know it.
func (m *Membership) AddSeed(address netip.AddrPort, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.addPeer(address, now) != nil {
		m.forgotten.seeds = append(m.forgotten.seeds, address)
	}
}

// SetMaxForgotten sets how many addresses of forgotten hosts are kept; 0 means the default.
func (m *Membership) SetMaxForgotten(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if count > 0 {
		m.forgotten.max = count
	}
}

// ForgottenCount returns the number of hosts that this one no longer counts and still looks
// for.
func (m *Membership) ForgottenCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.forgotten.since)
}
