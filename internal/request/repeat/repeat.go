// Package repeat decides whether a request is sent again after a send that gave
// no answer. It is pure.
package repeat

import "time"

// Fate is what is known of a request after a send.
type Fate uint8

// The fates.
const (
	// FateNotSent is sure not to have reached the endpoint.
	FateNotSent Fate = iota + 1
	// FateNotRun was refused by the endpoint, which has not run it.
	FateNotRun
	// FateUnknown may have run.
	FateUnknown
	// FateFailed has run and failed.
	FateFailed
)

// Standing is what a repeat depends on.
type Standing struct {
	// MayRepeat tells that the request may run more than once.
	MayRepeat bool
	// Attempts is the number of endpoints that may have run it, Sends of those
	// to which it was sent, MaxAttempts the greatest number allowed.
	Attempts, Sends, MaxAttempts int
	// Fate is that of the last send.
	Fate Fate
	// Begun tells that the caller has a part of the answer.
	Begun bool
	// Left is the time until the deadline.
	Left time.Duration
}

// Decision is what follows.
type Decision struct {
	Repeat bool
	// Promise tells that a refusal may promise that the request has not run.
	Promise bool
}

// leastLeft is the time that a further send needs to be of use.
const leastLeft = 50 * time.Millisecond

// Decide says whether to send the request again.
func Decide(s Standing) Decision {
	d := Denied(s)
	switch {
	case s.Left < leastLeft:
	case s.Fate == FateNotSent:
		d.Repeat = true
	case s.Sends >= s.MaxAttempts:
	case s.Fate == FateNotRun && s.Attempts == 0:
		d.Repeat = true
	default:
		d.Repeat = s.MayRepeat
	}
	return d
}

// Denied is the decision when no further send is allowed.
func Denied(s Standing) Decision { return Decision{Promise: s.Attempts == 0 && !s.Begun} }
