package peers

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/pause"
)

// network delivers datagrams between the hosts of a simulated fleet after a
// millisecond of virtual time.
type network struct {
	ctx   context.Context
	hosts []*simulatedHost

	mu        sync.Mutex
	byAddress map[netip.AddrPort]*simulatedHost
	// isLost decides whether a datagram is lost; nil loses none.
	isLost    func(from, to netip.AddrPort) bool
	delivered int
	bytes     int
	// queue holds the datagrams of the current millisecond.
	queue []datagram
}

type simulatedHost struct {
	*Transport
	membership *Membership
	address    netip.AddrPort
	isDown     bool
}

// newNetwork starts a fleet of some failure domains. In each of them, the given
// number of hosts has a fast link and carries callers, and the others do not.
// All hosts know the first three.
func newNetwork(t *testing.T, domains, carrying, idle int) *network {
	n := &network{ctx: t.Context(), byAddress: map[netip.AddrPort]*simulatedHost{}}
	go n.run()
	for d := range domains {
		for i := range carrying + idle {
			ip := netip.AddrFrom4([4]byte{10, byte(d), byte(i >> 8), byte(i)})
			host := Host{Name: ip.String(), PeerAddress: netip.AddrPortFrom(ip, 7600), FrontendAddress: ip.String() + ":1", Domain: fmt.Sprint("z", d), Incarnation: 1, LinkMbps: 10}
			if i < carrying {
				host.LinkMbps = 200
			}
			n.add(host, i < carrying)
		}
	}
	return n
}

func (n *network) add(self Host, carries bool) *simulatedHost {
	registry := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	h := &simulatedHost{membership: NewMembership(self), address: self.PeerAddress}
	h.membership.SetCarries(carries)
	h.Transport = &Transport{
		membership: h.membership, onMessage: func(Message, bool) {}, sendRequested: make(chan struct{}, 1), bundleLimiter: newBundleLimiter(self.LinkMbps),
		status: func(bool) Status { return Status{Ready: true, Carries: carries, OperatorNext: 1} },
		write: func(data []byte, to netip.AddrPort) (int, error) {
			n.deliver(data, self.PeerAddress, to)
			return len(data), nil
		},
		sent: counter("sent"), received: counter("received"), malformed: counter("malformed"), failed: counter("failed"), dropped: counter("dropped"),
	}
	for _, seed := range n.hosts[:min(len(n.hosts), 3)] {
		h.membership.AddPeer(seed.address, time.Now())
	}
	n.mu.Lock()
	n.byAddress[h.address] = h
	n.mu.Unlock()
	n.hosts = append(n.hosts, h)
	go func() { _ = h.Send(n.ctx) }()
	go func() { _ = h.SendBundles(n.ctx) }()
	return h
}

// datagram is a datagram on its way.
type datagram struct {
	data     []byte
	from, to netip.AddrPort
}

func (n *network) deliver(data []byte, from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, datagram{data, from, to})
}

// run delivers the queued datagrams until the test ends. One goroutine does so,
// because one for each datagram takes gigabytes when a large fleet starts.
func (n *network) run() {
	for pause.For(n.ctx, time.Millisecond) {
		n.mu.Lock()
		due := n.queue
		n.queue = nil
		n.mu.Unlock()
		for _, d := range due {
			n.deliverNow(d)
		}
	}
}

func (n *network) deliverNow(d datagram) {
	n.mu.Lock()
	source, target := n.byAddress[d.from], n.byAddress[d.to]
	isLost := target == nil || target.isDown || source.isDown || n.isLost != nil && n.isLost(d.from, d.to)
	if !isLost {
		n.delivered++
		n.bytes += len(d.data)
	}
	n.mu.Unlock()
	if isLost {
		return
	}
	if message, err := decode(d.data); err == nil {
		target.handle(message)
	}
}

// traffic returns the number of datagrams delivered so far and their bytes.
func (n *network) traffic() (datagrams, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delivered, n.bytes
}

// loseEachHundredth loses one datagram in a hundred.
func (n *network) loseEachHundredth() {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	n.isLost = func(_, _ netip.AddrPort) bool {
		count++
		return count%100 == 0
	}
}

// setLost sets which datagrams are lost.
func (n *network) setLost(isLost func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isLost = isLost
}

// setDown cuts hosts off, or reconnects them.
func (n *network) setDown(isDown bool, hosts ...*simulatedHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range hosts {
		h.isDown = isDown
	}
}

// reachable returns the number of other hosts that each running host considers
// reachable, the lowest and the highest.
func (n *network) reachable() (lowest, highest int) {
	lowest = len(n.hosts)
	for _, h := range n.hosts {
		if h.isDown {
			continue
		}
		count := len(h.membership.reachableAddresses(time.Now()))
		lowest, highest = min(lowest, count), max(highest, count)
	}
	return lowest, highest
}

// knows returns the number of running hosts that consider a host ready.
func (n *network) knows(host *simulatedHost) int {
	count := 0
	for _, h := range n.hosts {
		if h == host || h.isDown {
			continue
		}
		for _, ready := range h.membership.ReadyHosts(time.Now()) {
			if ready.PeerAddress == host.address {
				count++
			}
		}
	}
	return count
}

// All hosts of a large fleet know each other within seconds of a common start,
// and stay so. The messages per host and second are bounded for the idle ones.
func TestLargeFleetExchange(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ domains, carrying, idle int }{{3, 2, 26}, {5, 3, 56}} {
		t.Run(fmt.Sprint(test.domains*(test.carrying+test.idle), " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, test.domains, test.carrying, test.idle)
				count := len(n.hosts)
				time.Sleep(4 * time.Second)
				lowest, _ := n.reachable()
				assert.Equal(t, lowest, count-1)
				for _, h := range n.hosts {
					assert.Equal(t, len(h.membership.ActiveHosts(time.Now())), test.domains*test.carrying)
				}
				const seconds = 2
				datagramsBefore, bytesBefore := n.traffic()
				for range seconds * 4 {
					time.Sleep(time.Second / 4)
					lowest, _ := n.reachable()
					assert.Equal(t, lowest, count-1)
				}
				datagrams, bytes := n.traffic()
				each := float64(datagrams-datagramsBefore) / float64(count) / seconds
				t.Logf("%.1f datagrams and %.0f bytes a second and host", each, float64(bytes-bytesBefore)/float64(count)/seconds)
				assert.Assert(t, each < 60)
			})
		})
	}
}

// The loss of a host that carries callers is known everywhere within 2.5 s, that
// of a relay as well, and nobody else is taken for lost meanwhile.
func TestLossIsNoticed(t *testing.T) {
	t.Parallel()
	for name, carrying := range map[string]int{"relay": 1, "one of two relays": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, 3, carrying, 20)
				time.Sleep(5 * time.Second)
				n.setDown(true, n.hosts[0])
				for range 50 {
					time.Sleep(50 * time.Millisecond)
					lowest, _ := n.reachable()
					assert.Assert(t, lowest >= len(n.hosts)-2, "%d hosts are known", lowest)
				}
				assert.Equal(t, n.knows(n.hosts[0]), 0)
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					lowest, highest := n.reachable()
					assert.Equal(t, lowest, len(n.hosts)-2)
					assert.Equal(t, highest, len(n.hosts)-2)
				}
				n.setDown(false, n.hosts[0])
				time.Sleep(3 * time.Second)
				lowest, _ := n.reachable()
				assert.Equal(t, lowest, len(n.hosts)-1)
			})
		})
	}
}

// Idle hosts that became active at the same moment took each other for idle for up to 8 s:
// they did not exchange what they use of the teams' limits, and each used the rest alone.
func TestIdleHostsBecomeActiveAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const domains, carrying, idle, more = 3, 2, 18, 6
		n := newNetwork(t, domains, carrying, idle)
		time.Sleep(5 * time.Second)
		for i, h := range n.hosts {
			h.membership.SetCarries(i%(carrying+idle) < carrying+more)
		}
		time.Sleep(time.Second)
		for _, h := range n.hosts {
			assert.Equal(t, len(h.membership.ActiveHosts(time.Now())), domains*(carrying+more), "%v", h.address)
		}
	})
}

// Nobody sends callers to an idle host 7 s after it was lost.
func TestIdleLossIsNoticed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 2, 26)
		time.Sleep(5 * time.Second)
		n.setDown(true, n.hosts[20])
		time.Sleep(7 * time.Second)
		assert.Equal(t, n.knows(n.hosts[20]), 0)
	})
}

// Half of a fleet is lost and returns, while one datagram in a hundred is lost:
// all know each other within 10 s, before callers come.
func TestHalfOfTheFleetRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 2, 26)
		n.loseEachHundredth()
		time.Sleep(10 * time.Second)
		lowest, _ := n.reachable()
		assert.Equal(t, lowest, len(n.hosts)-1)
		var half []*simulatedHost
		for i, h := range n.hosts {
			if i%2 == 0 {
				half = append(half, h)
			}
		}
		n.setDown(true, half...)
		time.Sleep(9 * time.Second)
		_, highest := n.reachable()
		assert.Equal(t, highest, len(n.hosts)/2-1)
		n.setDown(false, half...)
		time.Sleep(10 * time.Second)
		lowest, _ = n.reachable()
		assert.Equal(t, lowest, len(n.hosts)-1)
	})
}

// A failure domain is cut off and comes back.
func TestDomainIsCutOff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 2, 26)
		time.Sleep(5 * time.Second)
		isCut := func(a netip.AddrPort) bool { return a.Addr().As4()[1] == 1 }
		n.setLost(func(from, to netip.AddrPort) bool { return isCut(from) != isCut(to) })
		time.Sleep(10 * time.Second)
		lowest, highest := n.reachable()
		assert.Equal(t, lowest, 27)
		assert.Equal(t, highest, 55)
		n.setLost(nil)
		time.Sleep(5 * time.Second)
		lowest, _ = n.reachable()
		assert.Equal(t, lowest, len(n.hosts)-1)
	})
}

// A host that joins a large fleet knows all of it within seconds, and is known.
func TestHostJoinsLargeFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 2, 26)
		time.Sleep(5 * time.Second)
		joined := n.add(Host{Name: "new", PeerAddress: netip.MustParseAddrPort("10.9.0.1:7600"), FrontendAddress: "10.9.0.1:1", Domain: "z1", Incarnation: 1, LinkMbps: 10}, false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(joined.membership.ReadyHosts(time.Now())), len(n.hosts)-1)
		assert.Equal(t, n.knows(joined), len(n.hosts)-1)
	})
}
