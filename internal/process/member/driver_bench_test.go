package member_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// BenchmarkDriver measures hosts that run in one process over UDP on loopback:
// processor time, including system calls, and memory.
func BenchmarkDriver(b *testing.B) {
	const watched = 5 * time.Second
	for _, count := range []int{3, 9, 30} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			before := heapBytes()
			var hosts []*testHost
			for i := range count {
				seeds := []string{}
				if i > 0 {
					seeds = append(seeds, hosts[0].self.MeshAddress)
				}
				hosts = append(hosts, startTestHost(b, fmt.Sprintf("host-%d", i), 1, freeAddress(b), seeds...))
			}
			for i := range count {
				hosts[0].waitForState(b, fmt.Sprintf("host-%d", i), 1)
			}
			for b.Loop() {
				start := processorTime()
				time.Sleep(watched)
				spent := processorTime() - start
				b.ReportMetric(float64(spent.Microseconds())/(watched.Seconds()*float64(count)), "µs-cpu/s/host")
			}
			b.ReportMetric((heapBytes()-before)/float64(count)/1024, "KiB/host")
		})
	}
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
