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
	// second regardless of the number of hosts that exchange messages.
	sendIntervalPerHost = 4 * time.Millisecond
	// idleSendInterval is the time between an idle host's messages.
	idleSendInterval = 400 * time.Millisecond
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
	// write sends a datagram.
	write func(data []byte, address netip.AddrPort) (int, error)

	bundleLimiter *rate.Limiter

	sent, received, malformed, failed, dropped metrics.Counter
	sequence                                   atomic.Uint64
	// messages counts the messages that Send has sent.
	messages      uint64
	sendRequested chan struct{}
}

// NewTransport opens the UDP socket of the local host.
func NewTransport(membership *Membership, status func(isFull bool) Status, onMessage func(Message, bool), registry metrics.Registry) (*Transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(membership.self.PeerAddress))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams on %v", membership.self.PeerAddress)
	}
	return &Transport{
		membership: membership, status: status, onMessage: onMessage, conn: conn, write: conn.WriteToUDPAddrPort, sendRequested: make(chan struct{}, 1),
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
	now := t.membership.Now()
	if len(message.Bundle) == 0 {
		isNew, isNewlyReachable := t.membership.receive(message, now)
		if !isNew {
			return
		}
		t.onMessage(message, isNewlyReachable)
		if !message.IsSummary && t.membership.needsIntroduction(message, isNewlyReachable, now) {
			t.introduce(message, now)
		}
		return
	}
	t.membership.recordBundle(message.From.PeerAddress, now)
	for _, inner := range message.Bundle {
		if inner.From.PeerAddress.IsValid() && inner.From.Incarnation != 0 && len(inner.Bundle) == 0 {
			t.handle(inner)
		}
	}
}

// introduce sends a full message to a host, with the known hosts if it knows
// fewer.
func (t *Transport) introduce(received Message, now time.Time) {
	message := t.newMessage(true, true)
	reachable := t.membership.reachableAddresses(now)
	if len(reachable) > received.KnownCount {
		message.KnownHosts = reachable
	}
	data, err := wire.Marshal(message)
	if err != nil {
		t.failed.Inc(1)
		return
	}
	t.send(data, received.From.PeerAddress)
}

// SendBundles sends the bundles of a relay until ctx is done.
func (t *Transport) SendBundles(ctx context.Context) error {
	for round := uint64(0); pause.For(ctx, bundleInterval); round++ {
		bundles := t.membership.planBundles(round, t.membership.Now())
		if len(bundles) == 0 {
			continue
		}
		// A host that was cut off for a moment hears what it missed only here.
		isDetailed := round%detailRotation == 0
		own := t.newMessage(isDetailed, isDetailed)
		own.Status.Loads, own.IsSummary = nil, true
		bundles[0].messages = append([]Message{own}, bundles[0].messages...)
		for _, b := range bundles {
			if err := t.sendBundle(b); err != nil {
				return err
			}
		}
	}
	return nil
}

// Send sends this host's messages until ctx is done.
func (t *Transport) Send(ctx context.Context) error {
	for {
		timer := time.NewTimer(t.membership.currentSendInterval())
		toAll := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-t.sendRequested:
			timer.Stop()
			toAll = true
		case <-timer.C:
		}
		if err := t.sendMessage(toAll, t.membership.Now()); err != nil {
			return err
		}
	}
}

// newMessage returns this host's next message. It describes the host if
// isDescribed is set, and includes the parts of the status that most messages
// omit if isFull is set.
func (t *Transport) newMessage(isDescribed, isFull bool) Message {
	message := Message{From: t.membership.self, Sequence: t.sequence.Add(1), Status: t.status(isFull), KnownCount: t.membership.knownCount()}
	message.Status.Active = t.membership.IsActive()
	if !isDescribed {
		message.From = Host{PeerAddress: message.From.PeerAddress, Incarnation: message.From.Incarnation}
	}
	return message
}

// fullMessagePeriod is how many messages there are from a full one to the next.
const fullMessagePeriod = 16

// SendNow makes Send send a message to all reachable hosts immediately.
func (t *Transport) SendNow() {
	select {
	case t.sendRequested <- struct{}{}:
	default:
	}
}

// sendMessage sends a message to each host that is due one, or to all.
func (t *Transport) sendMessage(toAll bool, now time.Time) error {
	to, isProbing := t.membership.recipients(now)
	if toAll {
		to = t.membership.reachableAddresses(now)
	}
	if len(to) == 0 {
		return nil
	}
	t.messages++
	isFull := t.messages%fullMessagePeriod == 1 || isProbing || toAll
	message := t.newMessage(isFull || !t.membership.IsActive(), isFull)
	if isFull {
		message.KnownHosts = t.membership.knownInSmallFleet(now)
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
	if _, err := t.write(data, address); err != nil {
		t.failed.Inc(1)
		return
	}
	t.sent.Inc(1)
}
