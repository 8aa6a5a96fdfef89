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
	// step is the time between two tokens of a stream, over steps streams;
	// answer the time to the first answer of a plain request.
	step   average
	answer average
	// doubtUntil is set while an entry that vanished in an outage of the
	// platform may come back.
	doubtUntil time.Time
	gone       bool
	// turn is a draw that holds until turnUntil, taken the number of slots that
	// this host has taken since it was made, beside those it had freed itself.
	turn      float64
	turnUntil time.Time
	taken     int
}

// HashOf is the name of an endpoint or a service in messages between hosts.
func HashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

const (
	// stepUnknown is the time between two tokens before any was seen.
	stepUnknown = 3500 * time.Microsecond
	// answerUnknown is the time to an answer before any was seen; for streams
	// it is the time beside the reading of prompts.
	answerUnknown = 12 * time.Millisecond
	// averageWeight is the weight of the newest reading in a learned time.
	averageWeight = 0.12
	// loadAge is the age from which another host's load is forgotten: a host
	// that is cut off or dead has its requests answered or dropped by then.
	loadAge = 2 * time.Second
	// readPart is the time to read a prompt token over that between two tokens
	// of a stream: engines read some two hundred in one step.
	readPart = 1 / 200.0
)

// average is a learned time. The first readings count alike.
type average struct {
	value time.Duration
	count int
}

func (a *average) add(reading time.Duration) {
	a.count++
	weight := max(averageWeight, 1/float64(a.count+1))
	a.value += time.Duration(float64(reading-a.value) * weight)
}

func newEndpoint(entry Entry, now time.Time) *Endpoint {
	return &Endpoint{
		Entry: entry, Hash: HashOf(entry.ID), others: map[string]heardLoad{},
		step: average{value: stepUnknown}, answer: average{value: answerUnknown},
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

// LoadAge is the age of the oldest of the other hosts' loads that count.
func (e *Endpoint) LoadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, other := range e.others {
		if age := now.Sub(other.at); age < loadAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Own is this host's work at the endpoint.
func (e *Endpoint) Own() Load { return e.own }

// hear takes in another host's load.
func (e *Endpoint) hear(host string, load Load, at time.Time) {
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
		BaseLatency: e.answer.value, InterTokenLatency: e.step.value, OtherDomain: e.Domain != domain,
		PrefillTimePerToken: time.Duration(float64(e.step.value) * readPart),
		ExcessFailureRate:   max(0, e.trust.failed-usualFailures),
		Blocked:             e.trust.isSuspended(now),
	}
	if c.ExcessFailureRate > distrustAbove && e.own.Running > 0 {
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

// SetColdShare bounds this host's requests while the endpoint is cold, by a
// rate a second and the number at once.
func (e *Endpoint) SetColdShare(rate, burst float64, now time.Time) { e.cold.Resize(rate, burst, now) }

// Start notes that a request is sent; isTaken tells that it takes a slot which
// this host has not just freed itself.
func (e *Endpoint) Start(prompt float64, isTaken bool, now time.Time) {
	if isTaken {
		e.taken++
	}
	e.own.Running++
	e.own.Pending += prompt
	e.trust.probing = true
	if e.IsCold(now) {
		e.cold.Charge(1, now)
	}
}

// FirstEvent notes that the first part of an answer has come after a time.
func (e *Endpoint) FirstEvent(prompt float64, took time.Duration) {
	e.own.Pending = max(0, e.own.Pending-prompt)
	if prompt == 0 {
		e.answer.add(took)
	}
}

// Steps notes the time between tokens of a stream that has ended.
func (e *Endpoint) Steps(step time.Duration) {
	if step > 0 {
		e.step.add(step)
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

// Turn is a draw that is made anew after a time, and the number of slots taken
// since.
func (e *Endpoint) Turn(now time.Time, holds time.Duration, draw func() float64) (turn float64, taken int) {
	if !now.Before(e.turnUntil) {
		e.turn, e.turnUntil, e.taken = draw(), now.Add(holds), 0
	}
	return e.turn, e.taken
}
