package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/choose"
)

func TestOversubscription(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                             string
		slotTime, loadAge, targetLatency time.Duration
		want                             int
	}{
		{"load reports newer than the slot time", 30 * ms, 20 * ms, 150 * ms, 0},
		{"a single host", 30 * ms, 0, 150 * ms, 0},
		{"load reports older than the slot time", 30 * ms, 160 * ms, 150 * ms, 6},
		{"slow endpoints", 60 * ms, 160 * ms, 150 * ms, 3},
		{"queued requests would be late", 100 * ms, 160 * ms, 150 * ms, 0},
		{"at most as many extra requests as slots", 1 * ms, 160 * ms, 10000 * ms, 6},
		{"unknown slot time", 0, 160 * ms, 150 * ms, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, choose.Oversubscription(6, test.slotTime, test.loadAge, test.targetLatency), test.want)
		})
	}
}

// TestShortRequestsFromManyHosts guards against refusals while endpoints are
// idle. It simulates three small endpoints and 61 hosts with requests of 30 ms,
// load reports up to 160 ms old, and every half second a short burst above the
// capacity of the slots. On average, three quarters of the slots are enough.
// Without oversubscription, a host with a queued request expects only its own
// share of the slots, which is less than one, and refuses further requests.
func TestShortRequestsFromManyHosts(t *testing.T) {
	const loadAge, slotTime, targetLatency = 160 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond
	without := simulateBursts(0, loadAge, slotTime, targetLatency)
	with := simulateBursts(choose.Oversubscription(simSlots, slotTime, loadAge, targetLatency), loadAge, slotTime, targetLatency)
	t.Logf("on time: %.3f without oversubscription, %.3f with it", without, with)
	assert.Assert(t, with >= 0.95, "%.3f on time with oversubscription", with)
	assert.Assert(t, 1-with <= (1-without)/2, "%.3f on time with oversubscription, %.3f without", with, without)
}

const (
	simSlots, simEndpoints, simHosts = 6, 3, 61
	simTick                          = time.Millisecond
	simTicks                         = 10000
)

// offeredLoad returns the arriving work relative to the capacity of the slots.
func offeredLoad(tick int) float64 {
	if tick%500 < 200 {
		return 1.3
	}
	return 0.4
}

// simulateBursts returns the share of requests that are on time.
func simulateBursts(extraSlots int, loadAge, slotTime, targetLatency time.Duration) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var history [simEndpoints][simTicks]int
	var completions [simEndpoints][]int // completion times of running requests, in ticks
	var queues [simHosts]admission.Queue
	offered, onTime := 0, 0
	// place sends a request that arrived at the given tick, if the host sees a
	// free slot.
	place := func(arrived, now int) bool {
		candidates := make([]choose.Candidate, simEndpoints)
		for e := range candidates {
			reportedAt := max(now-random.IntN(int(loadAge/simTick)), 0)
			candidates[e] = choose.Candidate{Slots: simSlots + extraSlots, Busy: history[e][reportedAt], BaseLatency: slotTime}
		}
		e := choose.Pick(candidates, choose.Demand{TargetLatency: targetLatency}, random.Float64())
		if e < 0 {
			return false
		}
		begin := now
		if n := len(completions[e]); n >= simSlots {
			begin = max(begin, completions[e][n-simSlots])
		}
		end := begin + int(slotTime/simTick)
		completions[e] = append(completions[e], end)
		if time.Duration(end-arrived)*simTick <= targetLatency {
			onTime++
		}
		return true
	}
	start := time.Unix(0, 0)
	for now := range simTicks {
		at := start.Add(time.Duration(now) * simTick)
		for e := range completions {
			for len(completions[e]) > 0 && completions[e][0] <= now {
				completions[e] = completions[e][1:]
			}
			history[e][now] = len(completions[e])
		}
		contending := 0
		for h := range queues {
			queues[h].Expire(at)
			if next := queues[h].Peek(); next != nil && place(next.Data.(int), now) {
				queues[h].Remove(next)
			}
			if queues[h].Len() > 0 {
				contending++
			}
		}
		perTick := offeredLoad(now) * simSlots * simEndpoints * float64(simTick) / float64(slotTime)
		for ; random.Float64() < perTick; perTick-- {
			offered++
			queue := &queues[random.IntN(simHosts)]
			if queue.Len() == 0 && place(now, now) {
				continue
			}
			demand := admission.Demand{Rank: 2, TargetLatency: targetLatency, FirstResponseTime: slotTime, AbandonTimeout: time.Second, TimeLeft: time.Second, SlotTime: slotTime}
			supply := admission.Capacity{Slots: simSlots * simEndpoints / float64(contending+1), Jitter: random.Float64()}
			if verdict := admission.Decide(demand, queue, supply, at); verdict.Waiter != nil {
				verdict.Waiter.Data = now
				queue.Push(verdict.Waiter)
			}
		}
	}
	return float64(onTime) / float64(offered)
}
