package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// errNotWritten is returned if a connection ended before a call was written to
// it. The call may be sent on another connection.
var errNotWritten = eris.New("connection ended before the call was written")

// errTooManyCalls rejects calls beyond MaxInFlight on one connection.
var errTooManyCalls = eris.Wrap(ErrUnreachable, "too many calls in flight")

// link is the client side of one connection.
type link struct {
	address string
	// ready is closed once the connection is open or the dial has failed.
	ready chan struct{}
	// dialErr is the error of a failed dial; conn is nil then.
	dialErr error
	conn    *frameConn
	closed  atomic.Bool
	// lastCall is when the last call began.
	lastCall monotonicTime
	pinging  atomic.Bool

	mutex   sync.Mutex
	lastID  uint64
	pending map[uint64]chan frame
}

func newLink(address string) *link {
	l := &link{
		address: address,
		ready:   make(chan struct{}),
		pending: map[uint64]chan frame{},
	}
	l.lastCall.setNow()
	return l
}

// finishDial publishes the result of the dial.
func (l *link) finishDial(conn *frameConn, err error) {
	l.conn, l.dialErr = conn, err
	if err != nil {
		l.closed.Store(true)
	}
	close(l.ready)
}

// wait blocks until the connection is open or has failed to open.
func (l *link) wait(ctx context.Context) error {
	select {
	case <-l.ready:
		return l.dialErr
	default:
	}
	select {
	case <-l.ready:
		return l.dialErr
	case <-ctx.Done():
		return eris.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

// serve reads and writes frames until the connection ends.
func (l *link) serve() {
	go l.conn.writeLoop()
	l.conn.readLoop(l.receive)
	l.closed.Store(true)
}

func (l *link) isClosed() bool { return l.closed.Load() }

// close closes the connection. A connection that is still opening is closed
// once it is open.
func (l *link) close() {
	go func() {
		<-l.ready
		l.closed.Store(true)
		if l.conn != nil {
			l.conn.close()
		}
	}()
}

// call sends one call and waits for its reply. It fails with errNotWritten if
// the call may be sent again on another connection.
func (l *link) call(ctx context.Context, call frame) ([]byte, error) {
	l.lastCall.setNow()
	replies := make(chan frame, 1)
	id, admitted := l.register(replies)
	if !admitted {
		return nil, errTooManyCalls
	}
	defer l.unregister(id)
	call.ID = id
	call.TimeoutMillis = timeoutMillis(ctx)
	out := &outgoingFrame{frame: call}
	select {
	case l.conn.queue <- out:
	case <-ctx.Done():
		return nil, l.abandon(out, ctx.Err().Error())
	case <-l.conn.done:
		return nil, errNotWritten
	}
	select {
	case reply := <-replies:
		return replyBody(reply)
	case <-ctx.Done():
		return nil, l.abandon(out, ctx.Err().Error())
	case <-l.conn.done:
		return l.resultAfterClose(out, replies)
	}
}

// resultAfterClose returns the result of a call whose connection has ended. The
// reply may have arrived just before the end.
func (l *link) resultAfterClose(out *outgoingFrame, replies chan frame) ([]byte, error) {
	select {
	case reply := <-replies:
		return replyBody(reply)
	default:
	}
	if out.transition(stateAbandoned) {
		return nil, errNotWritten
	}
	return nil, eris.Wrap(ErrNoReply, "connection ended")
}

// abandon gives up a call that timed out. The error says whether the call may
// have reached the peer.
func (l *link) abandon(out *outgoingFrame, reason string) error {
	if out.transition(stateAbandoned) {
		return eris.Wrap(ErrUnreachable, reason)
	}
	return eris.Wrap(ErrNoReply, reason)
}

func (l *link) register(replies chan frame) (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.pending) >= l.conn.options.MaxInFlight {
		return 0, false
	}
	l.lastID++
	l.pending[l.lastID] = replies
	return l.lastID, true
}

func (l *link) unregister(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, id)
}

// receive delivers a reply to its call if the call still waits.
func (l *link) receive(f frame) {
	if f.Type != frameReply && f.Type != frameReject {
		return
	}
	l.mutex.Lock()
	replies := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.mutex.Unlock()
	if replies == nil {
		l.conn.counters.lateReplies.Inc(1)
		return
	}
	replies <- f
}

func (l *link) inFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pending)
}

// checkHealth closes the connection if it is idle. It pings the peer if replies
// are outstanding and nothing was received for StallTimeout.
func (l *link) checkHealth(now time.Time) {
	select {
	case <-l.ready:
	default:
		return
	}
	if l.dialErr != nil {
		return
	}
	options := l.conn.options
	inFlight := l.inFlight()
	if inFlight == 0 && l.lastCall.elapsedUntil(now) > options.IdleTimeout {
		l.close()
		return
	}
	silence := l.conn.lastReceived.elapsedUntil(now)
	if inFlight > 0 && silence > options.StallTimeout && l.pinging.CompareAndSwap(false, true) {
		go l.ping(options.StallTimeout)
	}
}

// ping closes the connection if the peer does not respond in time.
func (l *link) ping(timeout time.Duration) {
	defer l.pinging.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if l.conn.socket.Ping(ctx) != nil {
		l.conn.close()
		return
	}
	l.conn.lastReceived.setNow()
}

// replyBody returns the response bytes of a reply, or ErrRejected.
func replyBody(reply frame) ([]byte, error) {
	if reply.Type == frameReject {
		return nil, eris.Wrap(ErrRejected, reply.Text)
	}
	return reply.Body, nil
}

func timeoutMillis(ctx context.Context) uint32 {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return 0
	}
	return uint32(max(1, time.Until(deadline).Milliseconds()))
}
