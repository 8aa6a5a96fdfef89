package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/process/hlc"
	"mustarddoor/internal/process/identity"
)

// ProtocolVersion is the mesh protocol version of this release. Two hosts are
// compatible if each version is at least the other's MinProtocolVersion.
// Message kinds that the receiver does not know are rejected.
const (
	ProtocolVersion    = 1
	MinProtocolVersion = 1
)

// Limits of the decoder.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
)

// errMalformedFrame is returned for bytes that are not a valid frame.
var errMalformedFrame = eris.New("malformed mesh frame")

// frameType is the purpose of a frame.
type frameType uint8

const (
	// frameHello is the first frame in each direction; Body holds a hello.
	frameHello frameType = 1
	// frameCall calls the handler of Kind; Body holds the request.
	frameCall frameType = 2
	// frameReply is the reply to a call; Body holds the response.
	frameReply frameType = 3
	// frameReject rejects a call; Text holds the reason.
	frameReject frameType = 4
)

// frame is the unit of the protocol. A WebSocket message holds one or more
// concatenated frames.
type frame struct {
	Type frameType `cbor:"1,keyasint"`
	// ID identifies a call of a connection; the reply carries the same ID.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Stamp is the time of the sender's hybrid logical clock.
	Stamp hlc.Stamp `cbor:"3,keyasint"`
	Kind  Kind      `cbor:"4,keyasint,omitempty"`
	// Body is the encoded hello, request or response.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Text string          `cbor:"6,keyasint,omitempty"`
	// TimeoutMillis is how long the caller waits for the reply.
	TimeoutMillis uint32 `cbor:"7,keyasint,omitempty"`
}

// hello announces the host and the protocol versions of one side of a
// connection.
type hello struct {
	Version    uint16        `cbor:"1,keyasint"`
	MinVersion uint16        `cbor:"2,keyasint"`
	Host       identity.Host `cbor:"3,keyasint"`
}

// isCompatible reports whether the protocol versions of this release and the
// peer are compatible.
func (h hello) isCompatible() bool {
	return h.Version >= MinProtocolVersion && ProtocolVersion >= h.MinVersion
}

// wireCodec encodes frames and their bodies.
var wireCodec = codec.New(codec.Limits{
	MaxNestedLevels:  maxNestedLevels,
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      maxMapPairs,
})

// splitFrame decodes the first frame of a message and returns it and the
// remaining bytes.
func splitFrame(message []byte) (frame, []byte, error) {
	var f frame
	rest, err := wireCodec.UnmarshalFirst(message, &f)
	if err != nil {
		return frame{}, nil, eris.Wrap(errMalformedFrame, err.Error())
	}
	if f.Type < frameHello {
		return frame{}, nil, eris.Wrap(errMalformedFrame, "missing frame type")
	}
	return f, rest, nil
}
