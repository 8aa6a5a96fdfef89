package mesh_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkCall measures calls over loopback for several numbers of concurrent
// callers.
func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			here, there := startPeer(b, "a", nil), startPeer(b, "b", nil)
			measure(b, callers, func() error {
				var reply echo
				return here.client.Call(context.Background(), there.address, kindEcho, echo{Text: "0123456789"}, &reply)
			})
			frames := here.count("sent_frames")
			b.ReportMetric(float64(here.count("sent_bytes"))/float64(frames), "B/call")
		})
	}
}

// BenchmarkLinks measures the memory of an idle connection, both ends together.
func BenchmarkLinks(b *testing.B) {
	for _, count := range []int{10, 40, 160} {
		b.Run(fmt.Sprintf("links=%d", count), func(b *testing.B) {
			here := startPeer(b, "a", nil)
			var peers []*peer
			for range count {
				peers = append(peers, startPeer(b, "b", nil))
			}
			for range b.N {
				before := memoryBytes()
				for _, there := range peers {
					if err := here.client.Call(context.Background(), there.address, kindEcho, echo{}, &echo{}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((memoryBytes()-before)/float64(count)/1024, "KiB/link")
			}
		})
	}
}

// memoryBytes returns the memory in use by the heap and the stacks.
func memoryBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// measure runs calls from concurrent callers and reports their latencies.
func measure(b *testing.B, callers int, call func() error) {
	const warmUp = 100
	for range warmUp {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	latencies := make([][]time.Duration, callers)
	perCaller := b.N/callers + 1
	b.ResetTimer()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for range perCaller {
				begin := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(begin))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}
