package mesh

import (
	"context"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// outgoing is a frame on its way to the writer.
type outgoing struct {
	frame frame
	state atomic.Int32
}

// States of an outgoing frame. Whoever takes a queued frame first, the writer
// or a sender that gives up, decides whether it may reach the peer.
const (
	stateQueued int32 = iota
	stateWritten
	stateAbandoned
)

// take moves a queued frame to the state and reports whether it was queued.
func (o *outgoing) take(state int32) bool {
	return o.state.CompareAndSwap(stateQueued, state)
}

// pipe moves frames over one WebSocket connection, in batches.
type pipe struct {
	conn     *websocket.Conn
	options  Options
	counters *counters
	// peer is the other side, as it named itself.
	peer  identity.Host
	queue chan *outgoing
	// done is closed when the connection is given up.
	done   chan struct{}
	closed atomic.Bool
	// heardAt is when the last message came.
	heardAt instant
}

func newPipe(conn *websocket.Conn, options Options, counters *counters) *pipe {
	conn.SetReadLimit(options.readLimit())
	return &pipe{
		conn:     conn,
		options:  options,
		counters: counters,
		queue:    make(chan *outgoing, queuedFrames),
		done:     make(chan struct{}),
	}
}

// close gives up the connection. Further calls have no effect.
func (p *pipe) close() {
	if p.closed.CompareAndSwap(false, true) {
		close(p.done)
		p.conn.CloseNow()
	}
}

// greet sends this host's hello.
func (p *pipe) greet(ctx context.Context) error {
	body, err := wire.Marshal(p.options.hello())
	if err != nil {
		return eris.Wrap(err, "encoding hello")
	}
	message, err := p.encode(nil, frame{Type: frameHello, Body: body})
	if err != nil {
		return err
	}
	return p.conn.Write(ctx, websocket.MessageBinary, message)
}

// meet reads the peer's hello.
func (p *pipe) meet(ctx context.Context) error {
	_, message, err := p.conn.Read(ctx)
	if err != nil {
		return eris.Wrap(err, "reading hello")
	}
	first, _, err := splitFrame(message)
	if err != nil {
		return err
	}
	var greeting hello
	if err := wire.Unmarshal(first.Body, &greeting); err != nil || first.Type != frameHello {
		return eris.Wrap(errFrame, "no hello")
	}
	if !greeting.speaks() {
		return eris.Errorf("peer speaks mesh protocol %d, at least %d", greeting.Version, greeting.Oldest)
	}
	p.options.Clock.Observe(first.Stamp)
	p.peer = greeting.Host
	p.heardAt.set()
	return nil
}

// write sends queued frames until the connection is given up.
func (p *pipe) write() {
	defer p.close()
	var batch []byte
	for {
		select {
		case <-p.done:
			return
		case first := <-p.queue:
			batch = p.collect(batch[:0], first)
		}
		if len(batch) > 0 && !p.flush(batch) {
			return
		}
		if cap(batch) > batchBytes*2 {
			batch = nil
		}
	}
}

// collect encodes the first frame and those that wait behind it.
func (p *pipe) collect(batch []byte, next *outgoing) []byte {
	for {
		batch = p.add(batch, next)
		if len(batch) >= batchBytes {
			return batch
		}
		select {
		case next = <-p.queue:
		default:
			return batch
		}
	}
}

// add encodes a frame unless its sender gave up or the gate drops it.
func (p *pipe) add(batch []byte, next *outgoing) []byte {
	if !next.take(stateWritten) {
		return batch
	}
	if !p.options.Gate.Passes(p.peer.MeshAddress, ToPeer) {
		p.counters.droppedFrames.Inc(1)
		return batch
	}
	longer, err := p.encode(batch, next.frame)
	if err != nil {
		p.counters.droppedFrames.Inc(1)
		return batch
	}
	p.counters.sentFrames.Inc(1)
	return longer
}

func (p *pipe) encode(batch []byte, f frame) ([]byte, error) {
	f.Stamp = p.options.Clock.Now()
	encoded, err := wire.Marshal(f)
	if err != nil {
		return nil, eris.Wrap(err, "encoding frame")
	}
	return append(batch, encoded...), nil
}

func (p *pipe) flush(batch []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	p.counters.sentBytes.Inc(int64(len(batch)))
	return p.conn.Write(ctx, websocket.MessageBinary, batch) == nil
}

// read hands the peer's frames to receive until the connection ends or breaks
// the protocol.
func (p *pipe) read(receive func(frame)) {
	defer p.close()
	for {
		_, message, err := p.conn.Read(context.Background())
		if err != nil {
			return
		}
		p.heardAt.set()
		p.counters.receivedBytes.Inc(int64(len(message)))
		if !p.deliver(message, receive) {
			return
		}
	}
}

// deliver splits a message into frames. It reports false if it is malformed.
func (p *pipe) deliver(message []byte, receive func(frame)) bool {
	for len(message) > 0 {
		f, rest, err := splitFrame(message)
		if err != nil {
			return false
		}
		message = rest
		if !p.options.Gate.Passes(p.peer.MeshAddress, FromPeer) {
			p.counters.droppedFrames.Inc(1)
			continue
		}
		p.counters.receivedFrames.Inc(1)
		p.options.Clock.Observe(f.Stamp)
		receive(f)
	}
	return true
}
