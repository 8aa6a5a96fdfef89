package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/choose"
)

func TestBeyond(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name           string
		work, age, aim time.Duration
		want           int
	}{
		{"the hosts know what is taken", 30 * ms, 20 * ms, 150 * ms, 0},
		{"a single host", 30 * ms, 0, 150 * ms, 0},
		{"news is older than the work", 30 * ms, 160 * ms, 150 * ms, 6},
		{"endpoints have become slow", 60 * ms, 160 * ms, 150 * ms, 3},
		{"waiting would make it late", 100 * ms, 160 * ms, 150 * ms, 0},
		{"never more than the slots again", 1 * ms, 160 * ms, 10000 * ms, 6},
		{"nothing learned", 0, 160 * ms, 150 * ms, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, choose.Beyond(6, test.work, test.age, test.aim), test.want)
		})
	}
}

// TestShortRequestsFromManyHosts replays orders at a service of three small
// endpoints: 61 hosts, requests of 30 ms, news that is up to 160 ms old, and
// every half second a short burst of more than the slots can do. On the whole
// three quarters of the slots are enough. Without the places beyond the slots,
// a host with a request that waits counts on its part of the slots only, which
// is less than one, and turns others away.
func TestShortRequestsFromManyHosts(t *testing.T) {
	const age, work, aim = 160 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond
	without := replayOrders(0, age, work, aim)
	with := replayOrders(choose.Beyond(replaySlots, work, age, aim), age, work, aim)
	t.Logf("on time: %.3f without, %.3f with", without, with)
	assert.Assert(t, with >= 0.95, "%.3f on time", with)
	assert.Assert(t, 1-with <= (1-without)/2, "%.3f on time, %.3f without", with, without)
}

const (
	replaySlots, replayEndpoints, replayHosts = 6, 3, 61
	replayTick                                = time.Millisecond
	replayTicks                               = 10000
)

// replayRate is the work that comes, as a part of what the slots can do.
func replayRate(tick int) float64 {
	if tick%500 < 200 {
		return 1.3
	}
	return 0.4
}

// replayOrders is the share of the requests that are on time.
func replayOrders(beyond int, age, work, aim time.Duration) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var history [replayEndpoints][replayTicks]int
	var ends [replayEndpoints][]int // when requests leave, in ticks
	var queues [replayHosts]admission.Queue
	asked, onTime := 0, 0
	// place sends a request that came at a tick, if its host sees room.
	place := func(came, now int) bool {
		candidates := make([]choose.Candidate, replayEndpoints)
		for e := range candidates {
			heard := max(now-random.IntN(int(age/replayTick)), 0)
			candidates[e] = choose.Candidate{Slots: replaySlots + beyond, Busy: history[e][heard], BaseTime: work}
		}
		e := choose.Pick(candidates, choose.Demand{Aim: aim}, random.Float64())
		if e < 0 {
			return false
		}
		begin := now
		if n := len(ends[e]); n >= replaySlots {
			begin = max(begin, ends[e][n-replaySlots])
		}
		end := begin + int(work/replayTick)
		ends[e] = append(ends[e], end)
		if time.Duration(end-came)*replayTick <= aim {
			onTime++
		}
		return true
	}
	start := time.Unix(0, 0)
	for now := range replayTicks {
		at := start.Add(time.Duration(now) * replayTick)
		for e := range ends {
			for len(ends[e]) > 0 && ends[e][0] <= now {
				ends[e] = ends[e][1:]
			}
			history[e][now] = len(ends[e])
		}
		rivals := 0
		for h := range queues {
			queues[h].Expire(at)
			if next := queues[h].Peek(); next != nil && place(next.Data.(int), now) {
				queues[h].Remove(next)
			}
			if queues[h].Len() > 0 {
				rivals++
			}
		}
		perTick := replayRate(now) * replaySlots * replayEndpoints * float64(replayTick) / float64(work)
		for ; random.Float64() < perTick; perTick-- {
			asked++
			queue := &queues[random.IntN(replayHosts)]
			if queue.Len() == 0 && place(now, now) {
				continue
			}
			demand := admission.Demand{Rank: 2, TargetLatency: aim, FirstResponseTime: work, AbandonTimeout: time.Second, TimeLeft: time.Second, SlotTime: work}
			supply := admission.Capacity{Slots: replaySlots * replayEndpoints / float64(rivals+1), Jitter: random.Float64()}
			if verdict := admission.Decide(demand, queue, supply, at); verdict.Waiter != nil {
				verdict.Waiter.Data = now
				queue.Push(verdict.Waiter)
			}
		}
	}
	return float64(onTime) / float64(asked)
}
