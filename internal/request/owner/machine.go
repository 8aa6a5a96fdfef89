package owner

import (
	"time"

	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// State is where a request stands at its owner.
type State uint8

// The states of a request, in the order in which it passes them.
const (
	// StateReceived: the request was accepted under its key.
	StateReceived State = iota + 1
	// StateQueued: it waits for a slot.
	StateQueued
	// StateIntending: its witness has been sent an intent.
	StateIntending
	// StatePermitted: it may be dispatched until the send-by time.
	StatePermitted
	// StateDispatched: it may have reached the endpoint.
	StateDispatched
	// StateStreaming: bytes of the answer have come.
	StateStreaming
	// StateDone: the whole answer was received. Final.
	StateDone
	// StateFailed: it was dispatched and did not succeed, or its end could not
	// be learned. Final.
	StateFailed
	// StateRefused: it was not dispatched and never will be. Final.
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

// String is the state's name, as in the header Mustarddoor-State.
func (s State) String() string { return stateNames[s] }

// IsFinal reports whether the state never changes again.
func (s State) IsFinal() bool { return s >= StateDone }

// MayHaveRun reports whether the request may have reached an endpoint.
func (s State) MayHaveRun() bool { return s >= StateDispatched && s != StateRefused }

// Target is the endpoint that a request is to be dispatched to.
type Target struct {
	Service string
	// Endpoint is the endpoint's name and Address its IP:port.
	Endpoint string
	Address  string
}

// Machine decides what the owner may do with one key. It is a value without
// locks or clocks; times are readings of one monotonic clock.
//
// Dispatch returns true at most once for each attempt, a new attempt is only
// possible after NotSent, and no attempt is possible once the request is
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

// State is where the request stands.
func (m *Machine) State() State { return m.state }

// Target is the endpoint of the last intent, zero before the first.
func (m *Machine) Target() Target { return m.target }

// Result is the outcome; it is set in final states.
func (m *Machine) Result() witness.Result { return m.result }

// MarkQueued notes that the request waits for a slot. It returns false if the
// request is past that.
func (m *Machine) MarkQueued() bool {
	if m.state != StateReceived {
		return false
	}
	m.state = StateQueued
	return true
}

// StartAttempt starts an attempt at a target. The returned intent is for the
// witness. It returns false if the request cannot be attempted now.
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

// ApplyVerdict takes the witness's verdict on the attempt's intent. A verdict
// on another attempt is ignored. Any verdict but Accepted refuses the request
// for good. It returns whether the request is permitted now.
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

// MarkWitnessLost notes that no acknowledgement of the attempt's intent will come.
// The request is refused for good: the witness may be alive and may have told
// a caller that it did not run.
func (m *Machine) MarkWitnessLost(attempt uint32) {
	if m.state == StateIntending && attempt == m.attempt {
		m.refuse(outcome.ReasonWitnessLost)
	}
}

// Dispatch asks, right before the request is sent, whether it may be. It
// returns true at most once for each attempt; a false answer in state
// StatePermitted refuses the request because the send-by time has passed.
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

// MarkNotStarted notes that no byte of the dispatched request has left this host, so
// that it may be attempted again. The caller must be sure, as after a refused
// connection. It returns false if the state does not allow it.
func (m *Machine) MarkNotStarted() bool {
	if m.state != StateDispatched {
		return false
	}
	m.state = StateQueued
	return true
}

// MarkStreaming notes that the answer has begun.
func (m *Machine) MarkStreaming() {
	if m.state == StateDispatched {
		m.state = StateStreaming
	}
}

// Finish notes the end of a dispatched request. It returns false if the
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

// Refuse ends a request that was not dispatched. It returns false, and changes
// nothing, if the request may have been dispatched or is at its end.
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
