package dispatch

import (
	"time"

	"mustarddoor/internal/connection/upstream"
	"mustarddoor/internal/process/fleet"
)

// Lease is a request's right to use one slot of an endpoint. It must be
// released.
type Lease struct {
	// Endpoint is the ID of the assigned endpoint.
	Endpoint string
	// Pool holds the connections to the endpoint.
	Pool *upstream.Pool
	// Busy and Slots describe the endpoint's load when it was chosen. LoadAge
	// is the age of the oldest load report in Busy, EntrySequence the sequence
	// number of the endpoint's entry and HostCount the number of hosts that
	// share the endpoint.
	Busy, Slots   int
	LoadAge       time.Duration
	EntrySequence uint64
	HostCount     int
	// QueueWait is the time that the request spent in the queue.
	QueueWait time.Duration
	// ExpectedFirstResponse is the expected time to the first response.
	ExpectedFirstResponse time.Duration

	dispatcher      *Dispatcher
	endpoint        *fleet.Endpoint
	job             *Job
	startedAt       time.Time
	responseStarted bool
	ended           bool
}

// IsEndpointUsable reports whether the request may still be sent: the
// endpoint's state can change between selection and sending.
func (l *Lease) IsEndpointUsable() bool {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	return l.dispatcher.fleet.IsUsable(l.endpoint) && !l.endpoint.IsPaused(time.Now())
}

// EndpointIncarnation identifies the process start of the assigned endpoint.
func (l *Lease) EndpointIncarnation() uint64 { return l.endpoint.Incarnation() }

// RecordFirstEvent records that the first part of the response has arrived.
func (l *Lease) RecordFirstEvent() {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	if !l.responseStarted {
		l.responseStarted = true
		l.endpoint.RecordFirstEvent(l.job.PromptTokens, time.Since(l.startedAt))
	}
}

// MarkCold records the endpoint's report that it stays cold for the remaining
// time.
func (l *Lease) MarkCold(remaining time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.MarkCold(remaining, time.Now())
}

// RecordBrittleness records whether the response to the request sent at sentAt named a
// number of refusals a second beyond which the endpoint fails.
func (l *Lease) RecordBrittleness(isNamed bool, maxRejections float64, sentAt time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	var changes []EndpointChange
	wasBrittle := l.endpoint.IsBrittle()
	l.endpoint.RecordBrittleness(isNamed, maxRejections, sentAt, time.Now())
	if l.endpoint.IsBrittle() && !wasBrittle {
		changes = append(changes, newEndpointChange("brittle", l.endpoint))
	}
	d.mu.Unlock()
	d.notifyAll(changes)
}

// RecordRejection records that the endpoint refused the request for want of room.
func (l *Lease) RecordRejection() {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.RecordRejection(l.dispatcher.hostCount, time.Now())
}

// Pause records that the endpoint wants no requests from this host for a time.
func (l *Lease) Pause(length time.Duration) {
	d := l.dispatcher
	d.mu.Lock()
	var changes []EndpointChange
	if l.endpoint.Pause(length, time.Now()) {
		changes = append(changes, newEndpointChange("paused", l.endpoint))
	}
	d.mu.Unlock()
	d.notifyAll(changes)
}

// MarkLeaving records that a response of the endpoint announced its leaving.
func (l *Lease) MarkLeaving() {
	d := l.dispatcher
	d.mu.Lock()
	var changes []EndpointChange
	if l.endpoint.MarkLeaving() {
		changes = append(changes, newEndpointChange("leaving", l.endpoint))
	}
	d.mu.Unlock()
	d.notifyAll(changes)
}

// RecordRateLimit records the limit that the endpoint named in a response to the
// request sent at sentAt, or that it named none.
func (l *Lease) RecordRateLimit(isNamed bool, perSecond float64, sentAt time.Time) {
	d := l.dispatcher
	d.mu.Lock()
	var changes []EndpointChange
	if now := time.Now(); l.endpoint.RecordRateLimit(isNamed, perSecond, sentAt, now) {
		changes = append(changes, d.recordRateLimitChange(l.endpoint, now))
	}
	d.mu.Unlock()
	d.notifyAll(changes)
}

// RecordInterTokenLatency records the mean time between two tokens of the
// response.
func (l *Lease) RecordInterTokenLatency(latency time.Duration) {
	l.dispatcher.mu.Lock()
	defer l.dispatcher.mu.Unlock()
	l.endpoint.RecordInterTokenLatency(latency)
}

// Release frees the slot and records the result. Further calls have no effect.
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
	if result == fleet.ResultTimeout {
		d.silent[l.endpoint] = true
	}
	d.recordMoveResult(l, result, now)
	if result == fleet.ResultSuccess {
		d.queue(l.job.Service).recordSlotTime(l.job, now.Sub(l.startedAt))
	}
	d.serveQueue(l.job.Service, l.endpoint, now)
	d.mu.Unlock()
	d.notifyAll(changes)
}
