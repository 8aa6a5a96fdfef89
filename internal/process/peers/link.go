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
	// leastEvery is the shortest time between a host's messages: short beside
	// the time that a request takes, long beside what a message costs.
	leastEvery = 60 * time.Millisecond
	// everyPerHost bounds the messages a host receives to some hundred a
	// second, however many hosts there are.
	everyPerHost = 8 * time.Millisecond
	// bundleAbove is the number of heard hosts from which messages to all of
	// them would be too far apart: the hosts of a failure domain then send
	// theirs to one of them, which sends them on in bundles.
	bundleAbove = 16
	// bundleEvery is the pause between bundles; a load is two to three of them
	// old when it arrives.
	bundleEvery = 80 * time.Millisecond
	// bundleBytes bounds a bundle to what fits one packet.
	bundleBytes = 1300
	// bundlePart is the part of a host's network link that bundles may fill;
	// the rest is for requests. Bundles beyond it are dropped, which makes what
	// the others know older.
	bundlePart = 0.25
	// bundleBurst is for how long bundles may come at once.
	bundleBurst = 500 * time.Millisecond
)

// newBundleRate bounds the bytes of bundles for a link of so many megabits a
// second; nothing is bounded if that is not known.
func newBundleRate(mbps int) *rate.Limiter {
	if mbps <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	bytes := float64(mbps) * 1e6 / 8 * bundlePart
	return rate.NewLimiter(rate.Limit(bytes), int(bytes*bundleBurst.Seconds()))
}

// Link sends and receives messages.
type Link struct {
	roster *Roster
	// status gives what this host tells of itself; isFull asks for what is
	// mostly left out.
	status func(isFull bool) Status
	// heard is told of each new message.
	heard func(message Message, isBack bool)
	conn  *net.UDPConn

	bundles *rate.Limiter

	sent, received, malformed, failed, dropped metrics.Counter
	number                                     atomic.Uint64
	// told counts the messages to all hosts.
	told   uint64
	urgent chan struct{}
}

// NewLink opens the socket for a roster's host.
func NewLink(roster *Roster, status func(isFull bool) Status, heard func(Message, bool), registry metrics.Registry) (*Link, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(roster.self.Link))
	if err != nil {
		return nil, eris.Wrapf(err, "datagrams at %v", roster.self.Link)
	}
	return &Link{
		roster: roster, status: status, heard: heard, conn: conn, urgent: make(chan struct{}, 1),
		bundles:   newBundleRate(roster.self.Mbps),
		sent:      metrics.GetOrRegisterCounter("peers.sent", registry),
		received:  metrics.GetOrRegisterCounter("peers.received", registry),
		malformed: metrics.GetOrRegisterCounter("peers.malformed", registry),
		failed:    metrics.GetOrRegisterCounter("peers.send_failed", registry),
		dropped:   metrics.GetOrRegisterCounter("peers.bundles_dropped", registry),
	}, nil
}

// Receive takes messages in until the context ends.
func (l *Link) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Ends the read below; the socket is not used any more.
		_ = l.conn.Close()
	})
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "datagrams")
		}
		if err != nil {
			l.failed.Inc(1) // an unreachable peer shows as an error here
			continue
		}
		message, err := decode(buffer[:n])
		if err != nil {
			l.malformed.Inc(1)
			continue
		}
		l.received.Inc(1)
		l.take(message)
	}
}

// take takes in a message, or those of a bundle.
func (l *Link) take(message Message) {
	now := time.Now()
	if len(message.Bundle) == 0 {
		if isNew, isBack := l.roster.hear(message, now); isNew {
			l.heard(message, isBack)
		}
		return
	}
	for _, one := range message.Bundle {
		if one.From.Link.IsValid() && one.From.Incarnation != 0 && len(one.Bundle) == 0 {
			l.take(one)
		}
	}
	if !message.PassOn {
		return
	}
	message.PassOn = false
	data, err := wire.Marshal(message)
	if err != nil {
		l.malformed.Inc(1)
		return
	}
	l.sendTo(data, l.roster.bundling(now).members)
}

// sendTo sends a bundle to some hosts, unless that would fill the network link.
func (l *Link) sendTo(bundle []byte, links []netip.AddrPort) {
	if !l.bundles.AllowN(time.Now(), len(bundle)*len(links)) {
		l.dropped.Inc(1)
		return
	}
	for _, link := range links {
		l.send(bundle, link)
	}
}

// SendBundles sends bundles, or this host's message to the host that bundles,
// until the context ends.
func (l *Link) SendBundles(ctx context.Context) error {
	for pause.For(ctx, bundleEvery) {
		if err := l.bundle(l.roster.bundling(time.Now())); err != nil {
			return err
		}
	}
	return nil
}

// bundle sends what is due.
func (l *Link) bundle(b bundling) error {
	if !b.relay.IsValid() {
		return nil
	}
	own := l.message(false)
	if b.relay != l.roster.self.Link {
		data, err := wire.Marshal(own)
		if err != nil {
			return eris.Wrap(err, "message")
		}
		l.send(data, b.relay)
		return nil
	}
	messages := append([]Message{own}, b.latest...)
	for len(messages) > 0 {
		size, count := 0, 0
		for count < len(messages) {
			// The hosts that a message names are not passed on.
			messages[count].Hosts = nil
			encoded, err := wire.Marshal(messages[count])
			if err != nil {
				return eris.Wrap(err, "message")
			}
			if count > 0 && size+len(encoded) > bundleBytes {
				break
			}
			size += len(encoded)
			count++
		}
		if err := l.sendBundle(messages[:count], b); err != nil {
			return err
		}
		messages = messages[count:]
	}
	return nil
}

// sendBundle sends messages to the hosts of this domain, and to those that pass
// them on in the others.
func (l *Link) sendBundle(messages []Message, b bundling) error {
	self := l.roster.self
	bundle := Message{From: Host{Link: self.Link, Incarnation: self.Incarnation}, Bundle: messages}
	for _, to := range []struct {
		links  []netip.AddrPort
		passOn bool
	}{{b.members, false}, {b.relays, true}} {
		bundle.PassOn = to.passOn
		data, err := wire.Marshal(bundle)
		if err != nil {
			return eris.Wrap(err, "bundle")
		}
		l.sendTo(data, to.links)
	}
	return nil
}

// Send sends messages until the context ends.
func (l *Link) Send(ctx context.Context) error {
	for {
		l.roster.mu.Lock()
		every := l.roster.every
		l.roster.mu.Unlock()
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-l.urgent:
			timer.Stop()
		case <-timer.C:
		}
		if err := l.tell(time.Now()); err != nil {
			return err
		}
	}
}

// message is this host's next message.
func (l *Link) message(isFull bool) Message {
	self := l.roster.self
	message := Message{From: Host{Link: self.Link, Incarnation: self.Incarnation}, Number: l.number.Add(1), Status: l.status(isFull)}
	if isFull {
		message.From = self
	}
	return message
}

// rosterEvery is how many messages apart hosts tell each other who they are and
// of whom else they have heard.
const rosterEvery = 16

// Urge makes Send send at once.
func (l *Link) Urge() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// tell sends one message to each host that is due.
func (l *Link) tell(now time.Time) error {
	to, heard := l.roster.due(now)
	if len(to) == 0 {
		return nil
	}
	l.told++
	isFull := l.told%rosterEvery == 1 || len(to) > len(heard)
	message := l.message(isFull)
	if isFull {
		message.Hosts = heard
	}
	data, err := wire.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "message")
	}
	for _, link := range to {
		l.send(data, link)
	}
	return nil
}

func (l *Link) send(data []byte, link netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(data, link); err != nil {
		l.failed.Inc(1)
		return
	}
	l.sent.Inc(1)
}
