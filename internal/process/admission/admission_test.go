package admission_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustarddoor/internal/process/admission"
)

var start = time.Unix(1_700_000_000, 0)

// demand returns a typical request of a rank.
func demand(rank int) admission.Demand {
	d := admission.Demand{
		Rank: rank, TargetLatency: 400 * time.Millisecond, FirstResponseTime: 40 * time.Millisecond,
		AbandonTimeout: 3200 * time.Millisecond, TimeLeft: 10 * time.Second, SlotTime: 800 * time.Millisecond,
		MeanSlotTime: 800 * time.Millisecond, Kind: strconv.Itoa(rank),
	}
	if rank == 0 {
		d.TargetLatency, d.FirstResponseTime = 800*time.Millisecond, 120*time.Millisecond
	}
	return d
}

// TestBurst simulates an overload: for 2.5 s, twice as much work arrives as the
// slots can do. Admitted requests must be on time, nearly all of the most
// urgent ones admitted and no other rank starved. Callers that come back after
// a refusal must be served once there is capacity.
func TestBurst(t *testing.T) {
	const slots, tick = 20.0, 5 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	queue := &admission.Queue{}
	var offered, admitted, late [3]int
	type retry struct {
		at   time.Time
		rank int
	}
	var retries []retry
	availableWork := 0.0
	served := map[bool]int{}
	arrive := func(d admission.Demand, now time.Time) {
		if !d.PreviouslyRefused {
			queue.Shares.RecordAsked(d.Kind, d.Rank, d.MeanSlotTime, now)
		}
		v := admission.Decide(d, queue, admission.Capacity{Slots: slots, Jitter: random.Float64()}, now)
		switch {
		case v.Waiter != nil:
			v.Waiter.Data = d
			queue.Push(v.Waiter)
		case !d.PreviouslyRefused:
			retries = append(retries, retry{now.Add(v.RetryAfter), d.Rank})
		}
	}
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(tick) {
		rate := 20.0 // requests per second; the slots serve 25 with the mean slot time
		if elapsed := now.Sub(start); elapsed > time.Second && elapsed < 3500*time.Millisecond {
			rate = 50
		}
		for _, rank := range []int{0, 1, 1, 2, 2} {
			if random.Float64() < rate/5*tick.Seconds() {
				offered[rank]++
				arrive(demand(rank), now)
			}
		}
		for i := 0; i < len(retries); i++ {
			if r := retries[i]; !r.at.After(now) {
				d := demand(r.rank)
				d.PreviouslyRefused, d.TimeLeft = true, 7*time.Second
				arrive(d, now)
				retries = append(retries[:i], retries[i+1:]...)
				i--
			}
		}
		queue.Expire(now)
		availableWork = min(availableWork+slots*tick.Seconds(), 2)
		for next := queue.Peek(); next != nil && availableWork >= next.SlotTime.Seconds(); next = queue.Peek() {
			queue.Remove(next)
			availableWork -= next.SlotTime.Seconds()
			d := next.Data.(admission.Demand)
			served[d.PreviouslyRefused]++
			queue.Shares.RecordServed(d.Kind, d.SlotTime, now)
			if d.PreviouslyRefused {
				continue
			}
			admitted[d.Rank]++
			if now.After(next.StartBy) {
				late[d.Rank]++
			}
		}
	}
	for rank := range offered {
		assert.Assert(t, late[rank]*10 <= admitted[rank], "rank %d: %d of %d late", rank, late[rank], admitted[rank])
		assert.Assert(t, admitted[rank]*4 >= offered[rank], "rank %d starved: %d of %d admitted", rank, admitted[rank], offered[rank])
	}
	assert.Assert(t, admitted[0]*10 >= offered[0]*9, "most urgent rank: %d of %d admitted", admitted[0], offered[0])
	assert.Assert(t, served[true] > 0)
}

// Refused callers come back at times that are spread out, early enough for them
// to comply, and late enough to be told from new callers.
func TestRetryDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(0, int64(12*time.Second)).Draw(t, "left"))
		wait := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "wait"))
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		got := admission.RetryDelay(left, wait, draw)
		if got > left/3+1 {
			t.Fatalf("retry delay of %v is too long for %v left", got, left)
		}
		if got < time.Duration(0.159*float64(left)) {
			t.Fatalf("retry delay of %v is too short for %v left", got, left)
		}
	})
}

// Urgent requests on time come first, then those worth most for their slot time;
// equal ones in the order of their latest start times.
func TestOrder(t *testing.T) {
	queue := &admission.Queue{}
	push := func(name string, rank int, late bool, slotTime, startBy time.Duration) {
		queue.Push(&admission.Waiter{Urgent: rank == 0, Late: late, Value: admission.Value(rank, late, slotTime), StartBy: start.Add(startBy), SlotTime: time.Second, Data: name})
	}
	push("long low rank", 2, false, time.Second, 0)
	push("second", 1, false, time.Second, 20)
	push("first", 1, false, time.Second, 10)
	push("late", 1, true, time.Second, 0)
	push("short low rank", 2, false, 100*time.Millisecond, 30)
	push("urgent late", 0, true, 500*time.Millisecond, 15)
	push("urgent", 0, false, 10*time.Second, 99)
	var got []string
	for next := queue.Peek(); next != nil; next = queue.Peek() {
		assert.Assert(t, queue.Remove(next))
		assert.Assert(t, !queue.Remove(next))
		got = append(got, next.Data.(string))
	}
	assert.DeepEqual(t, got, []string{"urgent", "short low rank", "urgent late", "first", "second", "long low rank", "late"})
}

// The slot time ahead of a request is that of the requests that it does not
// precede.
func TestSlotTimeAhead(t *testing.T) {
	queue := &admission.Queue{}
	waiter := func(rank int, late bool) *admission.Waiter {
		return &admission.Waiter{Urgent: rank == 0, Late: late, Value: admission.Value(rank, late, time.Second), SlotTime: time.Second, ExpiresAt: start}
	}
	for _, w := range []*admission.Waiter{waiter(0, false), waiter(1, false), waiter(0, true), waiter(1, true)} {
		queue.Push(w)
	}
	assert.Equal(t, queue.SlotTimeAhead(waiter(0, false)), time.Second)
	assert.Equal(t, queue.SlotTimeAhead(waiter(1, false)), 2*time.Second)
	assert.Equal(t, queue.SlotTimeAhead(waiter(0, true)), 3*time.Second)
	assert.Equal(t, queue.SlotTimeAhead(waiter(1, true)), 4*time.Second)
	assert.Equal(t, len(queue.Expire(start)), 4)
	assert.Equal(t, queue.SlotTimeAhead(waiter(1, true)), time.Duration(0))
}

// Without usable slots, every request is refused.
func TestNoSlots(t *testing.T) {
	v := admission.Decide(demand(0), &admission.Queue{}, admission.Capacity{}, start)
	assert.Assert(t, v.Waiter == nil)
	assert.Assert(t, v.RetryAfter > 0)
}

// An urgent request with a prompt too large to meet its target latency is still
// queued; one of another rank is refused.
func TestUnattainableTarget(t *testing.T) {
	for rank, want := range []bool{true, false} {
		d := demand(rank)
		d.FirstResponseTime = d.TargetLatency * 2
		v := admission.Decide(d, &admission.Queue{}, admission.Capacity{Slots: 20}, start)
		assert.Equal(t, v.Waiter != nil, want)
	}
}

// The heads of a queue are the first of each kind, and the first of them is the next.
func TestHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &admission.Queue{}
		for range rapid.IntRange(0, 30).Draw(t, "waiters") {
			d := demand(rapid.IntRange(0, 2).Draw(t, "rank"))
			d.OverShare = rapid.Bool().Draw(t, "over share")
			queue.Push(admission.NewWaiter(d, rapid.Bool().Draw(t, "late"), queue, start))
		}
		heads := queue.Heads()
		var inOrder []*admission.Waiter
		seen := map[string]bool{}
		for next := queue.Peek(); next != nil; next = queue.Peek() {
			queue.Remove(next)
			if !seen[next.Kind] {
				inOrder = append(inOrder, next)
				seen[next.Kind] = true
			}
		}
		assert.Equal(t, len(heads), len(inOrder))
		for i := range heads {
			assert.Assert(t, heads[i] == inOrder[i])
		}
	})
}
