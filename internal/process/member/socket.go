package member

import (
	"errors"
	"net"
	"net/netip"

	"mustarddoor/internal/connection/mesh"
)

func (d *Driver) send(datagrams []Datagram) {
	for _, datagram := range datagrams {
		d.sendOne(datagram)
	}
}

// sendOne sends a datagram. A failure is treated as a lost datagram.
func (d *Driver) sendOne(datagram Datagram) {
	if d.options.Gate != nil && !d.options.Gate.Passes(datagram.Address, mesh.ToPeer) {
		d.droppedMessages.Inc(1)
		return
	}
	address, err := netip.ParseAddrPort(datagram.Address)
	if err != nil {
		d.droppedMessages.Inc(1)
		return
	}
	datagram.Message.Stamp = d.options.Clock.Now()
	encoded, err := datagram.Message.Encode()
	if err != nil {
		d.malformedMessages.Inc(1)
		return
	}
	if len(encoded) > maxDatagramBytes {
		d.oversizedMessages.Inc(1)
	}
	if _, err := d.conn.WriteToUDPAddrPort(encoded, address); err != nil {
		d.droppedMessages.Inc(1)
		return
	}
	d.sentMessages.Inc(1)
	d.sentBytes.Inc(int64(len(encoded)))
}

// readMessages receives messages until the socket is closed.
func (d *Driver) readMessages() {
	buffer := make([]byte, readBufferBytes)
	for {
		count, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		if received, ok := d.decode(address, buffer[:count]); ok {
			select {
			case d.packets <- received:
			case <-d.done:
				return
			}
		}
	}
}

func (d *Driver) decode(address string, datagram []byte) (packet, bool) {
	d.receivedMessages.Inc(1)
	d.receivedBytes.Inc(int64(len(datagram)))
	if d.options.Gate != nil && !d.options.Gate.Passes(address, mesh.FromPeer) {
		d.droppedMessages.Inc(1)
		return packet{}, false
	}
	message, err := Decode(datagram)
	if err != nil {
		d.malformedMessages.Inc(1)
		return packet{}, false
	}
	d.options.Clock.Observe(message.Stamp)
	return packet{address: address, message: message}, true
}
