// Package peers keeps the hosts of a fleet informed of each other: who is
// there, how much work each has under way at each endpoint, what it has spent
// of the teams' limits, and how far it has followed the platform's log.
//
// Hosts send each other small datagrams several times a second. All that they
// carry is advice or a running total, so a lost one costs nothing but time.
package peers

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/version/canary"
)

// Host is what hosts know of one of them. Name, Front, Domain and Mbps are left
// out of most messages.
type Host struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// PeerAddress is where its datagrams come from and its state is fetched, Front
	// where callers connect; both IP:port.
	PeerAddress     netip.AddrPort `cbor:"2,keyasint"`
	FrontendAddress string         `cbor:"3,keyasint,omitempty"`
	// Domain is its failure domain.
	Domain string `cbor:"4,keyasint,omitempty"`
	// Incarnation tells process starts apart, in Unix nanoseconds.
	Incarnation int64 `cbor:"5,keyasint"`
	// LinkMbps is what its network link carries, in megabits a second.
	LinkMbps int `cbor:"6,keyasint,omitempty"`
}

// isPreferredOver reports whether a host rather than another one does what one
// host does for others: the one with the wider link, since what is sent to all
// hosts of a failure domain fills a narrow one.
func (h Host) isPreferredOver(other Host) bool {
	if h.LinkMbps != other.LinkMbps {
		return h.LinkMbps > other.LinkMbps
	}
	return h.PeerAddress.Compare(other.PeerAddress) < 0
}

// EndpointLoad is a host's work at an endpoint.
type EndpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Running  int
	// PendingTokens are prompt tokens that are still to be read.
	PendingTokens int
}

// TeamUsage is what a host has charged to a team since its start.
type TeamUsage struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Total is in the team's unit.
	Total float64
}

// Move is what a host says of a service's move to another version.
type Move struct {
	_               struct{} `cbor:",toarray"`
	Service, Target string
	Stage           canary.Stage
	Evidence        canary.Evidence
}

// Status is what a host tells of itself.
type Status struct {
	// Ready tells that it takes callers, Leaving that it is about to stop.
	Ready   bool `cbor:"1,keyasint,omitempty"`
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// OperatorNext and EntriesNext are the log offsets up to which it knows the
	// operator's records and the endpoints' entries.
	OperatorNext  uint64         `cbor:"3,keyasint,omitempty"`
	EndpointsNext uint64         `cbor:"4,keyasint,omitempty"`
	Loads         []EndpointLoad `cbor:"5,keyasint,omitempty"`
	Usage         []TeamUsage    `cbor:"6,keyasint,omitempty"`
	// WaitingServices are the services for which requests wait, by their hashes.
	WaitingServices []uint32 `cbor:"7,keyasint,omitempty"`
	// StoreUnavailable tells that the platform's log does not answer this host.
	StoreUnavailable bool `cbor:"8,keyasint,omitempty"`
	// Moves are the moves of services to other versions.
	Moves []Move `cbor:"9,keyasint,omitempty"`
}

// Message is a datagram.
type Message struct {
	From     Host   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Status   Status `cbor:"3,keyasint"`
	// KnownHosts are links of hosts that the sender has heard lately.
	KnownHosts []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	// Bundle are messages of hosts of the sender's failure domain. A bundle's
	// own status and number are not used.
	Bundle []Message `cbor:"5,keyasint,omitempty"`
	// Forward asks the receiver to hand the bundle to the hosts of its own
	// failure domain.
	Forward bool `cbor:"6,keyasint,omitempty"`
}

// maxDatagramBytes bounds a datagram in bytes; it fits an IP packet.
const maxDatagramBytes = 60 << 10

// ErrMalformed is returned for a datagram that is not a message.
var ErrMalformed = eris.New("malformed datagram")

// wire encodes messages. Arrays are at most as long as a datagram holds
// elements of a byte.
var wire = codec.New(codec.Limits{NestedLevels: 16, ArrayElements: maxDatagramBytes, MapPairs: 64})

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
