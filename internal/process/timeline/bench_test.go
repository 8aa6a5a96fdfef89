package timeline_test

import (
	"fmt"
	"runtime"
	"testing"

	"mustarddoor/internal/process/timeline"
)

// benchEvent returns an event of typical size with a unique request key.
func benchEvent(i int) timeline.Event {
	return timeline.Event{
		Kind:    timeline.RequestDispatched,
		Request: fmt.Sprintf("host-1@kx81ab2c.host-2@kx81ab2d.%d.kx81ab2e/order-%d", i, i),
		Service: "llm", Tier: "urgent", Rank: 1, Team: "team", Endpoint: "endpoint-1", Domain: "north", Version: "v1",
	}
}

// BenchmarkRecord measures the cost of one event, recorded by one goroutine and
// by several in parallel.
func BenchmarkRecord(b *testing.B) {
	event := benchEvent(1)
	b.Run("serial", func(b *testing.B) {
		b.ReportAllocs()
		ring := newRing("a", 0)
		for b.Loop() {
			ring.Record(event)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		ring := newRing("a", 0)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				ring.Record(event)
			}
		})
	})
}

// BenchmarkMemory measures the memory of a full ring for several capacities.
func BenchmarkMemory(b *testing.B) {
	for _, capacity := range []int{1 << 10, 1 << 12, 1 << 14} {
		b.Run(fmt.Sprintf("events=%d", capacity), func(b *testing.B) {
			var ringBytes float64
			for b.Loop() {
				before := heapBytes()
				ring := newRing("a", capacity)
				for i := range 2 * capacity {
					ring.Record(benchEvent(i))
				}
				ringBytes = float64(heapBytes()) - float64(before)
				runtime.KeepAlive(ring)
			}
			b.ReportMetric(ringBytes, "B/ring")
			b.ReportMetric(ringBytes/float64(capacity), "B/event")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
