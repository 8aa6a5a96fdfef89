package peers

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"gotest.tools/v3/poll"
	"mustarddoor/internal/process/keyed"

	"mustarddoor/internal/version/canary"
)

var start = time.Unix(1_700_000_000, 0)

func host(name string) Host {
	return Host{Name: name, PeerAddress: peerAddress(name), FrontendAddress: name + ":1", Domain: "z1", Incarnation: 1}
}

// peerAddress returns 10.0.0.1:7600 for the host "1".
func peerAddress(name string) netip.AddrPort {
	return netip.MustParseAddrPort("10.0.0." + name + ":7600")
}

func receiveStatus(m *Membership, h Host, number uint64, status Status, now time.Time) {
	m.receive(Message{From: h, Sequence: number, Status: status}, now)
}

// frontendAddresses returns the sorted addresses of the hosts that accept
// callers.
func frontendAddresses(m *Membership, now time.Time) []string {
	var addresses []string
	for _, ready := range m.ReadyHosts(now) {
		addresses = append(addresses, ready.FrontendAddress)
	}
	slices.Sort(addresses)
	return addresses
}

func TestFrontendAddressesOfReachableHosts(t *testing.T) {
	m := NewMembership(host("9"))
	receiveStatus(m, host("1"), 1, Status{Ready: true}, start)
	receiveStatus(m, host("2"), 1, Status{}, start)
	receiveStatus(m, host("3"), 1, Status{Ready: true, Leaving: true}, start)
	assert.DeepEqual(t, frontendAddresses(m, start), []string{"1:1"})
	assert.Equal(t, len(frontendAddresses(m, start.Add(2*time.Second))), 0)
}

// Only reachable hosts of the local failure domain are counted.
func TestReachableInDomain(t *testing.T) {
	m := NewMembership(host("9"))
	remote := host("2")
	remote.Domain = "z2"
	receiveStatus(m, host("1"), 1, Status{}, start)
	receiveStatus(m, remote, 1, Status{}, start)
	assert.Equal(t, m.ReachableInDomain(start), 2)
	assert.Equal(t, m.ReachableInDomain(start.Add(2*time.Second)), 1)
}

// Short messages keep the details of the last full one, unless the incarnation
// is new.
func TestShortMessages(t *testing.T) {
	m := NewMembership(host("9"))
	receiveStatus(m, host("1"), 1, Status{Ready: true}, start)
	short := Host{PeerAddress: peerAddress("1"), Incarnation: 1}
	receiveStatus(m, short, 2, Status{Ready: true}, start)
	assert.Equal(t, len(frontendAddresses(m, start)), 1)
	receiveStatus(m, short, 2, Status{}, start) // duplicate sequence number
	assert.Equal(t, len(frontendAddresses(m, start)), 1)
	short.Incarnation = 2
	receiveStatus(m, short, 1, Status{Ready: true}, start)
	assert.Equal(t, len(frontendAddresses(m, start)), 0)
}

// A host whose clock was set back before it restarted becomes reachable again;
// late messages of its old process are ignored.
func TestRestartAfterClockStep(t *testing.T) {
	m := NewMembership(host("9"))
	old := host("1")
	old.Incarnation = 5000
	receiveStatus(m, old, 70, Status{Ready: true}, start)
	fresh := host("1")
	fresh.Incarnation = 3000
	receiveStatus(m, fresh, 1, Status{}, start.Add(100*time.Millisecond))
	assert.Equal(t, len(frontendAddresses(m, start.Add(100*time.Millisecond))), 1, "a late message of an old process was accepted")
	back := start.Add(time.Second)
	receiveStatus(m, fresh, 2, Status{Ready: true}, back)
	assert.Equal(t, m.peers[peerAddress("1")].host.Incarnation, int64(3000))
	receiveStatus(m, fresh, 3, Status{}, back.Add(60*time.Millisecond))
	assert.Equal(t, len(frontendAddresses(m, back.Add(60*time.Millisecond))), 0)
}

// An unreachable host still counts as sharing the limits for a limited time,
// unless it has announced that it is leaving.
func TestSharingHosts(t *testing.T) {
	m := NewMembership(host("9"))
	m.AddPeer(peerAddress("5"), start)
	receiveStatus(m, host("1"), 1, Status{}, start)
	receiveStatus(m, host("2"), 1, Status{Leaving: true}, start)
	addresses, reachable := m.SharingHosts(start)
	assert.Equal(t, len(addresses), 4)
	assert.Equal(t, reachable, 3)
	addresses, reachable = m.SharingHosts(start.Add(5 * time.Second))
	assert.Equal(t, len(addresses), 3)
	assert.Equal(t, reachable, 1)
	addresses, _ = m.SharingHosts(start.Add(time.Minute))
	assert.Equal(t, len(addresses), 1)
}

// A host that was cut off for 20 s, or suspended, counted itself as the only one and used
// the limits alone.
func TestSharers(t *testing.T) {
	m := NewMembership(host("9"))
	m.AddPeer(peerAddress("5"), start)
	assert.Equal(t, len(m.Sharers(start.Add(time.Minute))), 1, "no host was heard, this one may be cut off")
	receiveStatus(m, host("1"), 1, Status{}, start)
	receiveStatus(m, host("2"), 1, Status{Leaving: true}, start)
	sharers := m.Sharers(start)
	assert.Equal(t, len(sharers), 3)
	assert.Equal(t, sharers[peerAddress("1").String()].MaxSilence, reportDelay+maxMissedMessages*m.sendInterval)
	assert.Equal(t, sharers[peerAddress("5").String()].MaxSilence, time.Duration(0))
	sharers = m.Sharers(start.Add(time.Minute))
	assert.Equal(t, len(sharers), 1)
	assert.Equal(t, sharers[peerAddress("1").String()].MaxSilence, time.Duration(0))

	now := start.Add(forgetTimeout + time.Minute)
	receiveStatus(m, host("1"), 2, Status{}, now)
	m.MarkAllUnreachable(now)
	m.recipients(now)
	sharers = m.Sharers(now)
	assert.Equal(t, len(sharers), 1, "suspended")
	assert.Equal(t, sharers[peerAddress("1").String()].MaxSilence, time.Duration(0))
}

// The log reader of a failure domain is its lowest host that can read the log.
func TestLogReader(t *testing.T) {
	m := NewMembership(host("5"))
	avoidNone := func(netip.AddrPort) bool { return false }
	assert.Equal(t, m.LogReader(avoidNone, true, start), peerAddress("5"))
	remote := host("1")
	remote.Domain = "z2"
	receiveStatus(m, remote, 1, Status{OperatorNext: 1, Loaded: true}, start)
	receiveStatus(m, host("2"), 1, Status{OperatorNext: 1, Loaded: true, StoreUnavailable: true}, start)
	receiveStatus(m, host("3"), 1, Status{OperatorNext: 1, Loaded: true}, start)
	receiveStatus(m, host("7"), 1, Status{OperatorNext: 1, Loaded: true}, start)
	assert.Equal(t, m.LogReader(avoidNone, true, start), peerAddress("3"))
	assert.Equal(t, m.LogReader(func(transport netip.AddrPort) bool { return transport == peerAddress("3") }, true, start), peerAddress("5"))
	assert.Equal(t, m.LogReader(func(transport netip.AddrPort) bool { return transport == peerAddress("3") }, false, start), peerAddress("7"))
	assert.Equal(t, m.LogReader(avoidNone, false, start.Add(time.Minute)), peerAddress("5"))
	assert.Assert(t, !m.IsLeader(func(s Status) bool { return !s.StoreUnavailable }, start))
	assert.Assert(t, m.IsLeader(func(s Status) bool { return len(s.WaitingServices) > 0 }, start))
}

// After the process was suspended, all earlier messages are disregarded.
func TestMarkAllUnreachable(t *testing.T) {
	m := NewMembership(host("9"))
	receiveStatus(m, host("1"), 1, Status{Ready: true}, start)
	m.MarkAllUnreachable(start)
	assert.Equal(t, len(frontendAddresses(m, start)), 0)
}

// Hosts discover each other through one known seed.
func TestHostsFindEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var memberships []*Membership
	for _, name := range []string{"1", "2", "3"} {
		h := host(name)
		h.PeerAddress = netip.MustParseAddrPort("127.0.77." + name + ":17600")
		m := NewMembership(h)
		m.AddPeer(netip.MustParseAddrPort("127.0.77.1:17600"), time.Now())
		transport, err := NewTransport(m, func(bool) Status { return Status{Ready: true} }, func(Message, bool) {}, metrics.NewRegistry())
		assert.NilError(t, err)
		done := make(chan error, 2)
		go func() { done <- transport.Receive(ctx) }()
		go func() { done <- transport.Send(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
			assert.NilError(t, <-done)
		})
		memberships = append(memberships, m)
	}
	for _, m := range memberships {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if addresses := frontendAddresses(m, time.Now()); len(addresses) != 2 {
				return poll.Continue("%v", addresses)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decode(data)
		if err == nil && (!message.From.PeerAddress.IsValid() || message.From.Incarnation == 0) {
			t.Fatalf("%+v names no sender", message)
		}
	})
}

// largeFleet returns the membership of host 50, which hears from hosts 1 to 20
// of z1 and 21 to 40 of z2. Every fifth of them is active.
func largeFleet() *Membership {
	m := NewMembership(host("50"))
	for i := 1; i <= 40; i++ {
		h := host(strconv.Itoa(i))
		if i > 20 {
			h.Domain = "z2"
		}
		receiveStatus(m, h, 1, Status{OperatorNext: 1, Loaded: true, Leaving: i == 1, Active: i%5 == 0, Loads: []EndpointLoad{{Endpoint: 1, Running: 1}}}, start)
	}
	m.recipients(start)
	return m
}

var sameAddress = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// In a large fleet the lowest host of each failure domain that is not leaving
// relays; an idle host sends its messages to its relay alone. A small fleet has
// no relays.
func TestRoles(t *testing.T) {
	m := largeFleet()
	assert.DeepEqual(t, m.role, role{isLarge: true, relay: peerAddress("2")}, sameAddress, cmp.AllowUnexported(role{}))
	to, isProbing := m.recipients(start)
	assert.DeepEqual(t, to, []netip.AddrPort{peerAddress("2")}, sameAddress)
	assert.Assert(t, !isProbing)
	assert.Equal(t, m.currentSendInterval(), idleSendInterval)
	assert.Equal(t, len(m.planBundles(0, start)), 0)
	m.SetCarries(true)
	m.recipients(start)
	to, _ = m.recipients(start)
	assert.Equal(t, len(to), 8, "not the active hosts alone: %v", to)
	assert.Equal(t, len(m.ActiveHosts(start)), 9)
	small := NewMembership(host("9"))
	receiveStatus(small, host("1"), 1, Status{}, start)
	assert.Equal(t, len(small.planBundles(0, start)), 0)
	to, _ = small.recipients(start)
	assert.DeepEqual(t, to, []netip.AddrPort{peerAddress("1")}, sameAddress)
}

// A relay sends the active hosts to the idle ones of its domain in each round,
// and the idle ones once in a rotation; loads are omitted.
func TestBundles(t *testing.T) {
	m := largeFleet()
	for i := 1; i <= 40; i++ {
		p := m.peers[peerAddress(strconv.Itoa(i))]
		p.status.Leaving = p.host.Domain == "z1"
	}
	relayed := map[string]int{}
	for round := range uint64(bundleRotation) {
		bundles := m.planBundles(round, start)
		assert.Equal(t, len(bundles), 3)
		assert.Equal(t, len(bundles[0].to), 16)
		assert.Equal(t, len(bundles[1].to), 4)
		assert.DeepEqual(t, bundles[2].to, []netip.AddrPort{peerAddress("21")}, sameAddress)
		for _, message := range bundles[0].messages {
			assert.Assert(t, message.IsSummary && len(message.Status.Loads) == 0)
			relayed[message.From.PeerAddress.String()]++
		}
		for _, message := range bundles[1].messages {
			assert.Assert(t, !message.Status.Active)
		}
		for _, message := range bundles[2].messages {
			assert.Equal(t, message.From.Domain, "z1")
		}
	}
	for i := 1; i <= 40; i++ {
		want := 1
		if i%5 == 0 {
			want = bundleRotation
		}
		assert.Equal(t, relayed[peerAddress(strconv.Itoa(i)).String()], want, "host %d", i)
	}
}

// Work done for a whole domain goes to a host with a fast network link: bundles
// for a domain of 20 hosts saturate a link of 10 Mbit/s.
func TestHigherBandwidthHostIsPreferred(t *testing.T) {
	m := largeFleet()
	wide := host("7")
	wide.LinkMbps = 200
	receiveStatus(m, wide, 2, Status{OperatorNext: 1, Loaded: true}, start)
	m.recipients(start)
	assert.Equal(t, m.role.relay, peerAddress("7"))
	avoidNone := func(netip.AddrPort) bool { return false }
	assert.Equal(t, m.LogReader(avoidNone, true, start), peerAddress("7"))
	assert.Equal(t, m.LogReader(func(transport netip.AddrPort) bool { return transport == peerAddress("7") }, true, start), peerAddress("2"))
	// A short message keeps the details of the last full one.
	receiveStatus(m, Host{PeerAddress: peerAddress("7"), Incarnation: 1}, 3, Status{OperatorNext: 1, Loaded: true, Leaving: true}, start)
	m.recipients(start)
	assert.Equal(t, m.role.relay, peerAddress("2"))
}

// The leader is a host that carries no callers, so that its loss interrupts no
// request.
func TestLeaderCarriesNoCallers(t *testing.T) {
	m := NewMembership(host("5"))
	any := func(Status) bool { return true }
	receiveStatus(m, host("1"), 1, Status{Carries: true}, start)
	receiveStatus(m, host("7"), 1, Status{}, start)
	assert.Assert(t, m.IsLeader(any, start))
	m.SetCarries(true)
	assert.Assert(t, !m.IsLeader(any, start))
	receiveStatus(m, host("7"), 2, Status{Carries: true}, start)
	assert.Assert(t, !m.IsLeader(any, start))
	receiveStatus(m, host("1"), 2, Status{Carries: true, StoreUnavailable: true}, start)
	assert.Assert(t, m.IsLeader(func(s Status) bool { return !s.StoreUnavailable }, start))
}

// Bundles to 20 hosts of a domain, at the rate of a fleet of 61 busy hosts, use
// at most their share of a slow link and are not limited on a fast one.
func TestBundleBandwidthLimit(t *testing.T) {
	const members, each = 20, maxBundleBytes
	perSecond := 12 * 7 // 12 bundles of 7 datagrams
	for mbps, want := range map[int]float64{10: bundleBandwidthShare * 10e6 / 8, 200: float64(perSecond * members * each), 0: float64(perSecond * members * each)} {
		limiter := newBundleLimiter(mbps)
		sent := 0
		for i := range 20 * perSecond {
			if limiter.AllowN(start.Add(time.Duration(i)*time.Second/time.Duration(perSecond)), members*each) {
				sent += members * each
			}
		}
		got := float64(sent) / 20
		assert.Assert(t, got <= want*1.05 && got >= want*0.9, "%d Mbit/s: %.0f bytes a second, %.0f wanted", mbps, got, want)
	}
}

// The messages of a bundle are handled as if sent by their own hosts; nested
// bundles are ignored.
func TestHandleBundle(t *testing.T) {
	var received []string
	m := NewMembership(host("9"))
	registry := metrics.NewRegistry()
	transport := &Transport{
		membership: m, onMessage: func(m Message, _ bool) { received = append(received, m.From.Name) },
		status: func(bool) Status { return Status{} }, write: func(data []byte, _ netip.AddrPort) (int, error) { return len(data), nil },
		bundleLimiter: newBundleLimiter(0), malformed: metrics.GetOrRegisterCounter("m", registry), failed: metrics.GetOrRegisterCounter("f", registry), sent: metrics.GetOrRegisterCounter("s", registry),
	}
	one := Message{From: host("1"), Sequence: 5}
	nested := Message{From: host("2"), Sequence: 5, Bundle: []Message{{From: host("3"), Sequence: 1}}}
	transport.handle(Message{From: host("4"), Bundle: []Message{one, nested, one, {Sequence: 1}}})
	assert.DeepEqual(t, received, []string{"1"})
	transport.handle(Message{From: host("1"), Sequence: 4})
	assert.DeepEqual(t, received, []string{"1"})
}

// The evidence of a move arrives whole, and hosts of an earlier version, which send
// no slowdowns, are understood.
func TestMoveEvidence(t *testing.T) {
	evidence := canary.Evidence{New: canary.Results{Succeeded: 2, LogSlowdownSum: 1}, Old: canary.Results{Failed: 3}}
	evidence.New.Slowdowns[4], evidence.Old.Slowdowns[7] = 2, 5
	status := Status{
		Moves:         []Move{{Service: "s", Target: "v2", Evidence: evidence}},
		MoveSlowdowns: []MoveSlowdowns{{New: evidence.New.Slowdowns, Old: evidence.Old.Slowdowns}},
	}
	message := Message{From: Host{PeerAddress: netip.MustParseAddrPort("10.0.0.1:7600"), Incarnation: 1}, Status: status}
	data, err := wire.Marshal(message)
	assert.NilError(t, err)
	decoded, err := decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Status.Evidences(), []canary.Evidence{evidence})
	decoded.Status.MoveSlowdowns = nil
	assert.Equal(t, decoded.Status.Evidences()[0].New.Slowdowns, canary.Histogram{})
	assert.Equal(t, decoded.Status.Evidences()[0].New.Succeeded, 2)
}

// The offset of a topic that a host has not read since the store was restored is not
// mistaken for one in the new era.
func TestStatusPositions(t *testing.T) {
	status := Status{}
	status.SetPositions(keyed.Position{Era: 2, Offset: 3}, keyed.Position{Era: 1, Offset: 9})
	assert.Equal(t, status.OperatorPosition(), keyed.Position{Era: 2, Offset: 3})
	assert.Equal(t, status.EndpointsPosition(), keyed.Position{Era: 2})
}

// A host that lags reads from its own failure domain. In a large fleet, only the
// preferred host of a domain is the one to read from another domain.
func TestFindReachable(t *testing.T) {
	isAhead := func(s Status) bool { return s.OperatorNext > 1 }
	inDomain := func(name, domain string) Host {
		h := host(name)
		h.Domain = domain
		return h
	}
	m := NewMembership(host("5"))
	receiveStatus(m, inDomain("1", "z2"), 1, Status{OperatorNext: 2}, start)
	receiveStatus(m, host("3"), 1, Status{OperatorNext: 1}, start)
	found, isRemote := m.FindReachable(isAhead, start)
	assert.Equal(t, found, peerAddress("1"))
	assert.Assert(t, !isRemote, "small fleet")
	m.role.isLarge = true
	_, isRemote = m.FindReachable(isAhead, start)
	assert.Assert(t, isRemote)
	receiveStatus(m, host("3"), 2, Status{OperatorNext: 2}, start)
	found, isRemote = m.FindReachable(isAhead, start)
	assert.Equal(t, found, peerAddress("3"))
	assert.Assert(t, !isRemote)
	preferred := NewMembership(host("2"))
	preferred.role.isLarge = true
	receiveStatus(preferred, inDomain("1", "z2"), 1, Status{OperatorNext: 2}, start)
	receiveStatus(preferred, host("3"), 1, Status{OperatorNext: 1}, start)
	_, isRemote = preferred.FindReachable(isAhead, start)
	assert.Assert(t, !isRemote)
}
