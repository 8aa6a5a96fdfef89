// Package mesh carries typed messages between hosts: CBOR over WebSocket
// connections that are opened on demand.
package mesh

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// Errors of a call. Unreachable means that the peer surely did not handle the
// message; Lost means that it may have.
var (
	ErrUnreachable = eris.New("peer cannot be reached")
	ErrNoReply     = eris.New("no reply from peer")
	ErrRejected    = eris.New("peer rejected the message")
)

// Kind names a type of message, as package.verb.
type Kind string

// Handler answers one kind of message. The result is encoded as CBOR; an
// error reaches the sender as ErrRejected with the error's text.
type Handler func(ctx context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error)

// Caller sends messages to other hosts.
type Caller interface {
	// Call sends request to the host at the mesh address (IP:port) and decodes
	// its answer into response, a pointer. It fails with ErrUnreachable,
	// ErrLost or ErrRejected, within the context's deadline.
	Call(ctx context.Context, address string, kind Kind, request, response any) error
}

// Router lets packages register their handlers before the server starts.
type Router interface {
	// Handle registers the handler of a kind. A second one panics.
	Handle(kind Kind, handler Handler)
}
