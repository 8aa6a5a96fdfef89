package witness

import (
	"time"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
)

// The kinds of messages that a witness handles.
const (
	// KindIntend carries an IntendRequest and is answered with an IntendReply.
	KindIntend mesh.Kind = "witness.intend"
	// KindVoidOrGet carries a VoidOrGetRequest and is answered with a Record.
	KindVoidOrGet mesh.Kind = "witness.void_or_get"
	// KindOutcome carries an OutcomeRequest and is answered with an OutcomeReply.
	KindOutcome mesh.Kind = "witness.outcome"
)

// Intent announces that an owner is about to dispatch a request.
type Intent struct {
	Key key.Key `cbor:"1,keyasint"`
	// Attempt increases by one when the owner starts another attempt because the
	// endpoint did not start the previous one.
	Attempt uint32 `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint"`
	// Endpoint is the endpoint's name and Address its IP:port.
	Endpoint string `cbor:"4,keyasint"`
	Address  string `cbor:"5,keyasint"`
	// SendWithinMillis is how long after creating the intent the owner may still
	// dispatch, by its own monotonic clock.
	SendWithinMillis int64 `cbor:"6,keyasint"`
}

// SendWithin returns how long after creating the intent the owner may dispatch.
func (i Intent) SendWithin() time.Duration {
	return time.Duration(i.SendWithinMillis) * time.Millisecond
}

// Verdict is the witness's reply to an intent.
type Verdict uint8

// The verdicts. Only Accepted permits a dispatch.
const (
	// Accepted: the intent is recorded.
	Accepted Verdict = iota + 1
	// Voided: the key was voided before; the request must never run.
	Voided
	// Full: the register has no room.
	Full
	// NotWitness: this incarnation is not the witness of the key's session.
	NotWitness
	// Expired: records of the session may have been dropped.
	Expired
	// Stale: a record of the same or a later attempt exists.
	Stale
)

// IntendRequest carries a batch of intents of one owner.
type IntendRequest struct {
	Intents []Intent `cbor:"1,keyasint"`
}

// IntendReply contains one verdict per intent, in the same order.
type IntendReply struct {
	Verdicts []Verdict `cbor:"1,keyasint"`
}

// VoidOrGetRequest asks for a key's record, and voids the key if there is none.
type VoidOrGetRequest struct {
	Key key.Key `cbor:"1,keyasint"`
}

// State is the state of a key at its witness.
type State uint8

// The states of a key at its witness.
const (
	// StateIntended: an intent is recorded; the request may have been dispatched.
	StateIntended State = iota + 1
	// StateVoid: the request was not dispatched and never will be.
	StateVoid
	// StateFinished: the outcome is known.
	StateFinished
	// StateLogged: the record was dropped after it was written to the log.
	StateLogged
	// StateUnknown: this incarnation cannot determine the state, because it is not
	// the session's witness, has dropped old records or has no room for a void.
	StateUnknown
)

// Record is the information that a witness has of a key.
type Record struct {
	State State `cbor:"1,keyasint"`
	// Intent is set in StateIntended and, if there was one, in StateFinished. Its
	// SendWithinMillis is the remaining time, counted from the reply.
	Intent Intent `cbor:"2,keyasint,omitempty"`
	// Result is set in StateFinished.
	Result Result `cbor:"3,keyasint,omitempty"`
}

// MaxResponseBytes is the maximum size of the response in a Result.
const MaxResponseBytes = 4096

// Result is the outcome of a request, with the response where it is short.
type Result struct {
	Outcome outcome.Outcome `cbor:"1,keyasint"`
	Reason  outcome.Reason  `cbor:"2,keyasint,omitempty"`
	// ResponseBytes is the length of the complete response.
	ResponseBytes int64 `cbor:"3,keyasint,omitempty"`
	// Status, ContentType and Response are the response of a plain service, if it
	// is not longer than MaxResponseBytes. Otherwise Status is zero.
	Status      int    `cbor:"4,keyasint,omitempty"`
	ContentType string `cbor:"5,keyasint,omitempty"`
	Response    []byte `cbor:"6,keyasint,omitempty"`
}

// Outcome reports the result of a request to its witness.
type Outcome struct {
	Key    key.Key `cbor:"1,keyasint"`
	Result Result  `cbor:"2,keyasint"`
}

// OutcomeRequest carries a batch of outcomes of one owner.
type OutcomeRequest struct {
	Outcomes []Outcome `cbor:"1,keyasint"`
}

// OutcomeReply acknowledges a batch of outcomes.
type OutcomeReply struct{}
