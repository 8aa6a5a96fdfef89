package witness

import (
	"time"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
)

// The kinds of messages that a witness answers.
const (
	// KindIntend carries IntendRequest and answers IntendReply.
	KindIntend mesh.Kind = "witness.intend"
	// KindVoidOrGet carries VoidOrGetRequest and answers Record.
	KindVoidOrGet mesh.Kind = "witness.void_or_get"
	// KindOutcome carries OutcomeRequest and answers OutcomeReply.
	KindOutcome mesh.Kind = "witness.outcome"
)

// Intent is an owner's announcement that it is about to dispatch a request.
type Intent struct {
	Key key.Key `cbor:"1,keyasint"`
	// Attempt grows by one when the owner replaces an intent that it surely
	// did not act upon.
	Attempt uint32 `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint"`
	// Endpoint is the endpoint's name and Address its IP:port.
	Endpoint string `cbor:"4,keyasint"`
	Address  string `cbor:"5,keyasint"`
	// SendWithinMillis is how long after making the intent the owner may still
	// dispatch, by its own monotonic clock.
	SendWithinMillis int64 `cbor:"6,keyasint"`
}

// SendWithin is how long after making the intent the owner may dispatch.
func (i Intent) SendWithin() time.Duration {
	return time.Duration(i.SendWithinMillis) * time.Millisecond
}

// Verdict is the answer to an intent.
type Verdict uint8

// The verdicts. Only Accepted permits a dispatch.
const (
	// Accepted: the intent stands in the register.
	Accepted Verdict = iota + 1
	// Voided: the key was voided before; the request must never run.
	Voided
	// Full: the register has no room.
	Full
	// NotWitness: this incarnation is not the witness of the key's session.
	NotWitness
	// Expired: records of the session may already have been dropped.
	Expired
	// Stale: a record of the same or a later attempt stands.
	Stale
)

// IntendRequest carries a batch of intents from one owner.
type IntendRequest struct {
	Intents []Intent `cbor:"1,keyasint"`
}

// IntendReply has one verdict for each intent, in order.
type IntendReply struct {
	Verdicts []Verdict `cbor:"1,keyasint"`
}

// VoidOrGetRequest asks for a key's record, or else to void the key.
type VoidOrGetRequest struct {
	Key key.Key `cbor:"1,keyasint"`
}

// State is what a witness knows of a key.
type State uint8

// The states of a key at its witness.
const (
	// StateIntended: the intent stands; the request may have been dispatched.
	StateIntended State = iota + 1
	// StateVoid: the request was not and never will be dispatched.
	StateVoid
	// StateFinished: the outcome is known.
	StateFinished
	// StateLogged: the record was dropped after the log had it.
	StateLogged
	// StateUnknown: this incarnation cannot tell, because it is not the
	// session's witness, has dropped old records or has no room for a void.
	StateUnknown
)

// Record is what a witness tells of a key.
type Record struct {
	State State `cbor:"1,keyasint"`
	// Intent is set in StateIntended and, if there was one, StateFinished. Its
	// SendWithinMillis is what remains of the time, counted from the reply.
	Intent Intent `cbor:"2,keyasint,omitempty"`
	// Result is set in StateFinished.
	Result Result `cbor:"3,keyasint,omitempty"`
}

// MaxResponseBytes bounds the answer that a Final may carry, in bytes.
const MaxResponseBytes = 4096

// Result is the outcome of a request.
type Result struct {
	Outcome outcome.Outcome `cbor:"1,keyasint"`
	Reason  outcome.Reason  `cbor:"2,keyasint,omitempty"`
	// ResponseBytes is the length of the whole answer.
	ResponseBytes int64 `cbor:"3,keyasint,omitempty"`
	// Status, ContentType and Answer are the answer of a plain service, if it
	// is not longer than MaxAnswerBytes. Status is zero otherwise.
	Status      int    `cbor:"4,keyasint,omitempty"`
	ContentType string `cbor:"5,keyasint,omitempty"`
	Response    []byte `cbor:"6,keyasint,omitempty"`
}

// Outcome tells the witness of a request's end.
type Outcome struct {
	Key    key.Key `cbor:"1,keyasint"`
	Result Result  `cbor:"2,keyasint"`
}

// OutcomeRequest carries a batch of outcomes from one owner.
type OutcomeRequest struct {
	Outcomes []Outcome `cbor:"1,keyasint"`
}

// OutcomeReply acknowledges a batch of outcomes.
type OutcomeReply struct{}
