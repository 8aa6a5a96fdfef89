package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// maxStoppedRatio is the ratio of the hosts that a series stops.
const maxStoppedRatio = 0.34

// halt suspends a host's process for a moment.
func (f *fleet) halt(h *host, duration time.Duration) {
	defer f.record.BeginPause(h.number)()
	f.sendSignal(h, syscall.SIGSTOP)
	time.Sleep(duration)
	f.sendSignal(h, syscall.SIGCONT)
}

// stopInSeries stops hosts one after another with a delay between them, while their
// callers go on to the next one.
func (f *fleet) stopInSeries(ctx context.Context, fault Fault) {
	f.followers.Add(1)
	defer f.followers.Add(-1)
	var stops sync.WaitGroup
	defer stops.Wait()
	for n := range 1 + int(float64(len(f.hosts))*maxStoppedRatio) {
		h := f.hosts[(fault.Target+n)%len(f.hosts)]
		stops.Go(func() { f.injectProcessFault(ctx, h, Fault{Kind: HostStop}) })
		time.Sleep(fault.Duration)
	}
}
