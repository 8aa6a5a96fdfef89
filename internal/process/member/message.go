package member

import (
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// ErrMalformedMessage is returned for data that is not a valid message.
var ErrMalformedMessage = eris.New("malformed membership message")

// Limits of messages.
const (
	// maxDatagramBytes fits one Ethernet frame.
	maxDatagramBytes = 1400
	// maxHeaderBytes is the maximum size of a message without records, deltas
	// and digests.
	maxHeaderBytes = 200
	// bucketCount is the number of buckets of the membership digest.
	bucketCount = 32

	maxNestedLevels  = 8
	maxArrayElements = 256
	maxMapPairs      = 32
)

// Type is the type of a message.
type Type uint8

// Types of messages. Receivers ignore unknown types.
const (
	// TypePing requests an ack.
	TypePing Type = 1
	// TypeAck confirms that Subject, or the sender if Subject is zero, is
	// alive.
	TypeAck Type = 2
	// TypeRelay asks the receiver to ping Subject.
	TypeRelay Type = 3
	// TypeSync requests the state whose digests differ.
	TypeSync Type = 4
	// TypeState is the response to TypeSync.
	TypeState Type = 5
	// TypeBroadcast pushes urgent broadcasts and requests nothing.
	TypeBroadcast Type = 6
)

// Message is one datagram between hosts.
type Message struct {
	Type Type                 `cbor:"1,keyasint"`
	From identity.Incarnation `cbor:"2,keyasint"`
	// Nonce matches an ack to its ping.
	Nonce uint32 `cbor:"3,keyasint,omitempty"`
	// Subject is the host that is pinged, is alive, or is to be pinged. It is
	// zero in a ping to an address at which no member is known, and in an ack
	// by the subject itself.
	Subject identity.Incarnation `cbor:"4,keyasint,omitzero"`
	// Digest is a hash of the sender's whole state.
	Digest uint64 `cbor:"5,keyasint,omitempty"`
	// Records and Deltas are broadcasts or, in a TypeState, the requested
	// state.
	Records []Record `cbor:"6,keyasint,omitempty"`
	Deltas  []Delta  `cbor:"7,keyasint,omitempty"`
	// Buckets and Topics are the digests of a sync request.
	Buckets []uint32      `cbor:"8,keyasint,omitempty"`
	Topics  []TopicDigest `cbor:"9,keyasint,omitempty"`
	// More is set if the response to a sync request did not hold all of the
	// state.
	More bool `cbor:"10,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock.
	Stamp hlc.Stamp `cbor:"11,keyasint,omitempty"`
}

// TopicDigest is the digest of one topic's state.
type TopicDigest struct {
	Topic  Topic  `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// messageCodec encodes and decodes messages.
var messageCodec = codec.New(codec.Limits{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      maxMapPairs,
})

// Encode encodes the message as CBOR.
func (m Message) Encode() ([]byte, error) {
	encoded, err := messageCodec.Marshal(m)
	return encoded, eris.Wrap(err, "encoding a membership message")
}

// Decode decodes a message. It fails with ErrMalformedMessage.
func Decode(datagram []byte) (Message, error) {
	var message Message
	if err := messageCodec.Unmarshal(datagram, &message); err != nil {
		return Message{}, eris.Wrap(ErrMalformedMessage, err.Error())
	}
	if message.From.IsZero() {
		return Message{}, eris.Wrap(ErrMalformedMessage, "no sender")
	}
	return message, nil
}

// encodedSize returns the encoded size of a part of a message, in bytes.
func encodedSize(part any) int {
	encoded, err := messageCodec.Marshal(part)
	if err != nil {
		return maxDatagramBytes
	}
	return len(encoded)
}
