package owner

import (
	"time"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// State is the state of a request at its owner.
type State uint8

// The states of a request, in the order in which they are reached.
const (
	// StateReceived: the request was accepted under its key.
	StateReceived State = iota + 1
	// StateQueued: the request waits for a slot.
	StateQueued
	// StateIntending: an intent was sent to the witness.
	StateIntending
	// StatePermitted: the request may be dispatched until the send deadline.
	StatePermitted
	// StateDispatched: the request may have reached the endpoint.
	StateDispatched
	// StateStreaming: bytes of the response were received.
	StateStreaming
	// StateDone: the complete response was received. Final.
	StateDone
	// StateFailed: the request was dispatched and did not succeed, or its result
	// could not be determined. Final.
	StateFailed
	// StateRefused: the request was not dispatched and never will be. Final.
	StateRefused
)

var stateNames = map[State]string{
	StateReceived:   "received",
	StateQueued:     "queued",
	StateIntending:  "intending",
	StatePermitted:  "permitted",
	StateDispatched: "dispatched",
	StateStreaming:  "streaming",
	StateDone:       "done",
	StateFailed:     "failed",
	StateRefused:    "refused",
}

// String returns the state's name, as used in the header Mustarddoor-State.
func (s State) String() string { return stateNames[s] }

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s >= StateDone }

// MayHaveRun reports whether the request may have reached an endpoint.
func (s State) MayHaveRun() bool { return s >= StateDispatched && s != StateRefused }

// Target is the endpoint to which a request is dispatched.
type Target struct {
	Service string
	// Endpoint is the endpoint's name and Address its IP:port.
	Endpoint string
	Address  string
}

// Machine is the state machine of one key at its owner. It is a value without
// locks or clocks; all times are readings of one monotonic clock.
//
// Dispatch returns true at most once per attempt, a new attempt is possible
// only after MarkNotStarted, and no attempt is possible once the request is
// refused.
type Machine struct {
	key          key.Key
	state        State
	attempt      uint32
	target       Target
	sendDeadline time.Time
	result       witness.Result
}

// NewMachine returns the machine of a request that was just received.
func NewMachine(k key.Key) Machine {
	return Machine{key: k, state: StateReceived}
}

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// Target returns the endpoint of the last intent; it is zero before the first.
func (m *Machine) Target() Target { return m.target }

// Result returns the result of the request; it is set in final states.
func (m *Machine) Result() witness.Result { return m.result }

// MarkQueued records that the request waits for a slot. It returns false if the
// request has left the initial state.
func (m *Machine) MarkQueued() bool {
	if m.state != StateReceived {
		return false
	}
	m.state = StateQueued
	return true
}

// StartAttempt starts an attempt at a target and returns the intent for the
// witness. It returns false if the state does not allow an attempt.
func (m *Machine) StartAttempt(now time.Time, target Target, sendWithin time.Duration) (witness.Intent, bool) {
	if m.state != StateReceived && m.state != StateQueued {
		return witness.Intent{}, false
	}
	m.attempt++
	m.state = StateIntending
	m.target = target
	m.sendDeadline = now.Add(sendWithin)
	return m.intent(sendWithin), true
}

func (m *Machine) intent(sendWithin time.Duration) witness.Intent {
	return witness.Intent{
		Key:              m.key,
		Attempt:          m.attempt,
		Service:          m.target.Service,
		Endpoint:         m.target.Endpoint,
		Address:          m.target.Address,
		SendWithinMillis: sendWithin.Milliseconds(),
	}
}

// ApplyVerdict applies the witness's verdict on the attempt's intent. A verdict
// on another attempt is ignored. Any verdict but Accepted refuses the request
// for good. It returns whether the request may now be dispatched.
func (m *Machine) ApplyVerdict(attempt uint32, verdict witness.Verdict) bool {
	if m.state != StateIntending || attempt != m.attempt {
		return false
	}
	if verdict == witness.Accepted {
		m.state = StatePermitted
		return true
	}
	m.refuse(reasonForVerdict(verdict))
	return false
}

// MarkWitnessLost records that the attempt's intent will not be acknowledged.
// The request is refused for good: the witness may be alive and may have told a
// caller that the request did not run.
func (m *Machine) MarkWitnessLost(attempt uint32) {
	if m.state == StateIntending && attempt == m.attempt {
		m.refuse(outcome.ReasonWitnessLost)
	}
}

// Dispatch reports, immediately before the request is sent, whether it may be
// sent. It returns true at most once per attempt; if it returns false in state
// StatePermitted, the send deadline has passed and the request is refused.
func (m *Machine) Dispatch(now time.Time) bool {
	if m.state != StatePermitted {
		return false
	}
	if !now.Before(m.sendDeadline) {
		m.refuse(outcome.ReasonSendBy)
		return false
	}
	m.state = StateDispatched
	return true
}

// MarkNotStarted records that the endpoint did not start the dispatched
// request, so that another attempt is possible. The caller must be certain, as
// after a refused connection. It returns false if the state does not allow it.
func (m *Machine) MarkNotStarted() bool {
	if m.state != StateDispatched {
		return false
	}
	m.state = StateQueued
	return true
}

// MarkStreaming records that the response has begun.
func (m *Machine) MarkStreaming() {
	if m.state == StateDispatched {
		m.state = StateStreaming
	}
}

// Finish records the result of a dispatched request. It returns false if the
// request was not running.
func (m *Machine) Finish(result witness.Result) bool {
	if m.state != StateDispatched && m.state != StateStreaming {
		return false
	}
	m.state = StateFailed
	if result.Outcome == outcome.Done {
		m.state = StateDone
	}
	m.result = result
	return true
}

// Refuse refuses a request that was not dispatched. It returns false, and
// changes nothing, if the request may have been dispatched or is in a final
// state.
func (m *Machine) Refuse(reason outcome.Reason) bool {
	if m.state >= StateDispatched {
		return false
	}
	m.refuse(reason)
	return true
}

func (m *Machine) refuse(reason outcome.Reason) {
	m.state = StateRefused
	m.result = witness.Result{Outcome: outcome.NotRun, Reason: reason}
}

func reasonForVerdict(verdict witness.Verdict) outcome.Reason {
	switch verdict {
	case witness.Voided:
		return outcome.ReasonVoided
	case witness.Full:
		return outcome.ReasonMemory
	case witness.Expired:
		return outcome.ReasonExpired
	default:
		return outcome.ReasonWitnessLost
	}
}
