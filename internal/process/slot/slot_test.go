package slot

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// testMaxOrphanAge is longer than any test.
const testMaxOrphanAge = time.Hour

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// message is a report or grant in transit.
type message struct {
	report *Report
	grant  *Grant
	to     int
}

// fakeHost is a host with its holder and requests. A frozen host does nothing.
type fakeHost struct {
	holder  *Holder
	number  uint64
	waiting tier.Counts
	running []tier.Tier
	frozen  bool
	// reported is the demand in the last report.
	reported tier.Counts
}

// simulation runs one endpoint with its home and holders in virtual time.
// Messages are lost, duplicated, delayed and reordered.
type simulation struct {
	now       time.Time
	limit     int
	maxUnused int
	ledger    *Ledger
	fence     uint64
	hosts     []*fakeHost
	messages  []message
	// orphaned holds requests of replaced processes that the endpoint still
	// runs.
	orphaned []tier.Tier
}

func newSimulation(hosts, limit, maxUnused int) *simulation {
	s := &simulation{now: time.Unix(100, 0), limit: limit, maxUnused: maxUnused, fence: 1}
	s.ledger = NewLedger("e", s.fence, s.now, 0, testMaxOrphanAge)
	s.ledger.SetLimit(limit, maxUnused)
	for range hosts {
		s.hosts = append(s.hosts, &fakeHost{})
	}
	for i := range hosts {
		s.restart(i)
	}
	return s
}

// restart replaces a host's process. The endpoint continues to run its requests.
func (s *simulation) restart(i int) {
	h := s.hosts[i]
	s.orphaned = append(s.orphaned, h.running...)
	*h = fakeHost{number: h.number + 1}
	h.holder = NewHolder("e", identity.Incarnation{Host: fmt.Sprint(i), Number: h.number}, s.now)
	h.holder.Follow(s.fence)
}

func (s *simulation) report(i int) {
	h := s.hosts[i]
	if h.frozen {
		return
	}
	h.reported = h.waiting
	report := h.holder.Report(s.now, Demand{Waiting: h.waiting})
	s.messages = append(s.messages, message{report: &report, to: i})
}

// deliver delivers a message; keep leaves a duplicate of it in transit.
func (s *simulation) deliver(index int, keep bool) {
	m := s.messages[index]
	s.now = s.now.Add(time.Millisecond)
	if !keep {
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	switch {
	case m.report != nil:
		if _, accepted := s.ledger.ApplyReport(s.now, *m.report); accepted {
			s.send(s.ledger.Grants(s.now, m.report.Holder))
		}
	case !s.hosts[m.to].frozen && m.grant.Holder == s.hosts[m.to].holder.id:
		s.hosts[m.to].holder.ApplyGrant(s.now, *m.grant)
	}
}

func (s *simulation) send(grants []Grant) {
	for _, g := range grants {
		for i, h := range s.hosts {
			if h.holder.id == g.Holder {
				s.messages = append(s.messages, message{grant: &g, to: i})
			}
		}
	}
}

func (s *simulation) start(i int) {
	h := s.hosts[i]
	t, found := h.waiting.Highest()
	if !found || h.frozen || !h.holder.TryAcquire(s.now, t) {
		return
	}
	h.waiting[t]--
	h.running = append(h.running, t)
}

func (s *simulation) finish(i int) {
	h := s.hosts[i]
	if h.frozen || len(h.running) == 0 {
		return
	}
	h.holder.Release(h.running[0])
	h.running = h.running[1:]
}

// changeHome replaces the endpoint's home, as after its failure.
func (s *simulation) changeHome() {
	s.fence++
	s.ledger = NewLedger("e", s.fence, s.now.Add(GrantTTL+ExpiryMargin), s.limit, testMaxOrphanAge)
	s.ledger.SetLimit(s.limit, s.maxUnused)
	for _, h := range s.hosts {
		if !h.frozen {
			h.holder.Follow(s.fence)
		}
	}
}

// inFlight returns the number of requests that the endpoint runs.
func (s *simulation) inFlight() int {
	n := len(s.orphaned)
	for _, h := range s.hosts {
		n += len(h.running)
	}
	return n
}

// startable returns the number of requests that the hosts could start without
// receiving another message.
func (s *simulation) startable() int {
	n := 0
	for _, h := range s.hosts {
		if h.holder.HasFree(s.now, 0) {
			n += h.holder.Unused()
		}
	}
	return n
}

// step performs one random action.
func (s *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")
	action := rapid.IntRange(0, 19).Draw(t, "action")
	switch {
	case action < 3:
		s.hosts[i].waiting[rapid.IntRange(0, 2).Draw(t, "tier")]++
	case action < 6:
		s.report(i)
	case action < 12 && len(s.messages) > 0:
		index := rapid.IntRange(0, len(s.messages)-1).Draw(t, "letter")
		s.deliver(index, rapid.IntRange(0, 9).Draw(t, "keep") == 0)
	case action < 14:
		s.start(i)
	case action == 14:
		s.finish(i)
	case action == 15 && len(s.messages) > 0:
		index := rapid.IntRange(0, len(s.messages)-1).Draw(t, "lost letter")
		s.messages = slices.Delete(s.messages, index, index+1)
	case action == 16:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		s.send(s.ledger.Grants(s.now))
	case action == 17:
		s.hosts[i].frozen = !s.hosts[i].frozen
	case action == 18:
		s.stepRare(t, i)
	}
}

// stepRare performs one of the less frequent actions.
func (s *simulation) stepRare(t *rapid.T, i int) {
	switch rapid.IntRange(0, 3).Draw(t, "rare") {
	case 0:
		s.restart(i)
	case 1:
		s.changeHome()
	case 2:
		s.ledger.ObserveLoad(s.now, s.now, s.inFlight())
	case 3:
		if len(s.orphaned) > 0 {
			s.orphaned = s.orphaned[1:]
		}
	}
}

// TestSlotsAreConserved checks after every step that the running requests and
// those that could start never exceed the limit, despite lost, delayed and
// duplicated messages, frozen hosts, restarts and changes of home.
func TestSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "hosts"), limit, rapid.IntRange(1, limit).Draw(t, "cold"))
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			s.step(t)
			if got := s.inFlight() + s.startable(); got > limit {
				t.Fatalf("%d slots in use or free to use, limit %d", got, limit)
			}
			if got := s.startable(); got > s.maxUnused {
				t.Fatalf("%d slots free to use, cold limit %d", got, s.maxUnused)
			}
		}
	})
}

// TestSheddingExcludesLowerTiers checks that no request of a lower tier runs when
// a holder receives a grant that allows it to shed a tier that waits there.
func TestSheddingExcludesLowerTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3, rapid.IntRange(1, 8).Draw(t, "limit"), 8)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.step(t)
			s.checkSheddable(t)
		}
	})
}

func (s *simulation) checkSheddable(t *rapid.T) {
	for _, h := range s.hosts {
		highest, found := h.waiting.Highest()
		grant, at := h.holder.LastGrant()
		current := grant.Sequence == h.holder.Sequence() && at.Equal(s.now)
		if !found || !current || h.reported[highest] == 0 || grant.Fence != s.fence || !grant.AllowsShedding(highest) {
			continue
		}
		for _, other := range s.hosts {
			for _, running := range other.running {
				if !other.frozen && running > highest && s.now.Before(other.holder.Expiry()) && other.holder.Fence() == s.fence {
					t.Fatalf("tier %d may be shed while tier %d runs", highest, running)
				}
			}
		}
	}
}

// exchangeReports delivers a report of every holder and the resulting grants.
func (s *simulation) exchangeReports() {
	for i := range s.hosts {
		s.report(i)
	}
	for len(s.messages) > 0 {
		s.deliver(0, false)
	}
}

func TestAllocation(t *testing.T) {
	waiting := func(at tier.Tier, n uint16, oldest uint32) claim {
		c := claim{}
		c.waiting[at] = n
		c.oldest[at] = oldest
		return c
	}
	cases := []struct {
		name        string
		claims      []claim
		free, spare int
		want        []int
	}{
		{"highest tier first", []claim{waiting(2, 1, 900), waiting(0, 1, 1)}, 1, 4, []int{0, 1}},
		{"longest wait first", []claim{waiting(1, 1, 5), waiting(1, 1, 9)}, 1, 4, []int{0, 1}},
		{"no more than spare", []claim{waiting(1, 9, 5)}, 9, 2, []int{2}},
		{"nothing free", []claim{waiting(0, 1, 5)}, 0, 2, []int{0}},
		{"recall of unused slots", []claim{waiting(0, 1, 5), {maxSlots: 3, used: 1}}, 0, 2, []int{0, 1}},
		{"no recall from the same tier", []claim{waiting(0, 1, 5), {maxSlots: 1, waiting: tier.Counts{1}}}, 0, 2, []int{0, 1}},
		{"over the limit", []claim{waiting(0, 1, 5)}, -2, 2, []int{0}},
		{"half of the spare is spread", []claim{{}, {}}, 8, 2, []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			allocate(c.claims, c.free, c.spare, 1)
			var got []int
			for _, claim := range c.claims {
				got = append(got, claim.target)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestExpiredHolderSlotsAreReclaimed checks that the slots of a dead host stay
// reserved until the endpoint's load shows how many of its requests have ended,
// and that other hosts then get those slots.
func TestExpiredHolderSlotsAreReclaimed(t *testing.T) {
	s := newSimulation(2, 4, 4)
	s.hosts[0].waiting[0] = 4
	s.exchangeReports()
	s.exchangeReports()
	for range 4 {
		s.start(0)
	}
	s.exchangeReports()
	assert.Equal(t, len(s.hosts[0].running), 4)
	s.hosts[0].frozen = true
	s.hosts[1].waiting[0] = 4
	for range 8 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.exchangeReports()
	}
	assert.Equal(t, s.hosts[1].holder.Allowed(), 0)
	s.ledger.ObserveLoad(s.now, s.now, 1)
	s.exchangeReports()
	s.exchangeReports()
	assert.Equal(t, s.hosts[1].holder.Allowed(), 3)
}

// TestGrantBeforeFailureAddsNoSlots checks that a grant adds no slots if it was
// made before the home received the report of a failure.
func TestGrantBeforeFailureAddsNoSlots(t *testing.T) {
	s := newSimulation(1, 4, 4)
	h := s.hosts[0].holder
	s.hosts[0].waiting[0] = 2
	s.report(0)
	s.deliver(0, false)
	h.RecordFailure()
	s.deliver(0, false)
	assert.Equal(t, h.Allowed(), 0)
	s.exchangeReports()
	assert.Assert(t, h.Allowed() > 0)
}
