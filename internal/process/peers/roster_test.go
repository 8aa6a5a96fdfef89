package peers

import (
	"context"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var start = time.Unix(1_700_000_000, 0)

func host(name string) Host {
	return Host{Name: name, Link: link(name), Front: name + ":1", Domain: "z1", Incarnation: 1}
}

// link gives the host "1" the link 10.0.0.1:7600.
func link(name string) netip.AddrPort { return netip.MustParseAddrPort("10.0.0." + name + ":7600") }

func heardHost(r *Roster, h Host, number uint64, status Status, now time.Time) {
	r.hear(Message{From: h, Number: number, Status: status}, now)
}

func TestFrontsOfHeardHosts(t *testing.T) {
	r := NewRoster(host("9"))
	heardHost(r, host("1"), 1, Status{Ready: true}, start)
	heardHost(r, host("2"), 1, Status{}, start)
	heardHost(r, host("3"), 1, Status{Ready: true, Leaving: true}, start)
	assert.DeepEqual(t, r.Fronts(start), []string{"1:1"})
	assert.Equal(t, len(r.Fronts(start.Add(2*time.Second))), 0)
}

// Only hosts of the own failure domain that are heard count as in it.
func TestInDomain(t *testing.T) {
	r := NewRoster(host("9"))
	far := host("2")
	far.Domain = "z2"
	heardHost(r, host("1"), 1, Status{}, start)
	heardHost(r, far, 1, Status{}, start)
	assert.Equal(t, r.InDomain(start), 2)
	assert.Equal(t, r.InDomain(start.Add(2*time.Second)), 1)
}

// Short messages keep what a full one has told, but for a new incarnation.
func TestShortMessages(t *testing.T) {
	r := NewRoster(host("9"))
	heardHost(r, host("1"), 1, Status{Ready: true}, start)
	short := Host{Link: link("1"), Incarnation: 1}
	heardHost(r, short, 2, Status{Ready: true}, start)
	assert.Equal(t, len(r.Fronts(start)), 1)
	heardHost(r, short, 2, Status{}, start) // the same number again
	assert.Equal(t, len(r.Fronts(start)), 1)
	short.Incarnation = 2
	heardHost(r, short, 1, Status{Ready: true}, start)
	assert.Equal(t, len(r.Fronts(start)), 0)
}

// A host whose time of day has jumped back before it started again is heard
// again; late messages of its old process are not.
func TestRestartAfterClockStep(t *testing.T) {
	r := NewRoster(host("9"))
	old := host("1")
	old.Incarnation = 5000
	heardHost(r, old, 70, Status{Ready: true}, start)
	fresh := host("1")
	fresh.Incarnation = 3000
	heardHost(r, fresh, 1, Status{}, start.Add(100*time.Millisecond))
	assert.Equal(t, len(r.Fronts(start.Add(100*time.Millisecond))), 1, "a late message of an old process counts")
	back := start.Add(time.Second)
	heardHost(r, fresh, 2, Status{Ready: true}, back)
	assert.Equal(t, r.peers[link("1")].host.Incarnation, int64(3000))
	heardHost(r, fresh, 3, Status{}, back.Add(60*time.Millisecond))
	assert.Equal(t, len(r.Fronts(back.Add(60*time.Millisecond))), 0)
}

// A host that is not heard still counts among those that may spend, unless it
// has said that it leaves, and not for ever.
func TestSpenders(t *testing.T) {
	r := NewRoster(host("9"))
	r.Know(link("5"), start)
	heardHost(r, host("1"), 1, Status{}, start)
	heardHost(r, host("2"), 1, Status{Leaving: true}, start)
	links, heard := r.Spenders(start)
	assert.Equal(t, len(links), 4)
	assert.Equal(t, heard, 3)
	links, heard = r.Spenders(start.Add(5 * time.Second))
	assert.Equal(t, len(links), 3)
	assert.Equal(t, heard, 1)
	links, _ = r.Spenders(start.Add(time.Minute))
	assert.Equal(t, len(links), 1)
}

// The reader of a failure domain is the lowest host there that the log answers.
func TestReader(t *testing.T) {
	r := NewRoster(host("5"))
	nobody := func(netip.AddrPort) bool { return false }
	assert.Equal(t, r.Reader(nobody, true, start), link("5"))
	far := host("1")
	far.Domain = "z2"
	heardHost(r, far, 1, Status{ConfigNext: 1}, start)
	heardHost(r, host("2"), 1, Status{ConfigNext: 1, StoreLost: true}, start)
	heardHost(r, host("3"), 1, Status{ConfigNext: 1}, start)
	heardHost(r, host("7"), 1, Status{ConfigNext: 1}, start)
	assert.Equal(t, r.Reader(nobody, true, start), link("3"))
	assert.Equal(t, r.Reader(func(l netip.AddrPort) bool { return l == link("3") }, true, start), link("5"))
	assert.Equal(t, r.Reader(func(l netip.AddrPort) bool { return l == link("3") }, false, start), link("7"))
	assert.Equal(t, r.Reader(nobody, false, start.Add(time.Minute)), link("5"))
	assert.Assert(t, !r.IsFirst(func(s Status) bool { return !s.StoreLost }, start))
	assert.Assert(t, r.IsFirst(func(s Status) bool { return len(s.Waiting) > 0 }, start))
}

// After a time in which the host stood still, nothing that it heard counts.
func TestSilence(t *testing.T) {
	r := NewRoster(host("9"))
	heardHost(r, host("1"), 1, Status{Ready: true}, start)
	r.Silence()
	assert.Equal(t, len(r.Fronts(start)), 0)
}

// Hosts find each other through one that both know.
func TestHostsFindEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var rosters []*Roster
	for _, name := range []string{"1", "2", "3"} {
		h := host(name)
		h.Link = netip.MustParseAddrPort("127.0.77." + name + ":17600")
		r := NewRoster(h)
		r.Know(netip.MustParseAddrPort("127.0.77.1:17600"), time.Now())
		l, err := NewLink(r, func(bool) Status { return Status{Ready: true} }, func(Message, bool) {}, metrics.NewRegistry())
		assert.NilError(t, err)
		done := make(chan error, 2)
		go func() { done <- l.Receive(ctx) }()
		go func() { done <- l.Send(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
			assert.NilError(t, <-done)
		})
		rosters = append(rosters, r)
	}
	for _, r := range rosters {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if fronts := r.Fronts(time.Now()); len(fronts) != 2 {
				return poll.Continue("%v", fronts)
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
		if err == nil && (!message.From.Link.IsValid() || message.From.Incarnation == 0) {
			t.Fatalf("%+v names no sender", message)
		}
	})
}

// largeFleet is a roster of host 50 that hears hosts 1 to 20 of z1 and 21 to 40
// of z2.
func largeFleet() *Roster {
	r := NewRoster(host("50"))
	for i := 1; i <= 40; i++ {
		h := host(strconv.Itoa(i))
		if i > 20 {
			h.Domain = "z2"
		}
		heardHost(r, h, 1, Status{ConfigNext: 1, Leaving: i == 1}, start)
	}
	return r
}

// In a large fleet the lowest host of each failure domain that stays bundles
// the messages of its domain; a small one needs no bundles.
func TestBundling(t *testing.T) {
	b := largeFleet().bundling(start)
	assert.Equal(t, b.relay, link("2"))
	assert.Equal(t, len(b.members), 20)
	assert.Equal(t, len(b.latest), 20)
	assert.DeepEqual(t, b.relays, []netip.AddrPort{link("21")}, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	small := NewRoster(host("9"))
	heardHost(small, host("1"), 1, Status{}, start)
	assert.Assert(t, !small.bundling(start).relay.IsValid())
}

// What one host does for others is done by one with a wide link: bundles for a
// domain of 20 fill a link of 10 Mbit/s.
func TestWideLinksServe(t *testing.T) {
	r := largeFleet()
	wide, far := host("7"), host("30")
	wide.Mbps, far.Mbps, far.Domain = 200, 200, "z2"
	heardHost(r, wide, 2, Status{ConfigNext: 1}, start)
	heardHost(r, far, 2, Status{ConfigNext: 1}, start)
	b := r.bundling(start)
	assert.Equal(t, b.relay, link("7"))
	assert.DeepEqual(t, b.relays, []netip.AddrPort{link("30")}, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	nobody := func(netip.AddrPort) bool { return false }
	assert.Equal(t, r.Reader(nobody, true, start), link("7"))
	assert.Equal(t, r.Reader(func(l netip.AddrPort) bool { return l == link("7") }, true, start), link("2"))
	// A short message keeps what a full one has told.
	heardHost(r, Host{Link: link("7"), Incarnation: 1}, 3, Status{ConfigNext: 1, Leaving: true}, start)
	assert.Equal(t, r.bundling(start).relay, link("2"))
}

// Bundles to 20 hosts of a domain, as often as they come at 61 hosts with much
// to tell, leave most of a narrow link free and are not held back on a wide one.
func TestBundlesLeaveTheLinkFree(t *testing.T) {
	const members, each = 20, bundleBytes
	perSecond := 12 * 7 // 61 messages of 140 bytes take 7 datagrams
	for mbps, want := range map[int]float64{10: bundlePart * 10e6 / 8, 200: float64(perSecond * members * each), 0: float64(perSecond * members * each)} {
		limiter := newBundleRate(mbps)
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

// The messages of a bundle count as if they had come from their hosts; nothing
// within them is a bundle again.
func TestBundleIsTaken(t *testing.T) {
	var heard []string
	r := NewRoster(host("9"))
	registry := metrics.NewRegistry()
	l := &Link{
		roster: r, heard: func(m Message, _ bool) { heard = append(heard, m.From.Name) },
		bundles: newBundleRate(0), malformed: metrics.GetOrRegisterCounter("m", registry), failed: metrics.GetOrRegisterCounter("f", registry), sent: metrics.GetOrRegisterCounter("s", registry),
	}
	one := Message{From: host("1"), Number: 5}
	nested := Message{From: host("2"), Number: 5, Bundle: []Message{{From: host("3"), Number: 1}}}
	l.take(Message{From: host("4"), Bundle: []Message{one, nested, one, {Number: 1}}})
	assert.DeepEqual(t, heard, []string{"1"})
	l.take(Message{From: host("1"), Number: 4})
	assert.DeepEqual(t, heard, []string{"1"})
}
