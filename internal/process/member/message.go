package member

import (
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// ErrMessage is returned for bytes that are not a message.
var ErrMessage = eris.New("malformed membership message")

// Limits of messages.
const (
	// maxDatagramBytes fits one Ethernet frame.
	maxDatagramBytes = 1400
	// headBytes bounds a message without records, deltas and digests.
	headBytes = 200
	// bucketCount is the number of parts of the membership digest.
	bucketCount = 32

	maxNestedLevels  = 8
	maxArrayElements = 256
	maxMapPairs      = 32
)

// Type tells what a message is for.
type Type uint8

// The types of messages. Receivers ignore others.
const (
	// TypePing asks for an ack.
	TypePing Type = 1
	// TypeAck tells that Subject, or else the sender, is alive.
	TypeAck Type = 2
	// TypeRelay asks the receiver to ping Subject.
	TypeRelay Type = 3
	// TypeSync asks for the state that differs from the digests.
	TypeSync Type = 4
	// TypeState answers TypeSync.
	TypeState Type = 5
	// TypeNews brings news at once and asks for nothing.
	TypeNews Type = 6
)

// Message is one datagram between hosts.
type Message struct {
	Type Type                 `cbor:"1,keyasint"`
	From identity.Incarnation `cbor:"2,keyasint"`
	// Nonce ties an ack to its ping.
	Nonce uint32 `cbor:"3,keyasint,omitempty"`
	// Subject is the host that is pinged, is alive, or is to be pinged. It is zero in a ping
	// to an address at which no member is known, and in an ack of the sender's own.
	Subject identity.Incarnation `cbor:"4,keyasint,omitzero"`
	// Digest is a hash of all that the sender knows.
	Digest uint64 `cbor:"5,keyasint,omitempty"`
	// Records and Deltas are news.
	Records []Record `cbor:"6,keyasint,omitempty"`
	Deltas  []Delta  `cbor:"7,keyasint,omitempty"`
	// Buckets and Topics are the digests of a sync.
	Buckets []uint32      `cbor:"8,keyasint,omitempty"`
	Topics  []TopicDigest `cbor:"9,keyasint,omitempty"`
	// More tells that an answer to a sync did not hold all.
	More bool `cbor:"10,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock.
	Stamp hlc.Stamp `cbor:"11,keyasint,omitempty"`
}

// TopicDigest is the digest of one topic's state.
type TopicDigest struct {
	Topic  Topic  `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// wire is the codec of messages.
var wire = codec.New(codec.Limits{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      maxMapPairs,
})

// Encode gives the message as CBOR.
func (m Message) Encode() ([]byte, error) {
	encoded, err := wire.Marshal(m)
	return encoded, eris.Wrap(err, "encoding a membership message")
}

// Decode is the inverse of Message.Encode. It fails with ErrMessage.
func Decode(datagram []byte) (Message, error) {
	var message Message
	if err := wire.Unmarshal(datagram, &message); err != nil {
		return Message{}, eris.Wrap(ErrMessage, err.Error())
	}
	if message.From.IsZero() {
		return Message{}, eris.Wrap(ErrMessage, "no sender")
	}
	return message, nil
}

// sizeOf is the encoded size of a part of a message, in bytes.
func sizeOf(part any) int {
	encoded, err := wire.Marshal(part)
	if err != nil {
		return maxDatagramBytes
	}
	return len(encoded)
}
