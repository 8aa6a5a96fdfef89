// Package timeline records what a process does as typed events in a bounded
// ring, and merges the rings of several hosts in causal order.
//
// A process makes one Ring, hands it to its packages as a Recorder, registers
// it with the mesh by Register and serves merged views by Service.
package timeline

import (
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// Kind tells what happened, as subject.verb.
type Kind string

// Events of requests. All carry Request; those of the queue and later carry
// Service, Tier, Rank and Team, and those of the dispatch and later Endpoint,
// Domain and Version.
const (
	RequestReceived Kind = "request.received"
	RequestQueued   Kind = "request.queued"
	// RequestIntent tells that the witness Peer acknowledged the intent.
	RequestIntent     Kind = "request.intent"
	RequestDispatched Kind = "request.dispatched"
	// RequestNotStarted takes the last dispatch back: the endpoint surely did
	// not start the request.
	RequestNotStarted Kind = "request.not_started"
	RequestFirstToken Kind = "request.first_token"
	// RequestDone is the end of a dispatched request; Outcome says which.
	RequestDone Kind = "request.done"
	// RequestShed tells that a request gives way under load. Since is when it
	// was confirmed that no lower tier holds a slot of the service.
	RequestShed Kind = "request.shed"
	// RequestRefused tells what the caller was told; Outcome and Detail.
	RequestRefused Kind = "request.refused"
	// RequestResumed tells that a host which does not own the request fetches
	// its answer from Endpoint, from byte Value on.
	RequestResumed Kind = "request.resumed"
)

// Events of endpoints. All carry Endpoint.
const (
	// EndpointCold starts a cold spell; Value is the limit on requests in
	// flight.
	EndpointCold Kind = "endpoint.cold"
	// EndpointLimit changes the limit on requests in flight to Value.
	EndpointLimit Kind = "endpoint.limit"
	// EndpointWarm ends a cold spell.
	EndpointWarm Kind = "endpoint.warm"
	// EndpointLeaving and EndpointJoined tell that the configuration at log
	// offset Value drops or adds the endpoint.
	EndpointLeaving Kind = "endpoint.leaving"
	EndpointJoined  Kind = "endpoint.joined"
	// EndpointOrdered tells of an order; Outcome and Detail.
	EndpointOrdered Kind = "endpoint.ordered"
	// HomeClaimed and HomeLapsed begin and end a lease; Value is its fencing
	// number.
	HomeClaimed Kind = "home.claimed"
	HomeExpired Kind = "home.lapsed"
)

// Events of configuration and versions.
const (
	// ConfigInForce tells that the host applies the bundle at log offset Value.
	ConfigInForce  Kind = "config.in_force"
	ConfigRejected Kind = "config.rejected"
	// DomainExcluded and DomainIn carry Domain; Since is the mark's own stamp.
	DomainExcluded Kind = "domain.out"
	DomainIncluded Kind = "domain.in"
	// MoveStage tells that Version of Service gets Value thousandths of the
	// traffic.
	MoveStage Kind = "move.stage"
	// MoveBad is the verdict against Version of Service.
	MoveBad  Kind = "move.bad"
	MoveDone Kind = "move.done"
)

// Events of hosts. Those of members carry Peer.
const (
	MemberJoined    Kind = "member.joined"
	MemberAlive     Kind = "member.alive"
	MemberSuspected Kind = "member.suspected"
	MemberDead      Kind = "member.dead"
	MemberLeaving   Kind = "member.leaving"
	MemberLeft      Kind = "member.left"
	HostStarted     Kind = "host.started"
	HostReady       Kind = "host.ready"
	HostStopping    Kind = "host.stopping"
	HostStopped     Kind = "host.stopped"
	LogUnavailable  Kind = "log.out"
	LogAvailable    Kind = "log.back"
)

// Outcomes of requests.
const (
	OutcomeDone     = "done"
	OutcomeFailed   = "failed"
	OutcomeCanceled = "canceled"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// Event is one entry of a time line. Kind says which fields are set.
type Event struct {
	// Stamp, Host and Sequence are set by the ring.
	Stamp hlc.Stamp            `cbor:"1,keyasint" json:"stamp"`
	Host  identity.Incarnation `cbor:"2,keyasint" json:"host"`
	// Sequence counts the events of the process from 1.
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
	Kind     Kind   `cbor:"4,keyasint" json:"kind"`
	// Request is the request key.
	Request string `cbor:"5,keyasint,omitempty" json:"request,omitempty"`
	Service string `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	Tier    string `cbor:"7,keyasint,omitempty" json:"tier,omitempty"`
	// Rank is the tier's rank; 1 is the highest.
	Rank     int    `cbor:"8,keyasint,omitempty" json:"rank,omitempty"`
	Team     string `cbor:"9,keyasint,omitempty" json:"team,omitempty"`
	Endpoint string `cbor:"10,keyasint,omitempty" json:"endpoint,omitempty"`
	// Domain is the endpoint's failure domain, or the one that was marked.
	Domain  string `cbor:"11,keyasint,omitempty" json:"domain,omitempty"`
	Version string `cbor:"12,keyasint,omitempty" json:"version,omitempty"`
	// Peer is another host that the event is about.
	Peer    identity.Incarnation `cbor:"13,keyasint,omitzero" json:"peer,omitzero"`
	Outcome string               `cbor:"14,keyasint,omitempty" json:"outcome,omitempty"`
	Detail  string               `cbor:"15,keyasint,omitempty" json:"detail,omitempty"`
	// Value is a number whose meaning and unit the kind tells.
	Value int64 `cbor:"16,keyasint,omitempty" json:"value,omitempty"`
	// Since is a point in time whose meaning the kind tells.
	Since hlc.Stamp `cbor:"17,keyasint,omitempty" json:"since,omitempty"`
}

// Recorder takes events. Record does not block and is safe for concurrent use.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that drops all events.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Event) {}
