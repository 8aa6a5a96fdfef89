package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// errNotWritten means that a connection ended before a call was written to
// it, so that the call may go over another one.
var errNotWritten = eris.New("connection ended before the call was written")

// errBusy refuses calls beyond MaxInFlight on one connection.
var errBusy = eris.Wrap(ErrUnreachable, "too many calls in flight")

// link is the calling side of one connection.
type link struct {
	address string
	// ready is closed when the connection is open or failed to open.
	ready chan struct{}
	// failure tells why it failed to open; pipe is nil then.
	failure error
	pipe    *pipe
	over    atomic.Bool
	// usedAt is when the last call began.
	usedAt  instant
	pinging atomic.Bool

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
	l.usedAt.set()
	return l
}

// opened publishes the outcome of the dial.
func (l *link) opened(pipe *pipe, failure error) {
	l.pipe, l.failure = pipe, failure
	if failure != nil {
		l.over.Store(true)
	}
	close(l.ready)
}

// wait blocks until the connection is open.
func (l *link) wait(ctx context.Context) error {
	select {
	case <-l.ready:
		return l.failure
	default:
	}
	select {
	case <-l.ready:
		return l.failure
	case <-ctx.Done():
		return eris.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

// serve moves frames until the connection ends.
func (l *link) serve() {
	go l.pipe.write()
	l.pipe.read(l.receive)
	l.over.Store(true)
}

func (l *link) isOver() bool { return l.over.Load() }

// close ends the connection if it is open or opens later.
func (l *link) close() {
	go func() {
		<-l.ready
		l.over.Store(true)
		if l.pipe != nil {
			l.pipe.close()
		}
	}()
}

// call sends one call and waits for its answer. It fails with errNotWritten if
// the call may be repeated on another connection.
func (l *link) call(ctx context.Context, call frame) ([]byte, error) {
	l.usedAt.set()
	answer := make(chan frame, 1)
	id, admitted := l.register(answer)
	if !admitted {
		return nil, errBusy
	}
	defer l.forget(id)
	call.ID = id
	call.TimeoutMillis = timeoutMillis(ctx)
	out := &outgoing{frame: call}
	select {
	case l.pipe.queue <- out:
	case <-ctx.Done():
		return nil, l.giveUp(out, ctx.Err().Error())
	case <-l.pipe.done:
		return nil, errNotWritten
	}
	select {
	case reply := <-answer:
		return unpack(reply)
	case <-ctx.Done():
		return nil, l.giveUp(out, ctx.Err().Error())
	case <-l.pipe.done:
		return l.ended(out, answer)
	}
}

// ended decides on a call whose connection has ended; its answer may have come
// just before.
func (l *link) ended(out *outgoing, answer chan frame) ([]byte, error) {
	select {
	case reply := <-answer:
		return unpack(reply)
	default:
	}
	if out.take(stateAbandoned) {
		return nil, errNotWritten
	}
	return nil, eris.Wrap(ErrLost, "connection ended")
}

// giveUp tells whether a call that timed out may have reached the peer.
func (l *link) giveUp(out *outgoing, reason string) error {
	if out.take(stateAbandoned) {
		return eris.Wrap(ErrUnreachable, reason)
	}
	return eris.Wrap(ErrLost, reason)
}

func (l *link) register(answer chan frame) (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.pending) >= l.pipe.options.MaxInFlight {
		return 0, false
	}
	l.lastID++
	l.pending[l.lastID] = answer
	return l.lastID, true
}

func (l *link) forget(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, id)
}

// receive hands an answer to its call, if that still waits.
func (l *link) receive(f frame) {
	if f.Type != frameReply && f.Type != frameReject {
		return
	}
	l.mutex.Lock()
	answer := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.mutex.Unlock()
	if answer == nil {
		l.pipe.counters.lateReplies.Inc(1)
		return
	}
	answer <- f
}

func (l *link) inFlight() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pending)
}

// check closes the connection if it is idle, and pings it if it owes answers
// in silence.
func (l *link) check(now time.Time) {
	select {
	case <-l.ready:
	default:
		return
	}
	if l.failure != nil {
		return
	}
	options := l.pipe.options
	inFlight := l.inFlight()
	if inFlight == 0 && l.usedAt.before(now) > options.IdleTimeout {
		l.close()
		return
	}
	silence := l.pipe.heardAt.before(now)
	if inFlight > 0 && silence > options.StallTimeout && l.pinging.CompareAndSwap(false, true) {
		go l.ping(options.StallTimeout)
	}
}

// ping closes the connection if the peer does not answer in time.
func (l *link) ping(timeout time.Duration) {
	defer l.pinging.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if l.pipe.conn.Ping(ctx) != nil {
		l.pipe.close()
		return
	}
	l.pipe.heardAt.set()
}

// unpack turns an answer into the response's bytes or ErrRejected.
func unpack(reply frame) ([]byte, error) {
	if reply.Type == frameReject {
		return nil, eris.Wrap(ErrRejected, reply.Text)
	}
	return reply.Body, nil
}

func timeoutMillis(ctx context.Context) uint32 {
	deadline, limited := ctx.Deadline()
	if !limited {
		return 0
	}
	return uint32(max(1, time.Until(deadline).Milliseconds()))
}
