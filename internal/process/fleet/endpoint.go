package fleet

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/choose"
)

// Load is the load that one host puts on an endpoint.
type Load struct {
	// Running is the number of requests that were sent and whose response is
	// not complete.
	Running int
	// PendingTokens counts the prompt tokens of those requests whose response
	// has not begun: prefill is not finished.
	PendingTokens float64
}

// remoteLoad is another host's load and when it was reported.
type remoteLoad struct {
	Load
	reportedAt time.Time
}

// Endpoint is an endpoint's entry and what this host has learned about it.
type Endpoint struct {
	Entry
	// Hash identifies the endpoint in messages between hosts.
	Hash uint32

	own    Load
	remote map[string]remoteLoad

	coldUntil  time.Time
	coldBudget allowance.Bucket
	rateLimit  RateLimit
	// rateShare is this host's share of the rate limit; nil until one is named.
	rateShare *allowance.Bucket
	health    health
	// interTokenLatency is learned from streams, baseLatency from the first
	// responses to requests without a prompt.
	interTokenLatency movingAverage
	baseLatency       movingAverage
	// graceUntil is set while an endpoint whose entry was removed in an outage
	// of the platform may come back.
	graceUntil  time.Time
	gone        bool
	brittleness brittleness
	// pausedUntil is when the endpoint accepts requests again, as in its last refusal.
	pausedUntil time.Time
	// leaving is set once a response of the endpoint has announced its leaving.
	leaving bool
	// unreadable is set while the endpoint's newest entry cannot be read.
	unreadable bool
	// draw is a random number that is valid until drawExpiresAt. slotsTaken is
	// the number of slots that this host has taken since the draw, without
	// those that it had freed itself.
	draw          float64
	drawExpiresAt time.Time
	slotsTaken    int
}

// HashID returns the identifier of an endpoint or a service in messages between
// hosts.
func HashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Incarnation identifies the endpoint's process start.
func (e *Endpoint) Incarnation() uint64 {
	return xxhash.Sum64String(e.ID + " " + strconv.FormatInt(e.StartMillis, 10))
}

const (
	// defaultInterTokenLatency applies before any stream was measured.
	defaultInterTokenLatency = 3500 * time.Microsecond
	// defaultBaseLatency applies before any response was measured. For streams
	// it is the time to the first response without prefill.
	defaultBaseLatency = 12 * time.Millisecond
	// averageWeight is the weight of the newest sample in a learned time.
	averageWeight = 0.12
	// maxRemoteLoadAge is the age at which another host's load expires. By
	// then, the requests of an unreachable or failed host are complete or
	// dropped.
	maxRemoteLoadAge = 2 * time.Second
	// prefillStepRatio is the prefill time of a prompt token relative to the
	// inter-token latency: engines prefill about 200 tokens in one step.
	prefillStepRatio = 1 / 200.0
)

// movingAverage is an exponential moving average. The first samples have equal
// weight.
type movingAverage struct {
	value time.Duration
	count int
}

func (a *movingAverage) add(sample time.Duration) {
	a.count++
	weight := max(averageWeight, 1/float64(a.count+1))
	a.value += time.Duration(float64(sample-a.value) * weight)
}

func newEndpoint(entry Entry, now time.Time) *Endpoint {
	return &Endpoint{
		Entry: entry, Hash: HashID(entry.ID), remote: map[string]remoteLoad{},
		interTokenLatency: movingAverage{value: defaultInterTokenLatency}, baseLatency: movingAverage{value: defaultBaseLatency},
		// This host may send one request to an endpoint that is cold at first.
		coldBudget: allowance.NewBucket(0, 1, 1, now),
	}
}

// totalLoad returns the load of all hosts on the endpoint.
func (e *Endpoint) totalLoad(now time.Time) Load {
	sum := e.own
	for _, other := range e.remote {
		if now.Sub(other.reportedAt) < maxRemoteLoadAge {
			sum.Running += other.Running
			sum.PendingTokens += other.PendingTokens
		}
	}
	return sum
}

// LoadAge returns the age of the oldest load that has not expired among those
// of the other hosts.
func (e *Endpoint) LoadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, other := range e.remote {
		if age := now.Sub(other.reportedAt); age < maxRemoteLoadAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// OwnLoad returns this host's load on the endpoint.
func (e *Endpoint) OwnLoad() Load { return e.own }

// setRemoteLoad replaces another host's load.
func (e *Endpoint) setRemoteLoad(host string, load Load, reportedAt time.Time) {
	if load == (Load{}) {
		delete(e.remote, host)
		return
	}
	e.remote[host] = remoteLoad{Load: load, reportedAt: reportedAt}
}

// Candidate returns the endpoint's properties for selection.
func (e *Endpoint) Candidate(now time.Time, baselineFailureRate float64, domain string) choose.Candidate {
	load := e.totalLoad(now)
	c := choose.Candidate{
		Slots: e.Slots, Busy: load.Running, PendingTokens: load.PendingTokens,
		BaseLatency: e.baseLatency.value, InterTokenLatency: e.interTokenLatency.value, OtherDomain: e.Domain != domain,
		PrefillTimePerToken: time.Duration(float64(e.interTokenLatency.value) * prefillStepRatio),
		ExcessFailureRate:   max(0, e.health.failureRate-baselineFailureRate),
		Blocked:             e.health.isSuspended(now),
	}
	if c.ExcessFailureRate > maxExcessFailureRate && e.own.Running > 0 {
		c.Blocked = true
	}
	if e.IsCold(now) && e.coldBudget.Level(now) < 1 || e.isRateLimited(now) || e.IsPaused(now) {
		c.Blocked = true
	}
	return c
}

// IsCold reports whether the endpoint is cold.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.coldUntil) }

// MarkCold records that the endpoint stays cold for the remaining time.
func (e *Endpoint) MarkCold(remaining time.Duration, now time.Time) {
	if remaining > 0 {
		e.coldUntil = now.Add(remaining)
	}
}

// SetColdLimit limits this host's requests while the endpoint is cold to a rate
// per second and a burst.
func (e *Endpoint) SetColdLimit(rate, burst float64, now time.Time) {
	e.coldBudget.Resize(rate, burst, now)
}

// BeginRequest records that a request is sent. takesSlot is set unless the
// request uses a slot that this host has just freed itself.
func (e *Endpoint) BeginRequest(promptTokens float64, takesSlot bool, now time.Time) {
	if takesSlot {
		e.slotsTaken++
	}
	e.own.Running++
	e.own.PendingTokens += promptTokens
	e.health.probing = true
	if e.IsCold(now) {
		e.coldBudget.Charge(1, now)
	}
	if e.rateLimit.IsNamed && e.rateShare != nil {
		e.rateShare.Charge(1, now)
	}
}

// RecordFirstEvent records the time to the first part of a response.
func (e *Endpoint) RecordFirstEvent(promptTokens float64, elapsed time.Duration) {
	e.own.PendingTokens = max(0, e.own.PendingTokens-promptTokens)
	if promptTokens == 0 {
		e.baseLatency.add(elapsed)
	}
}

// RecordInterTokenLatency records the mean time between tokens of a completed
// stream.
func (e *Endpoint) RecordInterTokenLatency(latency time.Duration) {
	if latency > 0 {
		e.interTokenLatency.add(latency)
	}
}

// EndRequest records the result of a request. It reports whether the result
// suspends the endpoint.
func (e *Endpoint) EndRequest(promptTokens float64, responseStarted bool, result Result, now time.Time) bool {
	e.own.Running--
	if !responseStarted {
		e.own.PendingTokens = max(0, e.own.PendingTokens-promptTokens)
	}
	if result == ResultWrongEndpoint {
		e.gone = true
	}
	return e.health.record(result, now)
}

// MarkLeaving records that a response of the endpoint announced its leaving, and reports
// whether that is new. Its entry may show it later, or never.
func (e *Endpoint) MarkLeaving() bool {
	wasLeaving := e.leaving
	e.leaving = true
	return !wasLeaving
}

// Pause records that the endpoint wants no requests for a time, and reports whether it
// did not already.
func (e *Endpoint) Pause(length time.Duration, now time.Time) bool {
	wasPaused := e.IsPaused(now)
	if until := now.Add(length); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	return !wasPaused
}

// IsPaused reports whether the endpoint wants no requests at present.
func (e *Endpoint) IsPaused(now time.Time) bool { return now.Before(e.pausedUntil) }

// IsLeaving reports whether the endpoint has left or announced that it does.
func (e *Endpoint) IsLeaving() bool { return e.gone || e.Draining || e.leaving }

// IsGone reports whether the endpoint is known to have left.
func (e *Endpoint) IsGone() bool { return e.gone }

// FailureStats returns the endpoint's failure statistics for logs.
func (e *Endpoint) FailureStats() (failureRate float64, consecutiveFailures int) {
	return e.health.failureRate, e.health.consecutiveFailures
}

// SlotDraw returns the current draw and the number of slots taken since it was
// made. An expired draw is replaced by a new one.
func (e *Endpoint) SlotDraw(now time.Time, lifetime time.Duration, newDraw func() float64) (draw float64, slotsTaken int) {
	if !now.Before(e.drawExpiresAt) {
		e.draw, e.drawExpiresAt, e.slotsTaken = newDraw(), now.Add(lifetime), 0
	}
	return e.draw, e.slotsTaken
}
