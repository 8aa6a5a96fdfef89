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
	// Pending are their prompt tokens until the first event comes.
	Pending float64
}

// heardLoad is another host's load and when it was heard.
type heardLoad struct {
	Load
	at time.Time
}

// Endpoint is all that this host knows of an endpoint.
type Endpoint struct {
	Entry
	// Hash names the endpoint in messages between hosts.
	Hash uint32

	own    Load
	others map[string]heardLoad

	coldUntil time.Time
	cold      allowance.Bucket
	trust     trust
	// pace is how much longer first tokens take than expected, and step the
	// time between two tokens.
	pace float64
	step time.Duration
	// doubtUntil is set while an entry that vanished in an outage of the
	// platform may come back.
	doubtUntil time.Time
	gone       bool
}

// HashOf is an endpoint's name in messages between hosts.
func HashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

const (
	// stepUnknown is the time between two tokens before any was seen.
	stepUnknown = 3500 * time.Microsecond
	// paceWeight is the weight of the newest stream in pace and step.
	paceWeight = 0.15
	paceLeast  = 0.2
	paceMost   = 6.0
	// loadAge is the age from which another host's load is forgotten: a host
	// that is cut off or dead has its requests answered or dropped by then.
	loadAge = 2 * time.Second
)

func newEndpoint(entry Entry, now time.Time) *Endpoint {
	return &Endpoint{
		Entry: entry, Hash: HashOf(entry.ID), others: map[string]heardLoad{},
		pace: 1, step: stepUnknown,
		// A cold endpoint starts with one request of this host.
		cold: allowance.NewBucket(0, 1, 1, now),
	}
}

// load is the work of all hosts at the endpoint.
func (e *Endpoint) load(now time.Time) Load {
	sum := e.own
	for _, other := range e.others {
		if now.Sub(other.at) < loadAge {
			sum.Running += other.Running
			sum.Pending += other.Pending
		}
	}
	return sum
}

// Own is this host's work at the endpoint.
func (e *Endpoint) Own() Load { return e.own }

// Hear takes in another host's load.
func (e *Endpoint) Hear(host string, load Load, at time.Time) {
	if load == (Load{}) {
		delete(e.others, host)
		return
	}
	e.others[host] = heardLoad{Load: load, at: at}
}

// Candidate is the endpoint as a choice sees it.
func (e *Endpoint) Candidate(now time.Time, usualFailures float64, domain string) choose.Candidate {
	load := e.load(now)
	c := choose.Candidate{
		Slots: e.Slots, Busy: load.Running, PendingTokens: load.Pending,
		Pace: e.pace, StepTime: e.step, Far: e.Domain != domain,
		FailedShare: max(0, e.trust.failed-usualFailures),
		Blocked:     e.trust.isSuspended(now),
	}
	if c.FailedShare > distrustAbove && e.own.Running > 0 {
		c.Blocked = true
	}
	if now.Before(e.coldUntil) && e.cold.Level(now) < 1 {
		c.Blocked = true
	}
	return c
}

// IsCold reports whether the endpoint is cold.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.coldUntil) }

// TurnCold notes that the endpoint stays cold for a time.
func (e *Endpoint) TurnCold(remaining time.Duration, now time.Time) {
	if remaining > 0 {
		e.coldUntil = now.Add(remaining)
	}
}

// SetColdShare bounds this host's requests a second while the endpoint is cold.
func (e *Endpoint) SetColdShare(rate float64, now time.Time) { e.cold.Resize(rate, 1, now) }

// Start notes that a request is sent.
func (e *Endpoint) Start(prompt float64, now time.Time) {
	e.own.Running++
	e.own.Pending += prompt
	e.trust.probing = true
	if e.IsCold(now) {
		e.cold.Draw(1, now)
	}
}

// FirstEvent notes that a request's prompt has been read, after a time for
// which another one was expected.
func (e *Endpoint) FirstEvent(prompt float64, took, expected time.Duration) {
	e.own.Pending = max(0, e.own.Pending-prompt)
	if expected > 0 {
		ratio := float64(took) / (float64(expected) / e.pace)
		e.pace += (min(max(ratio, paceLeast), paceMost) - e.pace) * paceWeight
	}
}

// Steps notes the time between tokens of a stream that has ended.
func (e *Endpoint) Steps(step time.Duration) {
	if step > 0 {
		e.step += time.Duration(float64(step-e.step) * paceWeight)
	}
}

// End notes that a request has ended, and how. It reports whether the endpoint
// is suspended from now on.
func (e *Endpoint) End(prompt float64, firstSeen bool, result Result, now time.Time) bool {
	e.own.Running--
	if !firstSeen {
		e.own.Pending = max(0, e.own.Pending-prompt)
	}
	if result == ResultOther {
		e.gone = true
	}
	return e.trust.note(result, now)
}

// IsGone reports whether the endpoint is known to have left.
func (e *Endpoint) IsGone() bool { return e.gone }

// Trust describes what is believed of the endpoint, for logs.
func (e *Endpoint) Trust() (failedShare float64, failuresInRow int) {
	return e.trust.failed, e.trust.inRow
}

// FailedShare is the recent share of failures at the endpoint.
func (e *Endpoint) FailedShare() float64 { return e.trust.failed }
