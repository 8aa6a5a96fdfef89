package scheduler

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/slot"
	"mustarddoor/internal/request/tier"
)

// testPool returns a pool in which every endpoint has free local slots.
func testPool(now time.Time, size int) (*Pool, *PrefixIndex) {
	index := NewPrefixIndex(now)
	var endpoints []Endpoint
	for i := range size {
		name := fmt.Sprintf("e%04d", i)
		holder := slot.NewHolder(name, identity.Incarnation{Host: "h", Number: 1}, now)
		holder.Follow(1)
		holder.Report(now, slot.Demand{})
		holder.ApplyGrant(now, slot.Grant{Fence: 1, Number: 1, Sequence: 1, Slots: 8, Unused: 8, Floor: tier.Lowest})
		endpoints = append(endpoints, Endpoint{
			ID: uint16(i), Name: name, Version: "v1",
			LocalSlots: &holder.LocalSlots, Live: NewLiveStats(float64(3000+i%5*1000), 40, now),
		})
	}
	return NewPool(endpoints, index), index
}

const (
	benchThreads   = 4
	benchDecisions = 100000
)

// BenchmarkDecision makes decisions on one snapshot from several goroutines
// concurrently and reports the time of one decision on its goroutine.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{23, 130, 425, 1400} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			now := time.Now()
			pool, index := testPool(now, size)
			prefixes := []Prefix{{Hash: 1, Tokens: 200}, {Hash: 2, Tokens: 800}, {Hash: 3, Tokens: 2000}}
			for i := range 6 {
				index.Add(now, uint16(i*3), prefixes[i%3].Hash)
			}
			request := Request{
				Version: "v1", PromptTokens: 2500, OutputTokens: 100, Prefixes: prefixes,
				Deadline: now.Add(time.Minute), Avoid: NoEndpoint, Random: 1,
			}
			allocations := testing.AllocsPerRun(1000, func() { pool.Decide(now, &request) })
			for b.Loop() {
				var all sync.WaitGroup
				for range benchThreads {
					all.Go(func() { decideMany(b, pool, now, request) })
				}
				all.Wait()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchDecisions), "ns/decision")
			b.ReportMetric(allocations, "allocs/decision")
		})
	}
}

func decideMany(b *testing.B, pool *Pool, now time.Time, request Request) {
	for range benchDecisions {
		request.Random = request.Random*6364136223846793005 + 1442695040888963407
		if pool.Decide(now, &request).Action != ActionDispatch {
			b.Error("request was not dispatched")
			return
		}
	}
}
