package mesh

import (
	"context"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/identity"
)

// outgoingFrame is a frame that is queued for writing.
type outgoingFrame struct {
	frame frame
	state atomic.Int32
}

// States of an outgoing frame. Both the writer and a sender that gives up try
// to change the state of a queued frame; only the first one succeeds, which
// decides whether the frame may reach the peer.
const (
	stateQueued int32 = iota
	stateWritten
	stateAbandoned
)

// transition changes the state of a queued frame. It reports false if the frame
// was no longer queued.
func (o *outgoingFrame) transition(state int32) bool {
	return o.state.CompareAndSwap(stateQueued, state)
}

// frameConn reads and writes batches of frames on one WebSocket connection.
type frameConn struct {
	socket   *websocket.Conn
	options  Options
	counters *counters
	// peer is the remote host as announced in its hello.
	peer  identity.Host
	queue chan *outgoingFrame
	// done is closed when the connection is closed.
	done   chan struct{}
	closed atomic.Bool
	// lastReceived is when the last message or pong arrived.
	lastReceived monotonicTime
}

func newFrameConn(socket *websocket.Conn, options Options, counters *counters) *frameConn {
	socket.SetReadLimit(options.readLimit())
	return &frameConn{
		socket:   socket,
		options:  options,
		counters: counters,
		queue:    make(chan *outgoingFrame, maxQueuedFrames),
		done:     make(chan struct{}),
	}
}

// close closes the connection. It is idempotent.
func (c *frameConn) close() {
	if c.closed.CompareAndSwap(false, true) {
		close(c.done)
		c.socket.CloseNow()
	}
}

// sendHello sends this host's hello.
func (c *frameConn) sendHello(ctx context.Context) error {
	body, err := wireCodec.Marshal(c.options.hello())
	if err != nil {
		return eris.Wrap(err, "encoding hello")
	}
	message, err := c.encode(nil, frame{Type: frameHello, Body: body})
	if err != nil {
		return err
	}
	return c.socket.Write(ctx, websocket.MessageBinary, message)
}

// receiveHello reads and checks the peer's hello.
func (c *frameConn) receiveHello(ctx context.Context) error {
	_, message, err := c.socket.Read(ctx)
	if err != nil {
		return eris.Wrap(err, "reading hello")
	}
	first, _, err := splitFrame(message)
	if err != nil {
		return err
	}
	var remote hello
	if err := wireCodec.Unmarshal(first.Body, &remote); err != nil || first.Type != frameHello {
		return eris.Wrap(errMalformedFrame, "first frame is not a hello")
	}
	if !remote.isCompatible() {
		return eris.Errorf("peer has incompatible mesh protocol version %d, minimum %d", remote.Version, remote.MinVersion)
	}
	c.options.Clock.Observe(first.Stamp)
	c.peer = remote.Host
	c.lastReceived.setNow()
	return nil
}

// writeLoop writes queued frames until the connection is closed.
func (c *frameConn) writeLoop() {
	defer c.close()
	var batch []byte
	for {
		select {
		case <-c.done:
			return
		case first := <-c.queue:
			batch = c.fillBatch(batch[:0], first)
		}
		if len(batch) > 0 && !c.writeBatch(batch) {
			return
		}
		if cap(batch) > batchBytes*2 {
			batch = nil
		}
	}
}

// fillBatch encodes the given frame and the frames queued behind it, up to
// batchBytes.
func (c *frameConn) fillBatch(batch []byte, next *outgoingFrame) []byte {
	for {
		batch = c.appendFrame(batch, next)
		if len(batch) >= batchBytes {
			return batch
		}
		select {
		case next = <-c.queue:
		default:
			return batch
		}
	}
}

// appendFrame encodes a frame unless its sender has given up or the gate drops
// it.
func (c *frameConn) appendFrame(batch []byte, next *outgoingFrame) []byte {
	if !next.transition(stateWritten) {
		return batch
	}
	if !c.options.Gate.Passes(c.peer.MeshAddress, ToPeer) {
		c.counters.droppedFrames.Inc(1)
		return batch
	}
	extended, err := c.encode(batch, next.frame)
	if err != nil {
		c.counters.droppedFrames.Inc(1)
		return batch
	}
	c.counters.sentFrames.Inc(1)
	return extended
}

func (c *frameConn) encode(batch []byte, f frame) ([]byte, error) {
	f.Stamp = c.options.Clock.Now()
	encoded, err := wireCodec.Marshal(f)
	if err != nil {
		return nil, eris.Wrap(err, "encoding frame")
	}
	return append(batch, encoded...), nil
}

func (c *frameConn) writeBatch(batch []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	c.counters.sentBytes.Inc(int64(len(batch)))
	return c.socket.Write(ctx, websocket.MessageBinary, batch) == nil
}

// readLoop passes the peer's frames to receive until the connection ends or a
// message is malformed.
func (c *frameConn) readLoop(receive func(frame)) {
	defer c.close()
	for {
		_, message, err := c.socket.Read(context.Background())
		if err != nil {
			return
		}
		c.lastReceived.setNow()
		c.counters.receivedBytes.Inc(int64(len(message)))
		if !c.deliver(message, receive) {
			return
		}
	}
}

// deliver splits a message into frames. It reports false if the message is
// malformed.
func (c *frameConn) deliver(message []byte, receive func(frame)) bool {
	for len(message) > 0 {
		f, rest, err := splitFrame(message)
		if err != nil {
			return false
		}
		message = rest
		if !c.options.Gate.Passes(c.peer.MeshAddress, FromPeer) {
			c.counters.droppedFrames.Inc(1)
			continue
		}
		c.counters.receivedFrames.Inc(1)
		c.options.Clock.Observe(f.Stamp)
		receive(f)
	}
	return true
}
