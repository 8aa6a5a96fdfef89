package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/peers"
)

// duties gives this host its part in the singleton duties. A nil value has none.
type duties struct {
	gateway *Gateway
	lease   *duty.Lease
	clock   *duty.Clock
	usage   *usageReports
}

// defaultLeaseDuration applies if the settings name none.
const defaultLeaseDuration = 3 * time.Second

// newDuties returns nil unless the settings call for duties.
func newDuties(g *Gateway) *duties {
	settings := g.settings.Duties
	if !settings.ReportsUsage && !settings.OrdersEndpoints || g.ports.Duties == nil || g.ports.Topics.Duties == "" {
		return nil
	}
	if settings.LeaseDuration <= 0 {
		settings.LeaseDuration = defaultLeaseDuration
	}
	boot := newBootClock()
	d := &duties{gateway: g, clock: duty.NewClock(boot, time.Now)}
	config := duty.Config{
		Holder: g.settings.Name, Incarnation: g.startedAt.UnixNano(),
		LeaseDuration: settings.LeaseDuration, IsFenced: settings.IsFenced,
	}
	d.lease = duty.NewLease(config, duty.Ports{
		Store: g.ports.Store, Partition: keyed.Partition{Topic: g.ports.Topics.Duties},
		Now:       func() time.Time { return time.Unix(0, 0).Add(boot()) },
		TimeOfDay: d.clock.Now, IsCandidate: d.isCandidate, Log: g.log.Entry(), Metrics: g.registry,
	})
	if settings.ReportsUsage && settings.UsageWindow > 0 && settings.UsageLateness > 0 {
		d.usage = newUsageReports(d, boot)
	}
	return d
}

// newBootClock returns a clock that counts the time in which the machine is suspended, or
// the monotonic clock if there is none.
func newBootClock() func() time.Duration {
	if _, err := sinceBoot(); err != nil {
		start := time.Now()
		return func() time.Duration { return time.Since(start) }
	}
	return func() time.Duration {
		// It does not fail after it has succeeded.
		now, _ := sinceBoot()
		return now
	}
}

// maxOverallCandidates is the number of candidates in addition to one of each failure
// domain.
const maxOverallCandidates = 2

// isCandidate reports whether this host takes over the duties if nobody holds them: it is
// the first of its failure domain, or among the first overall. Candidates read the topic.
func (d *duties) isCandidate() bool {
	g := d.gateway
	if g.uptime() < minWriterUptime || g.logAccess.isLost() {
		return false
	}
	overall, inDomain := g.membership.LeaderRanks(func(s peers.Status) bool {
		return !s.StoreUnavailable && s.Loaded && !s.Leaving
	}, g.membership.Now())
	return inDomain == 0 || overall < maxOverallCandidates
}

// DutyHolder returns access to the duties, or nil if the settings call for none.
func (g *Gateway) DutyHolder() duty.Holder {
	if g.duties == nil {
		return nil
	}
	return g.duties.lease
}

func (d *duties) addActors(add func(func(context.Context) error)) {
	if d == nil {
		return
	}
	add(d.lease.Run)
	if d.usage != nil {
		add(d.usage.collect)
		add(d.usage.report)
	}
}

func (d *duties) addHandlers(handler *http.ServeMux) {
	if d != nil && d.usage != nil {
		handler.HandleFunc("GET "+usageCountsPath, d.usage.serveCounts)
	}
}

// stop gives up the duties.
func (d *duties) stop() {
	if d != nil {
		d.lease.Stop()
	}
}

// countRun returns the function that counts requests, or nil.
func (d *duties) countRun() func(team string) {
	if d == nil || d.usage == nil {
		return nil
	}
	return d.usage.counter.Add
}

// countsUsage reports whether this host has counted requests that may not be reported yet.
func (d *duties) countsUsage() bool { return d != nil && d.usage != nil && d.usage.counter.HasRecent() }

// DutiesState is the state of the singleton duties as shown to operators.
type DutiesState struct {
	duty.Status
	// ReportedWindow is the last window whose usage this host has reported, 0 if none,
	// ReportedMillis the time since then in ms, -1 if there was none.
	ReportedWindow int64 `json:"reported_window"`
	ReportedMillis int64 `json:"reported_ms"`
	// MissedWindows is the number of windows that this host could not report in time.
	MissedWindows int64 `json:"missed_windows"`
}

func (d *duties) hostState() *DutiesState {
	if d == nil {
		return nil
	}
	state := &DutiesState{Status: d.lease.Status(), ReportedMillis: -1}
	if d.usage != nil {
		state.ReportedWindow, state.ReportedMillis = d.usage.lastReport()
		state.MissedWindows = d.usage.missed.Count()
	}
	return state
}

// every calls f at intervals until ctx is done.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	for pause.For(ctx, interval) {
		f(ctx)
	}
	return nil
}

// counter returns a counter of the duties.
func (d *duties) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("duties."+name, d.gateway.registry)
}
