package placement

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// exchangeRequest is a Message with the peer address of its sender.
type exchangeRequest struct {
	Message
	// Address is the peer address of the sender, as IP:port.
	Address string `cbor:"3,keyasint"`
}

// Register installs the handler for messages from other hosts.
func (p *Placer) Register(router mesh.Router) {
	router.Handle(KindExchange, p.handleExchange)
}

// handleExchange processes a message and replies with the messages queued for
// its sender.
func (p *Placer) handleExchange(ctx context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request exchangeRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "decode placement exchange message")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.receive(p.config.Now(), peer{from, request.Address}, request.Message)
	p.signal()
	return p.core.outbox.take(from), nil
}

// send sends a message to another host asynchronously and processes the reply.
// Lost messages are not retried; later reports and grants supersede them.
func (p *Placer) send(ctx context.Context, e envelope) {
	if p.config.Caller == nil {
		return
	}
	select {
	case p.callSemaphore <- struct{}{}:
	default:
		p.core.stats.messagesLost.Inc(1)
		return
	}
	p.sends.Go(func() {
		defer func() { <-p.callSemaphore }()
		p.exchange(ctx, e)
	})
}

func (p *Placer) exchange(ctx context.Context, e envelope) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := exchangeRequest{Message: e.message, Address: p.config.Self.MeshAddress}
	var reply Message
	if err := p.config.Caller.Call(ctx, e.to.address, KindExchange, request, &reply); err != nil {
		p.core.stats.messagesLost.Inc(1)
		return
	}
	p.mu.Lock()
	p.core.receive(p.config.Now(), e.to, reply)
	p.mu.Unlock()
	p.signal()
}
