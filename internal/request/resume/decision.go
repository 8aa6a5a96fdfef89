// Package resume decides how a host handles a retry of a request that it does
// not own.
//
// It asks the owner first, then the witness, then the log. If the request may
// have run, it fetches the response from the endpoint. It never dispatches a
// request.
//
// Machine makes the decisions; flow.Resumer carries them out.
package resume

import (
	"time"

	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/request/witness"
)

// Action is the next thing that the host has to do for a retry.
type Action uint8

// The actions. The result of each action that is not final is reported by a
// method of Machine.
const (
	// AskOwner: send owner.locate with CloseUnseen set. Reported by OwnerReplied or
	// OwnerUnreachable.
	AskOwner Action = iota + 1
	// RelayOwner: stream the response from the owner, starting at the offset,
	// while probing the owner. Reported by RelayEnded.
	RelayOwner
	// AskWitness: send witness.void_or_get. Reported by WitnessReplied or
	// WitnessUnreachable.
	AskWitness
	// ReadLog: look the key up in the log. Reported by LogReplied or
	// LogUnavailable.
	ReadLog
	// ResumeStream: ask the engine for its stream of the key, starting at the
	// offset. Reported by StreamEnded.
	ResumeStream
	// Lookup: ask the plain service for the outcome by key. Reported by
	// LookupEnded.
	Lookup
	// Wait: wait until Decision.Until. Reported by WaitEnded.
	Wait
	// Refuse: send Decision.Refusal to the caller. Final.
	Refuse
	// Replay: send the recorded response in Decision.Final to the caller,
	// starting at the offset. Final.
	Replay
	// Stop: the caller has the complete response. Final.
	Stop
)

// Decision is the next step of a retry.
type Decision struct {
	Action Action
	// Offset is the first byte of the response that the caller still needs.
	Offset int64
	// Intent names the endpoint of ResumeStream and Lookup.
	Intent witness.Intent
	// Until is the end of a Wait.
	Until time.Time
	// Refusal is set for Refuse.
	Refusal outcome.Refusal
	// Final is set for Replay.
	Final witness.Result
}

// Result is how a relay, a stream or a lookup ended.
type Result uint8

// The results.
const (
	// Complete: the caller has the complete response.
	Complete Result = iota + 1
	// NotFound: the peer replied that it does not know the key.
	NotFound
	// Disconnected: the connection failed.
	Disconnected
	// Unresponsive: the owner no longer answers probes.
	Unresponsive
)

// Capabilities states how requests to a service can be resumed.
type Capabilities struct {
	// CanResumeStream is set for model engines, which resume streams by key.
	CanResumeStream bool
	// CanLookup is set for plain services that return an outcome by key.
	CanLookup bool
}

// CapabilitySource returns the capabilities of services.
type CapabilitySource interface {
	// Capabilities returns how requests to the named service can be resumed.
	Capabilities(service string) Capabilities
}
