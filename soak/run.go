package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mustarddoor/platform/standin"
)

// checkInterval is the time between two checks while a run goes on.
const checkInterval = time.Second

// probers is the number of the first caller that asks whether all is well again.
const probers = 0x8000

// Options are what a run is made of.
type Options struct {
	Seed    uint64
	Size    Size
	Program Program
	// Dir takes settings and logs.
	Dir string
}

// Report is how a run went.
type Report struct {
	Seed   uint64
	Plan   []Fault
	Breaks []Break
	// Asked, Served and Left count requests; Left those that callers gave up.
	Asked, Served, Left int
}

// Play plays the plan of a seed. It fails if the fleet cannot be started.
func Play(ctx context.Context, options Options) (Report, error) {
	report := Report{Seed: options.Seed, Plan: NewPlan(options.Seed, options.Size)}
	f, err := newFleet(ctx, options)
	defer f.close()
	if err != nil {
		return report, err
	}
	// The first break ends the traffic.
	traffic, end := context.WithCancel(ctx)
	defer end()
	var callers, others sync.WaitGroup
	for _, c := range f.callers(options) {
		callers.Go(func() { c.run(traffic) })
	}
	others.Go(func() { f.watch(traffic, end) })
	f.play(traffic, report.Plan)
	recovery := f.recover(traffic)
	end()
	callers.Wait()
	others.Wait()
	f.stopAll()
	seen := f.record.Seen()
	report.Breaks = append(Check(seen), recovery...)
	report.count(seen)
	return report, nil
}

// play injects the faults and returns when the last one is over.
func (f *fleet) play(ctx context.Context, plan []Fault) {
	begin := time.Now()
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, fault := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(fault.At))):
		}
		faults.Go(func() { f.inject(ctx, fault) })
	}
}

// watch checks the rules until one is broken.
func (f *fleet) watch(ctx context.Context, end func()) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if len(Check(f.record.Seen())) > 0 {
			end()
			return
		}
	}
}

// recover waits until all hosts serve all routes again, and tells which don't
// in time.
func (f *fleet) recover(ctx context.Context) []Break {
	begin := time.Now()
	var breaks []Break
	for _, h := range f.hosts {
		// Its ids must differ from those of the other callers.
		prober := &caller{number: probers + h.number, record: f.record}
		for _, m := range mix {
			err := f.serves(ctx, h, prober, m.route, begin.Add(readyBound))
			if err != nil && ctx.Err() == nil {
				breaks = append(breaks, Break{"recover", fmt.Sprintf("host %d, %s: %v", h.number, m.route, err), time.Now()})
			}
		}
	}
	return breaks
}

// serves asks a host on a route until it gets an answer.
func (f *fleet) serves(ctx context.Context, h *host, prober *caller, route string, until time.Time) error {
	client := standin.NewClient(h.front.Address)
	defer client.Close()
	for {
		reply := prober.send(ctx, client, h.number, route)
		if reply.Err == nil && reply.Status == http.StatusOK {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return fmt.Errorf("status %d after %v: %w", reply.Status, readyBound, reply.Err)
		}
		client.Close()
		time.Sleep(readyInterval)
	}
}

// stopAll stops all hosts at once, as the platform does.
func (f *fleet) stopAll() {
	var stops sync.WaitGroup
	for _, h := range f.hosts {
		stops.Go(func() {
			h.life.Lock()
			defer h.life.Unlock()
			f.record.Stopped(h.stop())
		})
	}
	stops.Wait()
}

func (r *Report) count(seen Seen) {
	r.Asked = len(seen.Asks)
	for _, ask := range seen.Asks {
		if ask.Left {
			r.Left++
		} else if ask.Reply.Err == nil && ask.Reply.Status == http.StatusOK {
			r.Served++
		}
	}
}

// String tells how the run went; of a run with breaks also what was injected.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d requests, %d served, %d given up, %d breaks",
		r.Seed, len(r.Plan), r.Asked, r.Served, r.Left, len(r.Breaks))
	if len(r.Breaks) == 0 {
		return text
	}
	for _, b := range r.Breaks {
		text += "\n  " + b.String()
	}
	for _, fault := range r.Plan {
		text += "\n  " + fault.String()
	}
	return text
}
