package member_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"mustarddoor/internal/process/member"
)

const (
	// headerBytes is the size of the IPv4 and UDP headers.
	headerBytes  = 28
	measuredTime = time.Minute
)

// benchSizes are the fleet sizes for which costs are measured, to show how they
// grow.
var benchSizes = []int{3, 9, 30, 100, 330}

func benchNetwork(b *testing.B, seed uint64, count int) *network {
	w := newNetwork(seed)
	w.startHosts(count, nil)
	w.mustConverge(b, 2*time.Minute)
	w.run(30 * time.Second)
	return w
}

// BenchmarkControl measures the cost of membership per host in a fleet without
// changes.
func BenchmarkControl(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			var bytes, messages, micros, held float64
			for i := range b.N {
				before := heapBytes()
				w := benchNetwork(b, uint64(i), count)
				// After a whole fleet has started, it takes time proportional
				// to its size until all broadcasts have been sent.
				w.run(time.Duration(count) * time.Second)
				held += (heapBytes() - before) / float64(count)
				w.sentBytes, w.sentMessages = 0, 0
				begin := time.Now()
				w.run(measuredTime)
				hostSeconds := float64(count) * measuredTime.Seconds()
				micros += float64(time.Since(begin).Microseconds()) / hostSeconds
				messages += float64(w.sentMessages) / hostSeconds
				bytes += float64(w.sentBytes+headerBytes*w.sentMessages) / hostSeconds
			}
			runs := float64(b.N)
			b.ReportMetric(bytes/runs, "B/s/host")
			b.ReportMetric(messages/runs, "datagrams/s/host")
			b.ReportMetric(micros/runs, "µs-cpu/s/host")
			b.ReportMetric(held/runs/1024, "KiB/host")
		})
	}
}

// BenchmarkChurn measures the same while a host is replaced every ten seconds,
// far more often than in normal operation.
func BenchmarkChurn(b *testing.B) {
	const replaceEvery = 10 * time.Second
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			var bytes float64
			for i := range b.N {
				w := benchNetwork(b, uint64(i), count)
				w.sentBytes, w.sentMessages = 0, 0
				for number := uint64(2); number < 2+uint64(measuredTime/replaceEvery); number++ {
					at := w.random.IntN(count)
					w.start(fmt.Sprintf("host-%d", at), address(at), number, nil)
					w.run(replaceEvery)
				}
				hostSeconds := float64(count) * measuredTime.Seconds()
				bytes += float64(w.sentBytes+headerBytes*w.sentMessages) / hostSeconds
			}
			b.ReportMetric(bytes/float64(b.N), "B/s/host")
		})
	}
}

// BenchmarkDetection measures the time from a kill until the first and the last
// of the other hosts suspect the host, and until all have declared it dead.
func BenchmarkDetection(b *testing.B) {
	const kills = 100
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			repeats := max(3, kills/count)
			var first, last, dead []time.Duration
			for i := range b.N * repeats {
				w := benchNetwork(b, uint64(i), count)
				w.run(time.Duration(w.random.Int64N(int64(time.Second))))
				victim := w.nodes[address(w.random.IntN(count))]
				killedAt := w.now
				w.kill(victim)
				suspects, deaths := w.count(victim)
				w.runUntil(measuredTime, func() bool { return *suspects > 0 })
				first = append(first, w.now-killedAt)
				w.runUntil(measuredTime, func() bool { return *suspects == count-1 })
				last = append(last, w.now-killedAt)
				w.runUntil(measuredTime, func() bool { return *deaths == count-1 })
				dead = append(dead, w.now-killedAt)
			}
			report(b, "first", first)
			report(b, "all", last)
			report(b, "dead", dead)
		})
	}
}

// BenchmarkRegions cuts off a quarter of the hosts for three minutes. It
// measures the bytes sent meanwhile and the time from the end of the cut until
// all views are complete.
func BenchmarkRegions(b *testing.B) {
	const (
		regions = 4
		cutTime = 3 * time.Minute
	)
	for _, count := range []int{9, 30, 100, 330} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for i := range b.N {
				w := benchNetwork(b, uint64(i), count)
				w.sentBytes, w.sentMessages = 0, 0
				for here := range count {
					for there := range count {
						if (here%regions == 0) != (there%regions == 0) {
							w.cuts[direction{address(here), address(there)}] = true
						}
					}
				}
				w.run(cutTime)
				hostSeconds := float64(count) * cutTime.Seconds()
				b.ReportMetric(float64(w.sentBytes+headerBytes*w.sentMessages)/hostSeconds, "B/s/host")
				clear(w.cuts)
				w.sentBytes, w.sentMessages = 0, 0
				cutEnd := w.now
				w.mustConverge(b, 5*time.Minute)
				recovery := (w.now - cutEnd).Seconds()
				b.ReportMetric(recovery, "heal-s")
				b.ReportMetric(float64(w.sentBytes+headerBytes*w.sentMessages)/float64(count)/1024, "heal-KiB/host")
			}
		})
	}
}

// BenchmarkLoss counts suspicions of live hosts in ten minutes with 30% message
// loss.
func BenchmarkLoss(b *testing.B) {
	for _, count := range []int{3, 9, 30, 100} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			suspicions, bytes := 0, 0.0
			for i := range b.N {
				w := benchNetwork(b, uint64(i), count)
				w.loss = 0.3
				w.sentBytes, w.sentMessages = 0, 0
				w.observe = func(_ *node, change member.Change) {
					if change.Member.State != member.StateAlive {
						suspicions++
					}
				}
				w.run(10 * time.Minute)
				bytes += float64(w.sentBytes+headerBytes*w.sentMessages) / (600 * float64(count))
			}
			b.ReportMetric(float64(suspicions), "suspicions")
			b.ReportMetric(bytes/float64(b.N), "B/s/host")
		})
	}
}

// count counts the hosts that suspect the victim and those that declare it
// dead.
func (w *network) count(victim *node) (suspects, deaths *int) {
	suspects, deaths = new(int), new(int)
	w.observe = func(_ *node, change member.Change) {
		if change.Member.Incarnation != victim.host.Incarnation {
			return
		}
		if change.Before.State == member.StateAlive {
			*suspects++
		}
		if change.Member.State == member.StateDead {
			*deaths++
		}
	}
	return suspects, deaths
}

func report(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), name+"-p50-s")
	b.ReportMetric(times[len(times)-1].Seconds(), name+"-max-s")
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
