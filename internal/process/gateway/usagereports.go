package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/duty"
	"mustarddoor/internal/process/peers"
)

// usageReports counts the requests that begin to run at this host. While the host holds the
// duties, it collects the counts of all hosts and reports them to the platform.
type usageReports struct {
	duties  *duties
	boot    func() time.Duration
	counter *duty.Counter
	plan    duty.ReportPlan
	client  *http.Client

	missed, sent, failed metrics.Counter

	mu         sync.Mutex
	collection *duty.Collection
	// bases is what the other hosts are told of the agreed time.
	bases map[duty.Process]int64
	// answered is the last window whose report was accepted, at answeredAt.
	answered   int64
	answeredAt time.Time
	// retryAt is when the next call may be made after a failed one.
	retryAt time.Time
	// collectedAt is when the last round of the collection ended.
	collectedAt time.Time
	// reachedAt is when the holder last read another host, failingSince when its calls to
	// the platform began to fail; zero while they do not.
	reachedAt, failingSince time.Time
}

const (
	// usageCountsPath is where the holder of the duties fetches the hosts' counts.
	usageCountsPath = "/duties/usage"
	// dutyCheckInterval is the time between checks whether to collect or report.
	dutyCheckInterval = 100 * time.Millisecond
	// collectInterval is the time between the holder's rounds: what a host that dies has
	// counted since the last one is lost. clockInterval is the time between the rounds
	// of a host that may take over, which reads only the clocks.
	collectInterval = time.Second
	clockInterval   = 5 * time.Second
	// maxClockHosts is how many hosts the latter reads.
	maxClockHosts = 6
	// countsTimeout limits a call to another host, maxCountsBytes its reply.
	countsTimeout  = 400 * time.Millisecond
	maxCountsBytes = 1 << 20
	// maxCollectCalls limits the calls in progress.
	maxCollectCalls = 16
	// reportCallTimeout limits a call to the platform, reportRetryDelay is the delay
	// after a failed one.
	reportCallTimeout = 2 * time.Second
	reportRetryDelay  = 500 * time.Millisecond
	// maxFailing is how long a holder's calls to the platform may fail, or those to all
	// other hosts, until it lets another host try; yieldRest is how long it then rests.
	maxFailing = 4 * time.Second
	yieldRest  = 15 * time.Second
	// minKnownHosts is the number of hosts with counts of which a holder must reach one.
	minKnownHosts = 3
)

func newUsageReports(d *duties, boot func() time.Duration) *usageReports {
	settings := d.gateway.settings.Duties
	u := &usageReports{
		duties: d, boot: boot, plan: duty.ReportPlan{Length: settings.UsageWindow, Lateness: settings.UsageLateness},
		counter:    duty.NewCounter(settings.UsageWindow, settings.UsageLateness, d.clock.Now),
		collection: duty.NewCollection(settings.UsageWindow, settings.UsageLateness), bases: map[duty.Process]int64{},
		client: &http.Client{Timeout: countsTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}},
		missed: d.counter("windows_missed"), sent: d.counter("usage_reports"), failed: d.counter("usage_calls_failed"),
	}
	d.gateway.registry.GetOrRegister("duties.last_report_ms", metrics.NewFunctionalGauge(func() int64 {
		_, age := u.lastReport()
		return age
	}))
	return u
}

// usageCounts is a host's reply with its counts.
type usageCounts struct {
	Incarnation int64        `cbor:"1,keyasint"`
	Clocks      duty.Reading `cbor:"2,keyasint"`
	// Now is the agreed time as the host has it, in µs since the start of 1970.
	Now     int64               `cbor:"3,keyasint"`
	Windows []duty.WindowCounts `cbor:"4,keyasint,omitempty"`
}

// serveCounts serves this host's counts, and adopts the agreed time if the request has it.
func (u *usageReports) serveCounts(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	self := u.duties.gateway.self.Incarnation
	base, err := strconv.ParseInt(query.Get("base"), 10, 64)
	if err == nil && query.Get("incarnation") == strconv.FormatInt(self, 10) {
		u.duties.clock.Adopt(base)
	}
	// The counts may include what begins to run after now.
	reply := usageCounts{Incarnation: self, Clocks: u.duties.clock.Read(), Now: u.duties.clock.Now().UnixMicro()}
	reply.Windows = u.counter.Windows(from)
	u.duties.gateway.writeReply(w, reply)
}

// collect collects the counts while this host holds the duties, until ctx is done. A host
// that may take over reads the clocks.
func (u *usageReports) collect(ctx context.Context) error {
	return every(ctx, dutyCheckInterval, func(ctx context.Context) {
		_, isHolder := u.duties.lease.Grant()
		u.mu.Lock()
		idle := time.Since(u.collectedAt)
		if !isHolder {
			u.reachedAt, u.failingSince = time.Now(), time.Time{}
		}
		u.mu.Unlock()
		switch {
		case isHolder && idle >= collectInterval:
			u.collectRound(ctx, u.nextWindow(), u.sources(true))
			u.yieldIfCutOff()
		case !isHolder && idle >= clockInterval && u.duties.isCandidate():
			u.collectRound(ctx, noWindow, u.sources(false))
		}
	})
}

// yieldIfCutOff yields the duties if this host reaches none of the hosts with counts.
func (u *usageReports) yieldIfCutOff() {
	u.mu.Lock()
	unreached := time.Since(u.reachedAt)
	isCutOff := unreached >= maxFailing && len(u.bases) >= minKnownHosts
	u.mu.Unlock()
	if isCutOff {
		u.yield("reaches no other host", unreached)
	}
}

func (u *usageReports) yield(reason string, since time.Duration) {
	u.duties.gateway.log.Entry().WithFields(logrus.Fields{"reason": reason, "since_ms": since.Milliseconds()}).Warn("duties yielded")
	u.duties.lease.Yield(yieldRest)
}

// noWindow is after all windows.
const noWindow = 1 << 62

// nextWindow returns the first window that may still be reported.
func (u *usageReports) nextWindow() int64 {
	first := duty.WindowOf(u.duties.clock.Now().Add(-u.plan.Lateness), u.plan.Length)
	if report, found := u.fixed(); found {
		first = max(first, report.Window+1)
	}
	return first
}

// sources returns the other hosts to read: those with counts, or a few of them.
func (u *usageReports) sources(isHolder bool) []duty.Process {
	membership := u.duties.gateway.membership
	processes := membership.ReachableProcesses(membership.Now())
	u.mu.Lock()
	defer u.mu.Unlock()
	var sources []duty.Process
	for _, process := range processes {
		source := processOf(process)
		if !isHolder && len(sources) >= maxClockHosts {
			break
		}
		if process.CountsUsage || u.collection.Knows(source) {
			sources = append(sources, source)
		}
	}
	return sources
}

func processOf(p peers.ReachableProcess) duty.Process {
	return duty.Process{Address: p.PeerAddress.String(), Incarnation: p.Incarnation}
}

// collectRound reads the counts of other hosts from a window on and adds this host's.
func (u *usageReports) collectRound(ctx context.Context, from int64, sources []duty.Process) {
	now := u.duties.clock.Now()
	self := duty.Process{Address: u.duties.gateway.settings.PeerAddress.String(), Incarnation: u.duties.gateway.self.Incarnation}
	calls, running := sync.WaitGroup{}, make(chan struct{}, maxCollectCalls)
	for _, source := range sources {
		running <- struct{}{}
		calls.Go(func() {
			defer func() { <-running }()
			u.fetchCounts(ctx, source, from)
		})
	}
	calls.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.collectedAt = time.Now()
	if from != noWindow {
		u.collection.Merge(self, u.counter.Windows(from), now)
	}
	u.collection.Expire(now)
	for process := range u.bases {
		if !u.collection.Knows(process) {
			delete(u.bases, process)
		}
	}
}

// fetchCounts adds the counts of another host, and a sample of its clock.
func (u *usageReports) fetchCounts(ctx context.Context, source duty.Process, from int64) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	sentAt, now := u.boot(), u.duties.clock.Now()
	u.mu.Lock()
	if from != noWindow {
		u.collection.Expect(source, now)
	}
	base, hasBase := u.bases[source]
	u.mu.Unlock()
	if _, isHolder := u.duties.lease.Grant(); isHolder && hasBase {
		query.Set("base", strconv.FormatInt(base, 10))
		query.Set("incarnation", strconv.FormatInt(source.Incarnation, 10))
	}
	reply := usageCounts{}
	address, err := parsePeerAddress([]byte(source.Address))
	if err == nil {
		err = u.duties.gateway.fetchFromHost(ctx, u.client, address, usageCountsPath+"?"+query.Encode(), maxCountsBytes, &reply)
	}
	if err != nil {
		u.duties.gateway.log.Entry().WithError(err).WithField("link", source.Address).Info("cannot read the usage of another host")
		return
	}
	source.Incarnation = reply.Incarnation
	u.mu.Lock()
	u.reachedAt = time.Now()
	u.mu.Unlock()
	base, isValid := u.duties.clock.AddSample(source.Address, reply.Clocks, sentAt, u.boot())
	u.mu.Lock()
	defer u.mu.Unlock()
	if isValid && from != noWindow {
		u.bases[source] = base
	}
	if from != noWindow {
		u.collection.Merge(source, reply.Windows, earlierTime(now, time.UnixMicro(reply.Now)))
	}
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fixed returns the newest saved report.
func (u *usageReports) fixed() (duty.UsageReport, bool) {
	value, found := u.duties.lease.Load(duty.UsageKey)
	if !found {
		return duty.UsageReport{}, false
	}
	report, err := duty.DecodeReport(value)
	if err != nil {
		u.duties.gateway.log.Entry().WithError(err).Warn("rejected a saved usage report")
	}
	return report, err == nil
}

// report reports the windows while this host holds the duties, until ctx is done.
func (u *usageReports) report(ctx context.Context) error {
	return every(ctx, dutyCheckInterval, func(ctx context.Context) {
		if _, isHolder := u.duties.lease.Grant(); !isHolder || time.Now().Before(u.retryAt) {
			return
		}
		saved, hasSaved := u.fixed()
		step := u.nextStep(saved.Window, hasSaved)
		if step.Fix {
			var isSaved bool
			if saved, isSaved = u.fix(ctx, step); !isSaved {
				return
			}
		}
		if step.Send || step.Fix {
			u.send(ctx, saved)
		}
	})
}

func (u *usageReports) nextStep(fixed int64, hasFixed bool) duty.ReportStep {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := duty.ReportState{Fixed: fixed, HasFixed: hasFixed, IsAnswered: u.answered == fixed, Since: u.duties.lease.Since()}
	return u.plan.Next(state, u.duties.clock.Now(), u.collection.IsComplete)
}

// fix saves what will be reported for a window.
func (u *usageReports) fix(ctx context.Context, step duty.ReportStep) (duty.UsageReport, bool) {
	u.mu.Lock()
	report := duty.UsageReport{Window: step.Window, Counts: u.collection.Total(step.Window)}
	u.mu.Unlock()
	value, err := duty.EncodeReport(report)
	if err == nil {
		err = u.duties.lease.Save(ctx, duty.UsageKey, value)
	}
	log := u.duties.gateway.log.Entry().WithFields(logrus.Fields{"window": step.Window, "missed_windows": step.Missed})
	if err != nil {
		log.WithError(err).Warn("cannot save the usage report")
		u.retryAt = time.Now().Add(reportRetryDelay)
		return report, false
	}
	if step.Missed > 0 {
		u.missed.Inc(step.Missed)
		log.Warn("usage was not reported in time")
	}
	return report, true
}

// send sends a saved report, if this host still holds the duties.
func (u *usageReports) send(ctx context.Context, report duty.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, reportCallTimeout)
	defer cancel()
	grant, isHolder := u.duties.lease.Grant()
	if !isHolder {
		return
	}
	err := u.duties.gateway.ports.Duties.ReportUsage(ctx, grant, report)
	total := int64(0)
	for _, count := range report.Counts {
		total += count
	}
	log := u.duties.gateway.log.Entry().WithFields(logrus.Fields{
		"window": report.Window, "teams": len(report.Counts), "requests": total, "fencing_token": grant.Token,
		"until_due_ms": u.plan.DueBy(report.Window).Sub(u.duties.clock.Now()).Milliseconds(),
	})
	if err != nil {
		u.failed.Inc(1)
		delay := reportRetryDelay
		if errors.Is(err, duty.ErrFenced) {
			delay = u.duties.gateway.settings.Duties.LeaseDuration // this lease ends soon
		}
		u.retryAt = time.Now().Add(delay)
		log.WithError(err).Warn("usage report failed")
		u.recordFailure()
		return
	}
	u.sent.Inc(1)
	u.mu.Lock()
	u.answered, u.answeredAt, u.failingSince = report.Window, time.Now(), time.Time{}
	u.mu.Unlock()
	log.Info("usage reported")
}

// recordFailure records a failed call to the platform and yields the duties if these fail
// for long: another host may reach it.
func (u *usageReports) recordFailure() {
	now := time.Now()
	u.mu.Lock()
	if u.failingSince.IsZero() {
		u.failingSince = now
	}
	failing := now.Sub(u.failingSince)
	u.mu.Unlock()
	if failing >= maxFailing {
		u.yield("calls to the platform fail", failing)
	}
}

// lastReport returns the last window that this host has reported, and the time since then
// in ms, or -1.
func (u *usageReports) lastReport() (window, ageMillis int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.answeredAt.IsZero() {
		return 0, -1
	}
	return u.answered, time.Since(u.answeredAt).Milliseconds()
}
