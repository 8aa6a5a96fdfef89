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

// testOrphanLife is longer than any test.
const testOrphanLife = time.Hour

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// letter is a report or grant under way.
type letter struct {
	report *Report
	grant  *Grant
	to     int
}

// fakeHost is a holder with its requests; frozen hosts do nothing.
type fakeHost struct {
	holder  *Holder
	number  uint64
	waiting tier.Counts
	running []tier.Tier
	frozen  bool
	// reported is the demand in the last report.
	reported tier.Counts
}

// world is one endpoint with its home and holders in virtual time. Letters are
// lost, doubled, delayed and reordered.
type world struct {
	now     time.Time
	limit   int
	cold    int
	ledger  *Ledger
	fence   uint64
	hosts   []*fakeHost
	letters []letter
	// lost are requests of dead hosts that the endpoint still runs.
	lost []tier.Tier
}

func newWorld(hosts, limit, cold int) *world {
	w := &world{now: time.Unix(100, 0), limit: limit, cold: cold, fence: 1}
	w.ledger = NewLedger("e", w.fence, w.now, 0, testOrphanLife)
	w.ledger.SetLimit(limit, cold)
	for range hosts {
		w.hosts = append(w.hosts, &fakeHost{})
	}
	for i := range hosts {
		w.restart(i)
	}
	return w
}

// restart replaces a host's process; the endpoint goes on with its requests.
func (w *world) restart(i int) {
	h := w.hosts[i]
	w.lost = append(w.lost, h.running...)
	*h = fakeHost{number: h.number + 1}
	h.holder = NewHolder("e", identity.Incarnation{Host: fmt.Sprint(i), Number: h.number}, w.now)
	h.holder.Follow(w.fence)
}

func (w *world) report(i int) {
	h := w.hosts[i]
	if h.frozen {
		return
	}
	h.reported = h.waiting
	report := h.holder.Report(w.now, Demand{Waiting: h.waiting})
	w.letters = append(w.letters, letter{report: &report, to: i})
}

// arrive handles a letter; keep leaves a copy of it under way.
func (w *world) arrive(at int, keep bool) {
	l := w.letters[at]
	w.now = w.now.Add(time.Millisecond)
	if !keep {
		w.letters = slices.Delete(w.letters, at, at+1)
	}
	switch {
	case l.report != nil:
		if _, taken := w.ledger.Take(w.now, *l.report); taken {
			w.post(w.ledger.Grants(w.now, l.report.Holder))
		}
	case !w.hosts[l.to].frozen && l.grant.Holder == w.hosts[l.to].holder.self:
		w.hosts[l.to].holder.Apply(w.now, *l.grant)
	}
}

func (w *world) post(grants []Grant) {
	for _, g := range grants {
		for i, h := range w.hosts {
			if h.holder.self == g.Holder {
				w.letters = append(w.letters, letter{grant: &g, to: i})
			}
		}
	}
}

func (w *world) start(i int) {
	h := w.hosts[i]
	t, any := h.waiting.Highest()
	if !any || h.frozen || !h.holder.TryAcquire(w.now, t) {
		return
	}
	h.waiting[t]--
	h.running = append(h.running, t)
}

func (w *world) finish(i int) {
	h := w.hosts[i]
	if h.frozen || len(h.running) == 0 {
		return
	}
	h.holder.Release(h.running[0])
	h.running = h.running[1:]
}

// changeHome gives the endpoint a new home after the old one died.
func (w *world) changeHome() {
	w.fence++
	w.ledger = NewLedger("e", w.fence, w.now.Add(GrantTTL+LapseMargin), w.limit, testOrphanLife)
	w.ledger.SetLimit(w.limit, w.cold)
	for _, h := range w.hosts {
		if !h.frozen {
			h.holder.Follow(w.fence)
		}
	}
}

// inFlight is what the endpoint runs.
func (w *world) inFlight() int {
	n := len(w.lost)
	for _, h := range w.hosts {
		n += len(h.running)
	}
	return n
}

// startable is what could be started without any further message.
func (w *world) startable() int {
	n := 0
	for _, h := range w.hosts {
		if h.holder.HasFree(w.now, 0) {
			n += h.holder.Unused()
		}
	}
	return n
}

// step does one thing at random.
func (w *world) step(t *rapid.T) {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	action := rapid.IntRange(0, 19).Draw(t, "action")
	switch {
	case action < 3:
		w.hosts[i].waiting[rapid.IntRange(0, 2).Draw(t, "tier")]++
	case action < 6:
		w.report(i)
	case action < 12 && len(w.letters) > 0:
		at := rapid.IntRange(0, len(w.letters)-1).Draw(t, "letter")
		w.arrive(at, rapid.IntRange(0, 9).Draw(t, "keep") == 0)
	case action < 14:
		w.start(i)
	case action == 14:
		w.finish(i)
	case action == 15 && len(w.letters) > 0:
		at := rapid.IntRange(0, len(w.letters)-1).Draw(t, "lost letter")
		w.letters = slices.Delete(w.letters, at, at+1)
	case action == 16:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		w.post(w.ledger.Grants(w.now))
	case action == 17:
		w.hosts[i].frozen = !w.hosts[i].frozen
	case action == 18:
		w.rare(t, i)
	}
}

// rare does what happens less often.
func (w *world) rare(t *rapid.T, i int) {
	switch rapid.IntRange(0, 3).Draw(t, "rare") {
	case 0:
		w.restart(i)
	case 1:
		w.changeHome()
	case 2:
		w.ledger.ObserveLoad(w.now, w.now, w.inFlight())
	case 3:
		if len(w.lost) > 0 {
			w.lost = w.lost[1:]
		}
	}
}

// TestSlotsAreConserved checks after every step, under loss, delay, doubling,
// freezes, restarts and changes of home, that what runs and what could start
// never exceed the limit.
func TestSlotsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "hosts"), limit, rapid.IntRange(1, limit).Draw(t, "cold"))
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			w.step(t)
			if got := w.inFlight() + w.startable(); got > limit {
				t.Fatalf("%d slots in hands, limit %d", got, limit)
			}
			if got := w.startable(); got > w.cold {
				t.Fatalf("%d unused slots in hands, cold limit %d", got, w.cold)
			}
		}
	})
}

// TestConfirmationHolds checks that once a holder has a grant that confirms a
// tier, no holder starts a lower one while that tier still waits there.
func TestConfirmationHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, rapid.IntRange(1, 8).Draw(t, "limit"), 8)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.step(t)
			w.checkConfirmed(t)
		}
	})
}

func (w *world) checkConfirmed(t *rapid.T) {
	for _, h := range w.hosts {
		highest, any := h.waiting.Highest()
		grant, at := h.holder.Last()
		current := grant.Sequence == h.holder.Sequence() && at.Equal(w.now)
		if !any || !current || h.reported[highest] == 0 || grant.Fence != w.fence || !grant.Confirms(highest) {
			continue
		}
		for _, other := range w.hosts {
			for _, running := range other.running {
				if !other.frozen && running > highest && w.now.Before(other.holder.Lapse()) && other.holder.Fence() == w.fence {
					t.Fatalf("tier %d confirmed while tier %d runs", highest, running)
				}
			}
		}
	}
}

// exchange lets every holder report and get its answer.
func (w *world) exchange() {
	for i := range w.hosts {
		w.report(i)
	}
	for len(w.letters) > 0 {
		w.arrive(0, false)
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
		{"recall of unused slots", []claim{waiting(0, 1, 5), {bound: 3, used: 1}}, 0, 2, []int{0, 1}},
		{"no recall from the same tier", []claim{waiting(0, 1, 5), {bound: 1, waiting: tier.Counts{1}}}, 0, 2, []int{0, 1}},
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

// TestLostHolderCostsItsOwnShare checks that the others get the slots of a dead
// host once the endpoint's load shows that nothing of it runs.
func TestLostHolderCostsItsOwnShare(t *testing.T) {
	w := newWorld(2, 4, 4)
	w.hosts[0].waiting[0] = 4
	w.exchange()
	w.exchange()
	for range 4 {
		w.start(0)
	}
	w.exchange()
	assert.Equal(t, len(w.hosts[0].running), 4)
	w.hosts[0].frozen = true
	w.hosts[1].waiting[0] = 4
	for range 8 {
		w.now = w.now.Add(500 * time.Millisecond)
		w.exchange()
	}
	assert.Equal(t, w.hosts[1].holder.Allowed(), 0)
	w.ledger.ObserveLoad(w.now, w.now, 1)
	w.exchange()
	w.exchange()
	assert.Equal(t, w.hosts[1].holder.Allowed(), 3)
}

// TestFailureNeedsANewGrant checks that a grant made before the home heard of a
// failure adds no slots.
func TestFailureNeedsANewGrant(t *testing.T) {
	w := newWorld(1, 4, 4)
	h := w.hosts[0].holder
	w.hosts[0].waiting[0] = 2
	w.report(0)
	w.arrive(0, false)
	h.Failed()
	w.arrive(0, false)
	assert.Equal(t, h.Allowed(), 0)
	w.exchange()
	assert.Assert(t, h.Allowed() > 0)
}
