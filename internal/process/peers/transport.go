package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"mustarddoor/internal/process/pause"
)

const (
	// minSendInterval is the shortest time between a host's messages: short beside
	// the time that a request takes, long beside what a message costs.
	minSendInterval = 60 * time.Millisecond
	// sendIntervalPerHost bounds the messages a host receives to some hundred a
	// second, however many hosts there are.
	sendIntervalPerHost = 8 * time.Millisecond
	// minBundlingHosts is the number of heard hosts from which messages to all of
	// them would be too far apart: the hosts of a failure domain then send
	// theirs to one of them, which sends them on in bundles.
	minBundlingHosts = 16
	// bundleInterval is the pause between bundles; a load is two to three of them
	// old when it arrives.
	bundleInterval = 80 * time.Millisecond
	// maxBundleBytes bounds a bundle to what fits one packet.
	maxBundleBytes = 1300
	// bundleBandwidthShare is the part of a host's network link that bundles may fill;
	// the rest is for requests. Bundles beyond it are dropped, which makes what
	// the others know older.
	bundleBandwidthShare = 0.25
	// bundleBurstDuration is for how long bundles may come at once.
	bundleBurstDuration = 500 * time.Millisecond
)

// newBundleLimiter bounds the bytes of bundles for a link of so many megabits a
// second; nothing is bounded if that is not known.
func newBundleLimiter(mbps int) *rate.Limiter {
	if mbps <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	bytes := float64(mbps) * 1e6 / 8 * bundleBandwidthShare
	return rate.NewLimiter(rate.Limit(bytes), int(bytes*bundleBurstDuration.Seconds()))
}

// Transport sends and receives messages.
type Transport struct {
	membership *Membership
	// status gives what this host tells of itself; isFull asks for what is
	// mostly left out.
	status func(isFull bool) Status
	// onMessage is told of each new message.
	onMessage func(message Message, isNewlyReachable bool)
	conn      *net.UDPConn

	bundleLimiter *rate.Limiter

	sent, received, malformed, failed, dropped metrics.Counter
	sequence                                   atomic.Uint64
	// broadcasts counts the messages to all hosts.
	broadcasts    uint64
	sendRequested chan struct{}
}

// NewTransport opens the socket for a roster's host.
func NewTransport(membership *Membership, status func(isFull bool) Status, onMessage func(Message, bool), registry metrics.Registry) (*Transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(membership.self.PeerAddress))
	if err != nil {
		return nil, eris.Wrapf(err, "datagrams at %v", membership.self.PeerAddress)
	}
	return &Transport{
		membership: membership, status: status, onMessage: onMessage, conn: conn, sendRequested: make(chan struct{}, 1),
		bundleLimiter: newBundleLimiter(membership.self.LinkMbps),
		sent:          metrics.GetOrRegisterCounter("peers.sent", registry),
		received:      metrics.GetOrRegisterCounter("peers.received", registry),
		malformed:     metrics.GetOrRegisterCounter("peers.malformed", registry),
		failed:        metrics.GetOrRegisterCounter("peers.send_failed", registry),
		dropped:       metrics.GetOrRegisterCounter("peers.bundles_dropped", registry),
	}, nil
}

// Receive takes messages in until the context ends.
func (t *Transport) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Ends the read below; the socket is not used any more.
		_ = t.conn.Close()
	})
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "datagrams")
		}
		if err != nil {
			t.failed.Inc(1) // an unreachable peer shows as an error here
			continue
		}
		message, err := decode(buffer[:n])
		if err != nil {
			t.malformed.Inc(1)
			continue
		}
		t.received.Inc(1)
		t.handle(message)
	}
}

// handle takes in a message, or those of a bundle.
func (t *Transport) handle(message Message) {
	now := time.Now()
	if len(message.Bundle) == 0 {
		if isNew, isNewlyReachable := t.membership.receive(message, now); isNew {
			t.onMessage(message, isNewlyReachable)
		}
		return
	}
	for _, inner := range message.Bundle {
		if inner.From.PeerAddress.IsValid() && inner.From.Incarnation != 0 && len(inner.Bundle) == 0 {
			t.handle(inner)
		}
	}
	if !message.Forward {
		return
	}
	message.Forward = false
	data, err := wire.Marshal(message)
	if err != nil {
		t.malformed.Inc(1)
		return
	}
	t.sendBundleTo(data, t.membership.planBundles(now).members)
}

// sendBundleTo sends a bundle to some hosts, unless that would fill the network link.
func (t *Transport) sendBundleTo(bundle []byte, addresses []netip.AddrPort) {
	if !t.bundleLimiter.AllowN(time.Now(), len(bundle)*len(addresses)) {
		t.dropped.Inc(1)
		return
	}
	for _, address := range addresses {
		t.send(bundle, address)
	}
}

// SendBundles sends bundles, or this host's message to the host that bundles,
// until the context ends.
func (t *Transport) SendBundles(ctx context.Context) error {
	for pause.For(ctx, bundleInterval) {
		if err := t.sendDueMessages(t.membership.planBundles(time.Now())); err != nil {
			return err
		}
	}
	return nil
}

// sendDueMessages sends what is due.
func (t *Transport) sendDueMessages(b bundlePlan) error {
	if !b.relay.IsValid() {
		return nil
	}
	own := t.newMessage(false)
	if b.relay != t.membership.self.PeerAddress {
		data, err := wire.Marshal(own)
		if err != nil {
			return eris.Wrap(err, "message")
		}
		t.send(data, b.relay)
		return nil
	}
	messages := append([]Message{own}, b.latestMessages...)
	for len(messages) > 0 {
		size, count := 0, 0
		for count < len(messages) {
			// The hosts that a message names are not passed on.
			messages[count].KnownHosts = nil
			encoded, err := wire.Marshal(messages[count])
			if err != nil {
				return eris.Wrap(err, "message")
			}
			if count > 0 && size+len(encoded) > maxBundleBytes {
				break
			}
			size += len(encoded)
			count++
		}
		if err := t.sendBundle(messages[:count], b); err != nil {
			return err
		}
		messages = messages[count:]
	}
	return nil
}

// sendBundle sends messages to the hosts of this domain, and to those that pass
// them on in the others.
func (t *Transport) sendBundle(messages []Message, b bundlePlan) error {
	self := t.membership.self
	bundle := Message{From: Host{PeerAddress: self.PeerAddress, Incarnation: self.Incarnation}, Bundle: messages}
	for _, to := range []struct {
		addresses []netip.AddrPort
		forward   bool
	}{{b.members, false}, {b.remoteRelays, true}} {
		bundle.Forward = to.forward
		data, err := wire.Marshal(bundle)
		if err != nil {
			return eris.Wrap(err, "bundle")
		}
		t.sendBundleTo(data, to.addresses)
	}
	return nil
}

// Send sends messages until the context ends.
func (t *Transport) Send(ctx context.Context) error {
	for {
		t.membership.mu.Lock()
		interval := t.membership.sendInterval
		t.membership.mu.Unlock()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-t.sendRequested:
			timer.Stop()
		case <-timer.C:
		}
		if err := t.broadcast(time.Now()); err != nil {
			return err
		}
	}
}

// newMessage is this host's next newMessage.
func (t *Transport) newMessage(isFull bool) Message {
	self := t.membership.self
	message := Message{From: Host{PeerAddress: self.PeerAddress, Incarnation: self.Incarnation}, Sequence: t.sequence.Add(1), Status: t.status(isFull)}
	if isFull {
		message.From = self
	}
	return message
}

// fullMessagePeriod is how many messages apart hosts tell each other who they are and
// of whom else they have heard.
const fullMessagePeriod = 16

// SendNow makes Send send at once.
func (t *Transport) SendNow() {
	select {
	case t.sendRequested <- struct{}{}:
	default:
	}
}

// broadcast sends one message to each host that is due.
func (t *Transport) broadcast(now time.Time) error {
	to, reachable := t.membership.recipients(now)
	if len(to) == 0 {
		return nil
	}
	t.broadcasts++
	isFull := t.broadcasts%fullMessagePeriod == 1 || len(to) > len(reachable)
	message := t.newMessage(isFull)
	if isFull {
		message.KnownHosts = reachable
	}
	data, err := wire.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message")
	}
	for _, address := range to {
		t.send(data, address)
	}
	return nil
}

func (t *Transport) send(data []byte, address netip.AddrPort) {
	if _, err := t.conn.WriteToUDPAddrPort(data, address); err != nil {
		t.failed.Inc(1)
		return
	}
	t.sent.Inc(1)
}
