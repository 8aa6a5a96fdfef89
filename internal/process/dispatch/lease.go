package dispatch

import (
	"time"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/fleet"
)

// Lease is a request's right to use an endpoint. It must be ended.
type Lease struct {
	// Endpoint names where the request goes.
	Endpoint string
	// Pool holds connections there.
	Pool *upstream.Pool
	// Busy and Slots are the endpoint's load when it was chosen, LoadAge the
	// age of the oldest figure in it, Sequence the number of its entry and
	// Hosts that of the hosts that share it.
	Busy, Slots int
	LoadAge     time.Duration
	Sequence    uint64
	Hosts       int
	// Waited is the time in the queue.
	Waited time.Duration
	// Expected is the expected time to the first answer.
	Expected time.Duration

	dispatcher *Dispatcher
	endpoint   *fleet.Endpoint
	job        *Job
	begun      time.Time
	first      bool
	ended      bool
}

// MayStillUse reports whether the request may still be sent: the endpoint's
// state can change between the choice and the sending.
func (l *Lease) MayStillUse() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.dispatcher.fleet.MayUse(l.endpoint)
}

// FirstEvent notes that the first part of the answer has come.
func (l *Lease) FirstEvent() {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	if !l.first {
		l.first = true
		l.endpoint.FirstEvent(l.job.Prompt, time.Since(l.begun))
	}
}

// TurnCold notes that the endpoint says it is cold.
func (l *Lease) TurnCold(remaining time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.TurnCold(remaining, time.Now())
}

// Steps notes the time between two tokens of the answer.
func (l *Lease) Steps(step time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.Steps(step)
}

// End gives the slot back. Further calls have no effect.
func (l *Lease) End(result fleet.Result) {
	d := l.dispatcher
	d.mu.Lock()
	if l.ended {
		d.mu.Unlock()
		return
	}
	l.ended = true
	now := time.Now()
	var beliefs []Belief
	if l.endpoint.End(l.job.Prompt, l.first, result, now) {
		beliefs = append(beliefs, believe("suspended", l.endpoint))
	}
	if result == fleet.ResultOther {
		beliefs = append(beliefs, believe("address_reused", l.endpoint))
	}
	d.noteVersion(l, result, now)
	if result == fleet.ResultGood {
		d.queue(l.job.Service).learn(l.job, now.Sub(l.begun))
	}
	d.pump(l.job.Service, l.endpoint, now)
	d.mu.Unlock()
	d.tell(beliefs)
}
