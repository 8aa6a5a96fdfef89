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
	// Link is where its datagrams come from and its state is fetched, Front
	// where callers connect; both IP:port.
	Link  netip.AddrPort `cbor:"2,keyasint"`
	Front string         `cbor:"3,keyasint,omitempty"`
	// Domain is its failure domain.
	Domain string `cbor:"4,keyasint,omitempty"`
	// Incarnation tells process starts apart, in Unix nanoseconds.
	Incarnation int64 `cbor:"5,keyasint"`
	// Mbps is what its network link carries, in megabits a second.
	Mbps int `cbor:"6,keyasint,omitempty"`
}

// servesBefore reports whether a host rather than another one does what one
// host does for others: the one with the wider link, since what is sent to all
// hosts of a failure domain fills a narrow one.
func (h Host) servesBefore(other Host) bool {
	if h.Mbps != other.Mbps {
		return h.Mbps > other.Mbps
	}
	return h.Link.Compare(other.Link) < 0
}

// Work is a host's work at an endpoint.
type Work struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Running  int
	// Pending are prompt tokens that are still to be read.
	Pending int
}

// Spending is what a host has charged to a team since its start.
type Spending struct {
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
	// ConfigNext and EntriesNext are the log offsets up to which it knows the
	// operator's records and the endpoints' entries.
	ConfigNext  uint64     `cbor:"3,keyasint,omitempty"`
	EntriesNext uint64     `cbor:"4,keyasint,omitempty"`
	Work        []Work     `cbor:"5,keyasint,omitempty"`
	Spent       []Spending `cbor:"6,keyasint,omitempty"`
	// Waiting are the services for which requests wait, by their hashes.
	Waiting []uint32 `cbor:"7,keyasint,omitempty"`
	// StoreLost tells that the platform's log does not answer this host.
	StoreLost bool `cbor:"8,keyasint,omitempty"`
	// Moves are the moves of services to other versions.
	Moves []Move `cbor:"9,keyasint,omitempty"`
}

// Message is a datagram.
type Message struct {
	From   Host   `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Status Status `cbor:"3,keyasint"`
	// Hosts are links of hosts that the sender has heard lately.
	Hosts []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	// Bundle are messages of hosts of the sender's failure domain. A bundle's
	// own status and number are not used.
	Bundle []Message `cbor:"5,keyasint,omitempty"`
	// PassOn asks the receiver to hand the bundle to the hosts of its own
	// failure domain.
	PassOn bool `cbor:"6,keyasint,omitempty"`
}

// maxDatagram bounds a datagram in bytes; it fits an IP packet.
const maxDatagram = 60 << 10

// ErrMessage is returned for a datagram that is not a message.
var ErrMessage = eris.New("malformed datagram")

// wire encodes messages. Arrays are at most as long as a datagram holds
// elements of a byte.
var wire = codec.New(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: maxDatagram, MaxMapPairs: 64})

func decode(data []byte) (Message, error) {
	message := Message{}
	if err := wire.Unmarshal(data, &message); err != nil {
		return Message{}, eris.Wrapf(ErrMessage, "%v", err)
	}
	if !message.From.Link.IsValid() || message.From.Incarnation == 0 {
		return Message{}, eris.Wrap(ErrMessage, "no sender")
	}
	return message, nil
}
