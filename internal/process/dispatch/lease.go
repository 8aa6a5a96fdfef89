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
	Busy, Slots   int
	LoadAge       time.Duration
	EntrySequence uint64
	HostCount     int
	// QueueWait is the time in the queue.
	QueueWait time.Duration
	// ExpectedFirstResponse is the expected time to the first answer.
	ExpectedFirstResponse time.Duration

	dispatcher      *Dispatcher
	endpoint        *fleet.Endpoint
	job             *Job
	startedAt       time.Time
	responseStarted bool
	ended           bool
}

// IsEndpointUsable reports whether the request may still be sent: the endpoint's
// state can change between the choice and the sending.
func (l *Lease) IsEndpointUsable() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.dispatcher.fleet.IsUsable(l.endpoint)
}

// RecordFirstEvent notes that the first part of the answer has come.
func (l *Lease) RecordFirstEvent() {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	if !l.responseStarted {
		l.responseStarted = true
		l.endpoint.RecordFirstEvent(l.job.PromptTokens, time.Since(l.startedAt))
	}
}

// MarkCold notes that the endpoint says it is cold.
func (l *Lease) MarkCold(remaining time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.MarkCold(remaining, time.Now())
}

// RecordInterTokenLatency notes the time between two tokens of the answer.
func (l *Lease) RecordInterTokenLatency(latency time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.RecordInterTokenLatency(latency)
}

// Release gives the slot back. Further calls have no effect.
func (l *Lease) Release(result fleet.Result) {
	d := l.dispatcher
	d.mu.Lock()
	if l.ended {
		d.mu.Unlock()
		return
	}
	l.ended = true
	now := time.Now()
	var changes []EndpointChange
	if l.endpoint.EndRequest(l.job.PromptTokens, l.responseStarted, result, now) {
		changes = append(changes, newEndpointChange("suspended", l.endpoint))
	}
	if result == fleet.ResultWrongEndpoint {
		changes = append(changes, newEndpointChange("address_reused", l.endpoint))
	}
	d.recordMoveResult(l, result, now)
	if result == fleet.ResultSuccess {
		d.queue(l.job.Service).recordSlotTime(l.job, now.Sub(l.startedAt))
	}
	d.serveQueue(l.job.Service, l.endpoint, now)
	d.mu.Unlock()
	d.notifyAll(changes)
}
