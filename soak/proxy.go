package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Mode is what a proxy does to connections. Held bytes are forwarded when the mode
// ends, as after a temporary loss of the path.
type Mode struct {
	// HoldIn holds the bytes to the target, HoldOut those from it.
	HoldIn, HoldOut bool
	// Delay is added to each chunk in both directions.
	Delay time.Duration
	// Refuse resets each new connection.
	Refuse bool
	// BytesPerSecond limits the bytes from the target on all connections together; 0 means
	// no limit.
	BytesPerSecond int
}

// Proxy forwards TCP connections to a target.
type Proxy struct {
	// Address is the listen address.
	Address string
	target  string

	mu sync.Mutex
	// listener is nil while the target counts as ended, isClosed is set by Close.
	listener net.Listener
	isClosed bool
	modes    map[*Mode]struct{}
	// refused holds functions that report which clients are cut off.
	refused    map[int]clientCheck
	changed    chan struct{}
	lastCutOff int
	// narrow limits the bytes from the target.
	narrow *rate.Limiter
	pairs  map[*connPair]struct{}
}

// connPair is a client's connection and the matching connection to the target.
type connPair struct{ client, upstream net.Conn }

// reset closes both connections so that their peers see a reset.
func (p *connPair) reset() {
	for _, conn := range []net.Conn{p.client, p.upstream} {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

const (
	// The kernel gives outgoing connections no ports from firstPort to lastPort unless
	// it is configured to.
	firstPort, lastPort = 15000, 32000
	maxListenTries      = 100
)

// listenOnFixedPort listens on a port that no outgoing connection takes while the
// listener is closed.
func listenOnFixedPort() (net.Listener, error) {
	for try := 1; ; try++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil || try == maxListenTries {
			return listener, err
		}
	}
}

// NewProxy starts a proxy on a free port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := listenOnFixedPort()
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address: listener.Addr().String(), target: target, listener: listener,
		modes: map[*Mode]struct{}{}, refused: map[int]clientCheck{}, changed: make(chan struct{}), pairs: map[*connPair]struct{}{},
		narrow: rate.NewLimiter(rate.Inf, proxyBufferBytes),
	}
	go p.accept(listener)
	return p, nil
}

// End makes the target look like a process that ended: connections are reset and
// new ones refused until the returned function is called. It returns nil if the
// target has ended already.
func (p *Proxy) End() (restart func() error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	_ = p.listener.Close()
	p.listener = nil
	for pair := range p.pairs {
		pair.reset()
	}
	return p.restart
}

func (p *Proxy) restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil
	}
	listener, err := net.Listen("tcp4", p.Address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// Apply adds a mode until the returned function is called.
func (p *Proxy) Apply(mode Mode) (end func()) {
	p.updateModes(func() { p.modes[&mode] = struct{}{} })
	return func() { p.updateModes(func() { delete(p.modes, &mode) }) }
}

// updateModes changes the modes and wakes the goroutines that wait for a change.
func (p *Proxy) updateModes(update func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update()
	limit := rate.Inf
	for mode := range p.modes {
		if mode.BytesPerSecond > 0 {
			limit = min(limit, rate.Limit(mode.BytesPerSecond))
		}
	}
	p.narrow.SetLimit(limit)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.reset()
	}
}

// clientCheck reports whether an accepted connection is that of a certain client.
type clientCheck func(accepted net.Conn) bool

// CutOff resets the connections of the clients that the function accepts, and
// refuses new ones from them, until the returned function is called.
func (p *Proxy) CutOff(isCutOff clientCheck) (end func()) {
	p.mu.Lock()
	p.lastCutOff++
	id := p.lastCutOff
	p.refused[id] = isCutOff
	pairs := slices.Collect(maps.Keys(p.pairs))
	p.mu.Unlock()
	// The check takes long. Meanwhile other connections must go on.
	for _, pair := range pairs {
		if isCutOff(pair.client) {
			pair.reset()
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.refused, id)
	}
}

// isCutOff reports whether a client is cut off.
func (p *Proxy) isCutOff(client net.Conn) bool {
	p.mu.Lock()
	checks := slices.Collect(maps.Values(p.refused))
	p.mu.Unlock()
	return slices.ContainsFunc(checks, func(isCutOff clientCheck) bool { return isCutOff(client) })
}

// Close stops the listener, ends all modes and resets all connections.
func (p *Proxy) Close() {
	p.updateModes(func() {
		p.isClosed = true
		if p.listener != nil {
			_ = p.listener.Close()
		}
		clear(p.modes)
	})
	p.Reset()
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.connect(near)
	}
}

func (p *Proxy) connect(client net.Conn) {
	mode, _ := p.combinedMode()
	if mode.Refuse || p.isCutOff(client) {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		// An unreachable target looks like a reset to the client.
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	pair := &connPair{client: client, upstream: upstream}
	p.mu.Lock()
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() {
		p.forward(pair, upstream, client, rate.NewLimiter(rate.Inf, 0), func(m Mode) bool { return m.HoldIn })
	})
	pumps.Go(func() { p.forward(pair, client, upstream, p.narrow, func(m Mode) bool { return m.HoldOut }) })
	pumps.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
	_ = client.Close()
	_ = upstream.Close()
}

// proxyBufferBytes is how much of a connection is forwarded at once.
const proxyBufferBytes = 32 << 10

// forward copies bytes until the connection ends, and propagates the end: a close
// as a close, a reset as a reset.
func (p *Proxy) forward(pair *connPair, to, from net.Conn, limiter *rate.Limiter, isHeld func(Mode) bool) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		_ = limiter.WaitN(context.Background(), n) // without a deadline it does not fail
		p.wait(isHeld)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				pair.reset()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			pair.reset()
			return
		}
	}
}

// wait delays a chunk and blocks while a mode holds it.
func (p *Proxy) wait(isHeld func(Mode) bool) {
	mode, changed := p.combinedMode()
	if mode.Delay > 0 {
		time.Sleep(mode.Delay)
		mode, changed = p.combinedMode()
	}
	for isHeld(mode) {
		<-changed
		mode, changed = p.combinedMode()
	}
}

// combinedMode returns the combination of all modes and a channel that is closed at
// the next change.
func (p *Proxy) combinedMode() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	combined := Mode{}
	for mode := range p.modes {
		combined.HoldIn = combined.HoldIn || mode.HoldIn
		combined.HoldOut = combined.HoldOut || mode.HoldOut
		combined.Refuse = combined.Refuse || mode.Refuse
		combined.Delay = max(combined.Delay, mode.Delay)
	}
	return combined, p.changed
}
