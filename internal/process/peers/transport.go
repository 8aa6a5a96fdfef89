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
	// minSendInterval is the minimum time between a host's messages: short
	// compared with a request's duration, long compared with the cost of a
	// message.
	minSendInterval = 60 * time.Millisecond
	// sendIntervalPerHost limits the messages a host receives to a few hundred a
	// second regardless of the fleet size.
	sendIntervalPerHost = 8 * time.Millisecond
	// minBundlingHosts is the number of reachable hosts from which broadcasts
	// would be too infrequent. From there on, the hosts of a failure domain send
	// their messages to a relay, which distributes them in bundles.
	minBundlingHosts = 16
	// bundleInterval is the time between bundles. A load report is two to three
	// intervals old on arrival.
	bundleInterval = 80 * time.Millisecond
	// maxBundleBytes bounds a bundle so that it fits one packet.
	maxBundleBytes = 1300
	// bundleBandwidthShare is the fraction of a host's network link that bundles
	// may use; the rest is for requests. Bundles above it are dropped, so that
	// other hosts' information becomes older.
	bundleBandwidthShare = 0.25
	// bundleBurstDuration is how much of that rate may be sent as one burst.
	bundleBurstDuration = 500 * time.Millisecond
)

// newBundleLimiter limits the bundle bytes for a link capacity in Mbit/s. There
// is no limit if the capacity is unknown.
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
	// status returns this host's status; isFull asks for the parts that most
	// messages omit.
	status func(isFull bool) Status
	// onMessage is called with each new message.
	onMessage func(message Message, isNewlyReachable bool)
	conn      *net.UDPConn

	bundleLimiter *rate.Limiter

	sent, received, malformed, failed, dropped metrics.Counter
	sequence                                   atomic.Uint64
	// broadcasts counts the messages sent to all hosts.
	broadcasts    uint64
	sendRequested chan struct{}
}

// NewTransport opens the UDP socket of the local host.
func NewTransport(membership *Membership, status func(isFull bool) Status, onMessage func(Message, bool), registry metrics.Registry) (*Transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(membership.self.PeerAddress))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams on %v", membership.self.PeerAddress)
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

// Receive processes messages until ctx is done.
func (t *Transport) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Unblocks the read below; the socket is no longer used.
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
			t.failed.Inc(1) // for example ICMP port unreachable from a peer
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

// handle processes a message, or the messages of a bundle.
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

// sendBundleTo sends a bundle to several hosts, or drops it if that would exceed
// the bandwidth limit.
func (t *Transport) sendBundleTo(bundle []byte, addresses []netip.AddrPort) {
	if !t.bundleLimiter.AllowN(time.Now(), len(bundle)*len(addresses)) {
		t.dropped.Inc(1)
		return
	}
	for _, address := range addresses {
		t.send(bundle, address)
	}
}

// SendBundles sends bundles, or this host's message to its relay, until ctx is
// done.
func (t *Transport) SendBundles(ctx context.Context) error {
	for pause.For(ctx, bundleInterval) {
		if err := t.sendDueMessages(t.membership.planBundles(time.Now())); err != nil {
			return err
		}
	}
	return nil
}

// sendDueMessages sends the bundles of a plan if this host is the relay, and
// this host's message to the relay otherwise.
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
			// Bundled messages do not carry known hosts.
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

// sendBundle sends messages to the hosts of this domain, and to the relays of
// the other domains for forwarding.
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

// Send broadcasts messages until ctx is done.
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

// newMessage returns this host's next message.
func (t *Transport) newMessage(isFull bool) Message {
	self := t.membership.self
	message := Message{From: Host{PeerAddress: self.PeerAddress, Incarnation: self.Incarnation}, Sequence: t.sequence.Add(1), Status: t.status(isFull)}
	if isFull {
		message.From = self
	}
	return message
}

// fullMessagePeriod is how many broadcasts there are from one with the host's
// description and known hosts to the next.
const fullMessagePeriod = 16

// SendNow makes Send broadcast immediately.
func (t *Transport) SendNow() {
	select {
	case t.sendRequested <- struct{}{}:
	default:
	}
}

// broadcast sends a message to each host that is due one.
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
