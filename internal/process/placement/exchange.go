package placement

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
)

// exchangeRequest is a Message with the sender's address.
type exchangeRequest struct {
	Message
	// Address is where the sender takes messages, as IP:port.
	Address string `cbor:"3,keyasint"`
}

// Register adds the handlers of messages from other hosts.
func (p *Placer) Register(router mesh.Router) {
	router.Handle(KindExchange, p.handleExchange)
}

// handleExchange takes a message and answers with what is due to its sender.
func (p *Placer) handleExchange(ctx context.Context, from identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request exchangeRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "decode exchange")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.receive(p.config.Now(), peer{from, request.Address}, request.Message)
	p.signal()
	return p.core.outbox.take(from), nil
}

// send carries a message to another host and takes the answer. A message that
// is lost is made good by later ones.
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
	var answer Message
	if err := p.config.Caller.Call(ctx, e.to.address, KindExchange, request, &answer); err != nil {
		p.core.stats.messagesLost.Inc(1)
		return
	}
	p.mu.Lock()
	p.core.receive(p.config.Now(), e.to, answer)
	p.mu.Unlock()
	p.signal()
}
