// Package mesh carries typed messages between hosts, encoded as CBOR over
// WebSocket connections that are opened on demand.
package mesh

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// Errors of a call. After ErrUnreachable the peer certainly did not handle the
// message; after ErrNoReply it may have.
var (
	ErrUnreachable = eris.New("peer unreachable")
	ErrNoReply     = eris.New("no reply from peer")
	ErrRejected    = eris.New("peer rejected the message")
)

// Kind identifies a type of message, in the form package.verb.
type Kind string

// Handler handles one kind of message. The result is encoded as CBOR. An error
// is returned to the caller as ErrRejected with the error's text.
type Handler func(ctx context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error)

// Caller sends messages to other hosts.
type Caller interface {
	// Call sends request to the host at the mesh address (IP:port) and decodes
	// its reply into response, a pointer. It fails with ErrUnreachable,
	// ErrNoReply or ErrRejected, at the latest at the context's deadline.
	Call(ctx context.Context, address string, kind Kind, request, response any) error
}

// Router lets packages register their handlers before the server starts.
type Router interface {
	// Handle registers the handler of a kind. It panics if the kind already has
	// a handler.
	Handle(kind Kind, handler Handler)
}
