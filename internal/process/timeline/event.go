// Package timeline records the actions of a process as typed events in a
// bounded ring buffer, and merges the rings of several hosts in causal order.
//
// A process creates one Ring, passes it to its packages as a Recorder, makes it
// available to other hosts with Register, and serves the merged timeline with
// Collector.
package timeline

import (
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// Kind is the type of an event, in the form subject.verb.
type Kind string

// Events of requests. All set Request. From RequestQueued on they also set
// Service, Tier, Rank and Team, and from RequestDispatched on Endpoint, Domain
// and Version.
const (
	RequestReceived Kind = "request.received"
	RequestQueued   Kind = "request.queued"
	// RequestIntent means that the witness, Peer, acknowledged the intent.
	RequestIntent     Kind = "request.intent"
	RequestDispatched Kind = "request.dispatched"
	// RequestNotStarted revokes the latest dispatch: it is certain that the
	// endpoint did not start the request.
	RequestNotStarted Kind = "request.not_started"
	RequestFirstToken Kind = "request.first_token"
	// RequestDone is the end of a dispatched request, with its Outcome.
	RequestDone Kind = "request.done"
	// RequestShed means that a request was shed under load. Since is the time at
	// which it was confirmed that no lower tier held a slot of the service.
	RequestShed Kind = "request.shed"
	// RequestRefused means that the caller received a refusal, with its Outcome
	// and Detail.
	RequestRefused Kind = "request.refused"
	// RequestResumed means that a host that does not own the request fetches the
	// response from Endpoint, starting at byte Value.
	RequestResumed Kind = "request.resumed"
)

// Events of endpoints. All set Endpoint.
const (
	// EndpointCold starts a cold period. Value is the limit on requests in
	// flight.
	EndpointCold Kind = "endpoint.cold"
	// EndpointLimit changes the limit on requests in flight to Value.
	EndpointLimit Kind = "endpoint.limit"
	// EndpointWarm ends a cold period.
	EndpointWarm Kind = "endpoint.warm"
	// EndpointLeaving and EndpointJoined mean that the configuration at log
	// offset Value removes or adds the endpoint.
	EndpointLeaving Kind = "endpoint.leaving"
	EndpointJoined  Kind = "endpoint.joined"
	// EndpointOrdered reports an order to the endpoint, with its Outcome and
	// Detail.
	EndpointOrdered Kind = "endpoint.ordered"
	// HomeClaimed and HomeExpired start and end the lease of a home. Value is its
	// fencing token.
	HomeClaimed Kind = "home.claimed"
	HomeExpired Kind = "home.lapsed"
)

// Events of configuration and versions.
const (
	// ConfigInForce means that the host applies the bundle at log offset Value.
	ConfigInForce  Kind = "config.in_force"
	ConfigRejected Kind = "config.rejected"
	// DomainExcluded and DomainIncluded set Domain. Since is the stamp of the
	// operator's record, which hosts apply at different times.
	DomainExcluded Kind = "domain.out"
	DomainIncluded Kind = "domain.in"
	// MoveStage means that Version of Service receives Value thousandths of the
	// traffic.
	MoveStage Kind = "move.stage"
	// MoveBad means that Version of Service was found to be worse.
	MoveBad  Kind = "move.bad"
	MoveDone Kind = "move.done"
)

// Events of hosts. Those of members set Peer.
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

// Event is one entry of a timeline. Kind determines which fields are set.
type Event struct {
	// Stamp, Host and Sequence are set by the ring.
	Stamp hlc.Stamp            `cbor:"1,keyasint" json:"stamp"`
	Host  identity.Incarnation `cbor:"2,keyasint" json:"host"`
	// Sequence numbers the events of the process, starting at 1.
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
	// Domain is the failure domain of the endpoint, or the one that was excluded
	// or included.
	Domain  string `cbor:"11,keyasint,omitempty" json:"domain,omitempty"`
	Version string `cbor:"12,keyasint,omitempty" json:"version,omitempty"`
	// Peer is another host to which the event relates.
	Peer    identity.Incarnation `cbor:"13,keyasint,omitzero" json:"peer,omitzero"`
	Outcome string               `cbor:"14,keyasint,omitempty" json:"outcome,omitempty"`
	Detail  string               `cbor:"15,keyasint,omitempty" json:"detail,omitempty"`
	// Value is a number whose meaning and unit depend on Kind.
	Value int64 `cbor:"16,keyasint,omitempty" json:"value,omitempty"`
	// Since is a point in time whose meaning depends on Kind.
	Since hlc.Stamp `cbor:"17,keyasint,omitempty" json:"since,omitempty"`
}

// Recorder records events. Record does not block and is safe for concurrent use.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that discards all events.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Event) {}
