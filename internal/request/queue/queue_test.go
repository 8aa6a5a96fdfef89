package queue

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/request/tier"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func equalRating(*Item) float64 { return 0 }

// serveNext serves the next item of the highest tier that has one, or returns
// nil.
func serveNext(q *Queue) *Item {
	for t := range tier.Tier(tier.Max) {
		if item := q.Best(t, equalRating); item != nil {
			q.Serve(item)
			return item
		}
	}
	return nil
}

func TestTeamsShareByWeight(t *testing.T) {
	q := New(TeamConfig{Weight: 1}, 0)
	q.SetTeamConfig("big", TeamConfig{Weight: 3})
	q.SetTeamConfig("small", TeamConfig{Weight: 1})
	for range 100 {
		for _, team := range []string{"big", "small"} {
			_, err := q.Push(&Item{Team: team, Cost: 10})
			assert.NilError(t, err)
		}
	}
	served := map[string]int{}
	for range 80 {
		served[serveNext(q).Team]++
	}
	assert.DeepEqual(t, served, map[string]int{"big": 60, "small": 20})
}

// TestIdleTeamAccumulatesNoCredit checks that a team that had nothing waiting
// is not served ahead of the others for the time that it was idle.
func TestIdleTeamAccumulatesNoCredit(t *testing.T) {
	q := New(TeamConfig{Weight: 1}, 0)
	q.SetTeamConfig("a", TeamConfig{Weight: 1})
	q.SetTeamConfig("b", TeamConfig{Weight: 1})
	push := func(team string) { _, err := q.Push(&Item{Team: team, Cost: 1}); assert.NilError(t, err) }
	for range 50 {
		push("a")
		serveNext(q)
	}
	for range 10 {
		push("a")
		push("b")
	}
	served := map[string]int{}
	for range 10 {
		served[serveNext(q).Team]++
	}
	assert.Assert(t, served["a"] >= 4, "%v", served)
}

func TestBest(t *testing.T) {
	q := New(TeamConfig{Weight: 1}, 0)
	var items []*Item
	for i := range 4 {
		item := &Item{Cost: 1, Value: float64(i)}
		items = append(items, item)
		_, err := q.Push(item)
		assert.NilError(t, err)
	}
	highest := q.Best(0, func(i *Item) float64 { return i.Value.(float64) })
	assert.Equal(t, highest, items[3])
	passed := q.Best(0, func(i *Item) float64 { return 1 - i.Value.(float64) })
	assert.Equal(t, passed, items[0])
	assert.Assert(t, q.Best(0, func(*Item) float64 { return -1 }) == nil)
	assert.Assert(t, q.Best(1, equalRating) == nil)
}

func TestFullTeam(t *testing.T) {
	q := New(TeamConfig{Weight: 1}, 0)
	q.SetTeamConfig("a", TeamConfig{MaxRequests: 2, MaxBytes: 100})
	push := func(at tier.Tier, bytes int) ([]*Item, error) {
		return q.Push(&Item{Team: "a", Tier: at, Bytes: bytes})
	}
	_, err := push(2, 10)
	assert.NilError(t, err)
	_, err = push(2, 10)
	assert.NilError(t, err)
	_, err = push(2, 10)
	assert.Assert(t, errors.Is(err, ErrTeamFull))
	evicted, err := push(0, 85)
	assert.NilError(t, err)
	assert.Equal(t, len(evicted), 1)
	_, err = push(0, 101)
	assert.Assert(t, errors.Is(err, ErrTeamFull))
	assert.Equal(t, q.Len(), 2)
}

// TestOrderAndBounds checks with random operations that tiers have strict
// priority, that no team exceeds its limits, and that no item is lost or served
// twice.
func TestOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(TeamConfig{Weight: 1, MaxRequests: 5, MaxBytes: 50}, 0)
		q.SetTeamConfig("a", TeamConfig{Weight: 2, MaxRequests: 4, MaxBytes: 60})
		waiting := map[*Item]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "action") > 0 {
				item := &Item{
					Team: rapid.SampledFrom([]string{"a", "x", "y"}).Draw(t, "team"),
					Tier: tier.Tier(rapid.IntRange(0, 3).Draw(t, "tier")), Cost: 1,
					Bytes: rapid.IntRange(1, 30).Draw(t, "bytes"), EnqueuedAt: time.Unix(int64(i), 0),
				}
				push(t, q, waiting, item)
			} else if item := serveNext(q); item != nil {
				for other := range waiting {
					if other.Tier < item.Tier {
						t.Fatalf("tier %d served before tier %d", item.Tier, other.Tier)
					}
				}
				if !waiting[item] {
					t.Fatal("served an item that is not waiting")
				}
				delete(waiting, item)
			}
			check(t, q, waiting)
		}
	})
}

func push(t *rapid.T, q *Queue, waiting map[*Item]bool, item *Item) {
	evicted, err := q.Push(item)
	if err != nil {
		return
	}
	waiting[item] = true
	for _, old := range evicted {
		if old.Tier <= item.Tier || !waiting[old] {
			t.Fatalf("evicted tier %d for tier %d", old.Tier, item.Tier)
		}
		delete(waiting, old)
	}
}

func check(t *rapid.T, q *Queue, waiting map[*Item]bool) {
	count, bytes := map[string]int{}, map[string]int{}
	for item := range waiting {
		count[item.Team]++
		bytes[item.Team] += item.Bytes
	}
	if q.Len() != len(waiting) || count["a"] > 4 || bytes["a"] > 60 || count[""] > 5 || bytes[""] > 50 {
		t.Fatal(fmt.Sprint("items lost or team limits exceeded: ", q.Len(), count, bytes))
	}
}
