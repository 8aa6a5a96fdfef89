package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"mustarddoor/platform/standin"
)

// checkInterval is the time between two evaluations of the rules during a run.
const checkInterval = time.Second

// firstProber is the first caller number of the probers that check recovery.
const firstProber = 0x8000

// Options configures a run.
type Options struct {
	Seed uint64
	Size Size
	Load Load
	// Programs are the builds of a host. Each start of a host's process takes the next
	// one, so that hosts of all builds run side by side.
	Programs []Program
	// Dir is the directory for settings and logs.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Plan       []Fault
	Violations []Violation
	// Requests, Served and Canceled count requests. Canceled counts those that their
	// callers gave up.
	Requests, Served, Canceled int
}

// Run carries out the plan of a seed. It returns an error if the fleet cannot be
// started.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{Seed: options.Seed}
	if options.Size.Changes == 0 {
		report.Plan = newFaults(options)
	}
	f, err := newFleet(ctx, options)
	defer f.close()
	if err != nil {
		return report, err
	}
	// The first violation stops the traffic.
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var callers, monitors sync.WaitGroup
	for _, c := range f.newCallers(options) {
		callers.Go(func() { c.run(trafficCtx) })
	}
	monitors.Go(func() { f.monitor(trafficCtx, stopTraffic) })
	f.injectAll(trafficCtx, report.Plan)
	grown, err := f.publishChanges(trafficCtx, options.Size.Changes)
	if err != nil {
		return report, err
	}
	recovery := append(grown, f.awaitRecovery(trafficCtx)...)
	stopTraffic()
	callers.Wait()
	monitors.Wait()
	f.stopAll()
	history := f.history()
	if history.InForce, err = f.versionsInForce(); err != nil {
		return report, err
	}
	report.Violations = append(Check(history), recovery...)
	report.countRequests(history)
	return report, nil
}

// newFaults returns the faults of a seed, in the order of their starts.
func newFaults(options Options) []Fault {
	seed, size := options.Seed, options.Size
	plan := slices.Concat(NewPlan(seed, size), newRequestFaults(seed, size), newStoreReturns(seed, size), newMachineFaults(seed, size), newReaderCuts(seed, size))
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.Start - b.Start) })
	return plan
}

// injectAll injects the faults and returns when the last one is over.
func (f *fleet) injectAll(ctx context.Context, plan []Fault) {
	start := time.Now()
	var faults sync.WaitGroup
	defer faults.Wait()
	for _, fault := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(fault.Start))):
		}
		faults.Go(func() { f.inject(ctx, fault) })
	}
}

// monitor evaluates the rules periodically and stops the traffic at the first
// violation.
func (f *fleet) monitor(ctx context.Context, stopTraffic func()) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if len(Check(f.history())) > 0 {
			stopTraffic()
			return
		}
	}
}

// awaitRecovery waits until all hosts serve all routes again, and returns a
// violation for each route of a host that is not served in time.
func (f *fleet) awaitRecovery(ctx context.Context) []Violation {
	deadline := time.Now().Add(maxRecoveryTime)
	violations := make([][]Violation, len(f.hosts))
	var hosts sync.WaitGroup
	for n, h := range f.hosts {
		hosts.Go(func() { violations[n] = f.awaitRoutes(ctx, h, deadline) })
	}
	hosts.Wait()
	return slices.Concat(violations...)
}

// awaitRoutes waits until a host serves all routes.
func (f *fleet) awaitRoutes(ctx context.Context, h *host, deadline time.Time) []Violation {
	var violations []Violation
	start := time.Now()
	// The prober's number makes its request IDs differ from those of the callers.
	prober := &caller{number: firstProber + h.number, record: f.record}
	for _, r := range routeMix {
		err := f.awaitRoute(ctx, h, prober, r.route, deadline)
		// An overloaded fleet may refuse the prober and serve others.
		if err != nil && ctx.Err() == nil && !f.record.HasServed(h.number, r.route, start) {
			violations = append(violations, Violation{"recover", fmt.Sprintf("host %d, %s: %v", h.number, r.route, err), time.Now()})
		}
	}
	return violations
}

// awaitRoute sends requests on a route to a host until one succeeds.
func (f *fleet) awaitRoute(ctx context.Context, h *host, prober *caller, route string, deadline time.Time) error {
	client := standin.NewClient(h.frontend.Address)
	defer client.Close()
	for {
		response := prober.send(ctx, client, h.number, route, plainVariant(route))
		if response.Err == nil && response.Status == http.StatusOK {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("status %d after %v: %v", response.Status, maxRecoveryTime, response.Err)
		}
		client.Close()
		time.Sleep(readyPollInterval)
	}
}

// stopAll stops all hosts at the same time, as the platform does.
func (f *fleet) stopAll() {
	var stops sync.WaitGroup
	for _, h := range f.hosts {
		stops.Go(func() {
			h.lifecycleMu.Lock()
			defer h.lifecycleMu.Unlock()
			f.record.AddStop(h.stop())
		})
	}
	stops.Wait()
}

func (r *Report) countRequests(history History) {
	r.Requests = len(history.Requests)
	for _, request := range history.Requests {
		if request.Canceled {
			r.Canceled++
		} else if request.Response.Err == nil && request.Response.Status == http.StatusOK {
			r.Served++
		}
	}
}

// String summarizes the run. If rules were violated, it lists the violations and
// the injected faults.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d requests, %d served, %d canceled, %d violations",
		r.Seed, len(r.Plan), r.Requests, r.Served, r.Canceled, len(r.Violations))
	if len(r.Violations) == 0 {
		return text
	}
	for _, v := range r.Violations {
		text += "\n  " + v.String()
	}
	for _, fault := range r.Plan {
		text += "\n  " + fault.String()
	}
	return text
}
