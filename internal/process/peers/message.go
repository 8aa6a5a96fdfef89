// Package peers exchanges the state of the hosts of a fleet: which hosts are
// running, the load each has at each endpoint, what each has charged to the
// teams' limits, and how far each has read the platform's log.
//
// Hosts send each other small datagrams several times a second. All content is
// either a hint or a cumulative total, so a lost datagram only delays updates.
// In a large fleet, the hosts that serve callers exchange theirs directly, and
// the others learn of them, less often, from a relay in their failure domain.
package peers

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/process/keyed"
	"mustarddoor/internal/process/quarantine"
	"mustarddoor/internal/version/canary"
)

// Host describes a host. Most messages omit all but PeerAddress and
// Incarnation.
type Host struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// PeerAddress is the address from which the host sends datagrams and serves
	// its state; FrontendAddress is where callers connect. Both are IP:port.
	PeerAddress     netip.AddrPort `cbor:"2,keyasint"`
	FrontendAddress string         `cbor:"3,keyasint,omitempty"`
	// Domain is the host's failure domain.
	Domain string `cbor:"4,keyasint,omitempty"`
	// Incarnation identifies a process start, in Unix nanoseconds.
	Incarnation int64 `cbor:"5,keyasint"`
	// LinkMbps is the capacity of the host's network link in Mbit/s.
	LinkMbps int `cbor:"6,keyasint,omitempty"`
	// Cores is the processor capacity in cores, Connections the number of
	// callers' connections that the host can hold.
	Cores       float64 `cbor:"7,keyasint,omitempty"`
	Connections int     `cbor:"8,keyasint,omitempty"`
}

// isPreferredOver reports whether this host rather than another one relays or
// reads for a failure domain. The host with the higher link capacity is
// preferred, because sending to every host of a domain can saturate a slow link.
func (h Host) isPreferredOver(other Host) bool {
	if h.LinkMbps != other.LinkMbps {
		return h.LinkMbps > other.LinkMbps
	}
	return h.PeerAddress.Compare(other.PeerAddress) < 0
}

// EndpointLoad is a host's load at an endpoint.
type EndpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Running  int
	// PendingTokens is the number of prompt tokens not yet processed.
	PendingTokens int
}

// EndpointRateLimit is the number of requests a second that an endpoint accepts
// from all hosts together.
type EndpointRateLimit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	// IsNamed is not set if the endpoint no longer names a limit.
	IsNamed   bool
	PerSecond float64
	// AgeMillis is the time since that was observed.
	AgeMillis int64
}

// TeamUsage is what a host has charged to a team since its start.
type TeamUsage struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Total is in the team's unit.
	Total float64
}

// Move is a host's view of a service's move to another version.
type Move struct {
	_               struct{} `cbor:",toarray"`
	Service, Target string
	Stage           canary.Stage
	Evidence        canary.Evidence
}

// MoveSlowdowns are the slowdowns of both versions of a move.
type MoveSlowdowns struct {
	_        struct{} `cbor:",toarray"`
	New, Old canary.Histogram
}

// Evidences returns the evidence of the moves, with the slowdowns as far as the
// host sent them.
func (s *Status) Evidences() []canary.Evidence {
	evidences := make([]canary.Evidence, len(s.Moves))
	for i, move := range s.Moves {
		evidences[i] = move.Evidence
		if i < len(s.MoveSlowdowns) {
			evidences[i].New.Slowdowns, evidences[i].Old.Slowdowns = s.MoveSlowdowns[i].New, s.MoveSlowdowns[i].Old
		}
	}
	return evidences
}

// ServiceDemand is what a host's callers need of a service's endpoints.
type ServiceDemand struct {
	_ struct{} `cbor:",toarray"`
	// Service is the hash of the service's name.
	Service uint32
	// MilliSlots is the slot time that arriving requests need per time, in thousandths.
	MilliSlots int
	// Queued is the number of requests that wait.
	Queued int
}

// Usage is what a host spent on callers lately.
type Usage struct {
	_ struct{} `cbor:",toarray"`
	// MilliCores is processor time per time, in thousandths.
	MilliCores int
	// LinkKbps is the traffic on the network link in kbit/s, in its busier
	// direction.
	LinkKbps int
	// Connections is the number of callers' connections.
	Connections int
}

// Status is the state that a host reports about itself.
type Status struct {
	// Ready means that the host accepts callers, Leaving that it is shutting
	// down.
	Ready   bool `cbor:"1,keyasint,omitempty"`
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// OperatorNext and EndpointsNext are the log offsets up to which the host
	// has read the operator's records and the endpoints' entries.
	OperatorNext  uint64         `cbor:"3,keyasint,omitempty"`
	EndpointsNext uint64         `cbor:"4,keyasint,omitempty"`
	Loads         []EndpointLoad `cbor:"5,keyasint,omitempty"`
	Usage         []TeamUsage    `cbor:"6,keyasint,omitempty"`
	// WaitingServices holds the hashes of the services with waiting requests.
	WaitingServices []uint32 `cbor:"7,keyasint,omitempty"`
	// StoreUnavailable means that the platform's log does not answer this host.
	StoreUnavailable bool `cbor:"8,keyasint,omitempty"`
	// Moves are the services' moves to other versions.
	Moves []Move `cbor:"9,keyasint,omitempty"`
	// Spent is what the host spent on callers lately; nil if it served none.
	Spent *Usage `cbor:"10,keyasint,omitempty"`
	// Active means that the host exchanges messages with all other active
	// hosts, Carries that callers are sent to it or that it serves some.
	Active  bool `cbor:"11,keyasint,omitempty"`
	Carries bool `cbor:"12,keyasint,omitempty"`
	// Loaded means that the host has read both topics, which may be empty.
	Loaded bool `cbor:"13,keyasint,omitempty"`
	// Quarantine is what the host knows of prompts that crash endpoints; nil in
	// most messages.
	Quarantine *quarantine.Evidence `cbor:"14,keyasint,omitempty"`
	// RateLimits are the limits that endpoints name; most messages omit them.
	RateLimits []EndpointRateLimit `cbor:"15,keyasint,omitempty"`
	// MoveSlowdowns belong to Moves, in the same order.
	MoveSlowdowns []MoveSlowdowns `cbor:"16,keyasint,omitempty"`
	// StoreEra is the highest era in which the host has read the log. OperatorNext
	// and EndpointsNext are offsets of this era.
	StoreEra uint64 `cbor:"17,keyasint,omitempty"`
	// OperatorEarlier and EndpointsEarlier are how far the host had read before the
	// store was restored; nil unless it still keeps records from then.
	OperatorEarlier  *keyed.Position `cbor:"18,keyasint,omitempty"`
	EndpointsEarlier *keyed.Position `cbor:"19,keyasint,omitempty"`
	// LostServices holds the hashes of the services of which the host can reach no
	// endpoint.
	LostServices []uint32 `cbor:"20,keyasint,omitempty"`
	// CountsUsage means that the host has counts of requests for the usage reports.
	CountsUsage bool `cbor:"21,keyasint,omitempty"`
	// Demands is what the host's callers need of the services whose number of endpoints
	// is ordered.
	Demands []ServiceDemand `cbor:"22,keyasint,omitempty"`
}

// SetPositions sets how far the host has read. A topic that was not yet read in the
// highest era counts as read up to its start.
func (s *Status) SetPositions(operator, endpoints keyed.Position) {
	s.StoreEra = max(operator.Era, endpoints.Era)
	s.OperatorNext, s.EndpointsNext = 0, 0
	if operator.Era == s.StoreEra {
		s.OperatorNext = operator.Offset
	}
	if endpoints.Era == s.StoreEra {
		s.EndpointsNext = endpoints.Offset
	}
}

// OperatorPosition returns how far the host has read the operator's records.
func (s *Status) OperatorPosition() keyed.Position {
	return keyed.Position{Era: s.StoreEra, Offset: s.OperatorNext}
}

// EndpointsPosition returns how far the host has read the endpoints' entries.
func (s *Status) EndpointsPosition() keyed.Position {
	return keyed.Position{Era: s.StoreEra, Offset: s.EndpointsNext}
}

// Message is the content of a datagram.
type Message struct {
	From     Host   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Status   Status `cbor:"3,keyasint"`
	// KnownHosts are the addresses of the hosts reachable from the sender,
	// KnownCount the number of hosts whose address the sender knows.
	KnownHosts []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	KnownCount int              `cbor:"6,keyasint,omitempty"`
	// Bundle holds messages of other hosts. The status and sequence of a message
	// that carries a bundle are not used.
	Bundle []Message `cbor:"5,keyasint,omitempty"`
	// IsSummary is set if the status omits loads, and possibly usage.
	IsSummary bool `cbor:"7,keyasint,omitempty"`
	// AgeMillis is the time since the host sent the message, as far as it was
	// spent at relays, in ms.
	AgeMillis int64 `cbor:"8,keyasint,omitempty"`
}

// maxDatagramBytes bounds a datagram so that it fits an IP packet.
const maxDatagramBytes = 60 << 10

// ErrMalformed means that a datagram is not a valid message.
var ErrMalformed = eris.New("malformed datagram")

// wire encodes messages. The array limit allows one-byte elements that fill a
// datagram.
var wire = codec.New(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: maxDatagramBytes, MaxMapPairs: 64})

func decode(data []byte) (Message, error) {
	message := Message{}
	if err := wire.Unmarshal(data, &message); err != nil {
		return Message{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if !message.From.PeerAddress.IsValid() || message.From.Incarnation == 0 {
		return Message{}, eris.Wrap(ErrMalformed, "no sender")
	}
	return message, nil
}
