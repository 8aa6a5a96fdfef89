package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/allowance"
	"mustarddoor/internal/process/choose"
)

// Load is the work of one host at an endpoint.
type Load struct {
	// Running is the number of requests that were sent and not answered.
	Running int
	// PendingTokens are their prompt tokens until the first event comes.
	PendingTokens float64
}

// remoteLoad is another host's load and when it was heard.
type remoteLoad struct {
	Load
	reportedAt time.Time
}

// Endpoint is all that this host knows of an endpoint.
type Endpoint struct {
	Entry
	// Hash names the endpoint in messages between hosts.
	Hash uint32

	own    Load
	remote map[string]remoteLoad

	coldUntil  time.Time
	coldBudget allowance.Bucket
	health     health
	// interTokenLatency is the time between two tokens of a stream, over steps streams;
	// answer the time to the first answer of a plain request.
	interTokenLatency movingAverage
	baseLatency       movingAverage
	// graceUntil is set while an entry that vanished in an outage of the
	// platform may come back.
	graceUntil time.Time
	gone       bool
	// draw is a draw that holds until turnUntil, taken the number of slots that
	// this host has taken since it was made, beside those it had freed itself.
	draw          float64
	drawExpiresAt time.Time
	slotsTaken    int
}

// HashID is the name of an endpoint or a service in messages between hosts.
func HashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

const (
	// defaultInterTokenLatency is the time between two tokens before any was seen.
	defaultInterTokenLatency = 3500 * time.Microsecond
	// defaultBaseLatency is the time to an answer before any was seen; for streams
	// it is the time beside the reading of prompts.
	defaultBaseLatency = 12 * time.Millisecond
	// averageWeight is the weight of the newest reading in a learned time.
	averageWeight = 0.12
	// maxRemoteLoadAge is the age from which another host's load is forgotten: a host
	// that is cut off or dead has its requests answered or dropped by then.
	maxRemoteLoadAge = 2 * time.Second
	// prefillStepRatio is the time to read a prompt token over that between two tokens
	// of a stream: engines read some two hundred in one step.
	prefillStepRatio = 1 / 200.0
)

// movingAverage is a learned time. The first readings count alike.
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
		// A cold endpoint starts with one request of this host.
		coldBudget: allowance.NewBucket(0, 1, 1, now),
	}
}

// totalLoad is the work of all hosts at the endpoint.
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

// LoadAge is the age of the oldest of the other hosts' loads that count.
func (e *Endpoint) LoadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, other := range e.remote {
		if age := now.Sub(other.reportedAt); age < maxRemoteLoadAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// OwnLoad is this host's work at the endpoint.
func (e *Endpoint) OwnLoad() Load { return e.own }

// setRemoteLoad takes in another host's load.
func (e *Endpoint) setRemoteLoad(host string, load Load, reportedAt time.Time) {
	if load == (Load{}) {
		delete(e.remote, host)
		return
	}
	e.remote[host] = remoteLoad{Load: load, reportedAt: reportedAt}
}

// Candidate is the endpoint as a choice sees it.
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
	if now.Before(e.coldUntil) && e.coldBudget.Level(now) < 1 {
		c.Blocked = true
	}
	return c
}

// IsCold reports whether the endpoint is cold.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.coldUntil) }

// MarkCold notes that the endpoint stays cold for a time.
func (e *Endpoint) MarkCold(remaining time.Duration, now time.Time) {
	if remaining > 0 {
		e.coldUntil = now.Add(remaining)
	}
}

// SetColdLimit bounds this host's requests while the endpoint is cold, by a
// rate a second and the number at once.
func (e *Endpoint) SetColdLimit(rate, burst float64, now time.Time) {
	e.coldBudget.Resize(rate, burst, now)
}

// BeginRequest notes that a request is sent; isTaken tells that it takes a slot which
// this host has not just freed itself.
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
}

// RecordFirstEvent notes that the first part of an answer has come after a time.
func (e *Endpoint) RecordFirstEvent(promptTokens float64, elapsed time.Duration) {
	e.own.PendingTokens = max(0, e.own.PendingTokens-promptTokens)
	if promptTokens == 0 {
		e.baseLatency.add(elapsed)
	}
}

// RecordInterTokenLatency notes the time between tokens of a stream that has ended.
func (e *Endpoint) RecordInterTokenLatency(latency time.Duration) {
	if latency > 0 {
		e.interTokenLatency.add(latency)
	}
}

// EndRequest notes that a request has ended, and how. It reports whether the endpoint
// is suspended from now on.
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

// IsGone reports whether the endpoint is known to have left.
func (e *Endpoint) IsGone() bool { return e.gone }

// FailureStats describes what is believed of the endpoint, for logs.
func (e *Endpoint) FailureStats() (failureRate float64, consecutiveFailures int) {
	return e.health.failureRate, e.health.consecutiveFailures
}

// SlotDraw is a draw that is made anew after a time, and the number of slots taken
// since.
func (e *Endpoint) SlotDraw(now time.Time, lifetime time.Duration, newDraw func() float64) (draw float64, slotsTaken int) {
	if !now.Before(e.drawExpiresAt) {
		e.draw, e.drawExpiresAt, e.slotsTaken = newDraw(), now.Add(lifetime), 0
	}
	return e.draw, e.slotsTaken
}
