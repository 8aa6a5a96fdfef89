// Package resume decides how a host that does not own a request answers a
// retry of it.
//
// It asks the owner first, then the witness, then the log. It follows a
// request that may have run to its endpoint and never dispatches anything.
//
// Machine holds the decisions; flow.Resumer carries them out.
package resume

import (
	"time"

	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// Action is what the host is to do next for a retry.
type Action uint8

// The actions. Each but the final ones is answered by an event of Machine.
const (
	// AskOwner: send owner.locate with Close set. Answer by OwnerReplied or
	// OwnerUnreachable.
	AskOwner Action = iota + 1
	// RelayOwner: stream the answer from the owner from the offset on, while
	// probing the owner. Answer by RelayEnded.
	RelayOwner
	// AskWitness: send witness.void_or_get. Answer by WitnessReplied or
	// WitnessUnreachable.
	AskWitness
	// ReadLog: look the key up in the log. Answer by LogReplied or LogUnavailable.
	ReadLog
	// ResumeStream: ask the engine for its stream of the key from the offset
	// on. Answer by StreamEnded.
	ResumeStream
	// Lookup: ask the plain service for the outcome by key. Answer by
	// LookupEnded.
	Lookup
	// Wait: wait until Decision.Until. Answer by WaitEnded.
	Wait
	// Refuse: answer the caller with Decision.Refusal. Final.
	Refuse
	// Replay: answer the caller with the recorded answer in Decision.Final,
	// from the offset on. Final.
	Replay
	// Stop: the answer was given to its end. Final.
	Stop
)

// Decision is the next step of a retry.
type Decision struct {
	Action Action
	// Offset is the first byte that the caller still needs.
	Offset int64
	// Intent tells the endpoint, in ResumeStream and Lookup.
	Intent witness.Intent
	// Until is when to go on, in Wait.
	Until time.Time
	// Refusal is set in Refuse.
	Refusal outcome.Refusal
	// Final is set in Replay.
	Final witness.Final
}

// Result is how a stream or a lookup ended.
type Result uint8

// The endings.
const (
	// Complete: the answer was given to its end.
	Complete Result = iota + 1
	// NotFound: the other side answered and does not know the key.
	NotFound
	// Disconnected: the connection failed.
	Disconnected
	// Unresponsive: the owner answers no more.
	Unresponsive
)

// Capabilities tells how requests to a service can be resumed.
type Capabilities struct {
	// CanResumeStream is set for model engines, which resume streams by key.
	CanResumeStream bool
	// CanLookup is set for plain services that tell an outcome by key.
	CanLookup bool
}

// CapabilitySource tells about services by name.
type CapabilitySource interface {
	// Capabilities returns how requests to the named service can be resumed.
	Capabilities(service string) Capabilities
}
