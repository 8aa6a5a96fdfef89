package fleet

import "time"

// brittleness is how many refusals an endpoint bears.
type brittleness struct {
	// isNamed is set while the endpoint's responses name a number of refusals,
	// maxRejections is that number: requests a second from all hosts together.
	isNamed       bool
	maxRejections float64
	// observedAt is when the last such response arrived.
	observedAt time.Time
}

// maxRejectionPause is the longest pause after a refusal, for endpoints that bear hardly
// any.
const maxRejectionPause = 10 * time.Second

// RecordBrittleness records whether the response to a request sent at sentAt said that
// the endpoint is brittle. Responses can overtake each other.
func (e *Endpoint) RecordBrittleness(isNamed bool, maxRejections float64, sentAt, now time.Time) {
	switch {
	case isNamed:
		e.brittleness = brittleness{isNamed: true, maxRejections: maxRejections, observedAt: now}
	case e.brittleness.isNamed && sentAt.After(e.brittleness.observedAt):
		e.brittleness = brittleness{}
	}
}

// IsBrittle reports whether the endpoint fails when it has to refuse too many requests.
func (e *Endpoint) IsBrittle() bool { return e.brittleness.isNamed }

// RecordRejection records that the endpoint refused a request for want of room. If it is
// brittle, this host then pauses for so long that all hosts together, each of which
// causes one refusal in such a time, cause half as many as the endpoint bears.
func (e *Endpoint) RecordRejection(hosts int, now time.Time) {
	if !e.brittleness.isNamed {
		return
	}
	pause := maxRejectionPause
	if e.brittleness.maxRejections > 0 {
		pause = min(pause, time.Duration(float64(hosts)/e.brittleness.maxRejections*rejectionMargin*float64(time.Second)))
	}
	e.Pause(pause, now)
}

// rejectionMargin is how much longer than needed hosts pause, since the first refusals of
// all hosts may come in the same second.
const rejectionMargin = 2
