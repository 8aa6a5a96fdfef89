package placement

import (
	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/slot"
)

// KindExchange is the kind of the messages between slot holders and the homes
// that grant the slots. Request and reply are both a Message.
const KindExchange mesh.Kind = "placement.exchange"

// Message carries reports to homes and grants from homes.
type Message struct {
	Reports []slot.Report `cbor:"1,keyasint,omitempty"`
	Grants  []slot.Grant  `cbor:"2,keyasint,omitempty"`
}

// peer is the destination of a message.
type peer struct {
	host    identity.Incarnation
	address string
}

// outbox collects the outgoing messages of one step of the core.
type outbox struct {
	peers    []peer
	messages map[identity.Incarnation]*Message
}

// messageTo returns the pending message to a peer, creating it if necessary.
func (o *outbox) messageTo(p peer) *Message {
	if o.messages == nil {
		o.messages = map[identity.Incarnation]*Message{}
	}
	message := o.messages[p.host]
	if message == nil {
		message = &Message{}
		o.messages[p.host] = message
		o.peers = append(o.peers, p)
	}
	return message
}

// take removes and returns the pending message for a host; empty if there is
// none.
func (o *outbox) take(host identity.Incarnation) Message {
	message := o.messages[host]
	if message == nil {
		return Message{}
	}
	taken := *message
	*message = Message{}
	return taken
}

// isEmpty reports whether the message carries neither reports nor grants.
func (m *Message) isEmpty() bool { return len(m.Reports) == 0 && len(m.Grants) == 0 }

// envelope is a message with its destination.
type envelope struct {
	to      peer
	message Message
}

// drain removes and returns all non-empty messages.
func (o *outbox) drain() []envelope {
	var all []envelope
	for _, to := range o.peers {
		if message := o.messages[to.host]; !message.isEmpty() {
			all = append(all, envelope{to, *message})
		}
	}
	*o = outbox{}
	return all
}
