package upstream

import (
	"bytes"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// StallHandler is called when an endpoint is silent. It returns when to call it again, or
// false to let the read fail with a timeout.
type StallHandler func() (next time.Time, wait bool)

const (
	// maxUnacknowledged is how long a request may remain unacknowledged by the endpoint's
	// host. It is shorter than kernelTimeout: a connection that the kernel drops is not
	// reset, and the endpoint may receive the request much later.
	maxUnacknowledged = 2 * time.Second
	// maxTimerDelay is how late a timeout may be noticed. Beyond that, this process did
	// not run, and the silence is measured again.
	maxTimerDelay = 100 * time.Millisecond
	// maxOverdueRead is how long after its deadline what arrives of a response is read.
	maxOverdueRead = 300 * time.Millisecond
)

// unacknowledgedError means that the connection was reset because the endpoint's host did
// not acknowledge the request.
type unacknowledgedError struct{}

func (unacknowledgedError) Error() string { return "the request was not acknowledged" }

// Timeout reports that the endpoint was silent.
func (unacknowledgedError) Timeout() bool { return true }

// responseWait is the wait for a response, or for more of it.
type responseWait struct {
	// deadline is when the wait ends, maxSilence how long it lasts until the endpoint
	// counts as silent; 0 if there is no such limit.
	deadline   time.Time
	maxSilence time.Duration
	// acknowledgedBy is when the request must have been acknowledged; zero once it has
	// been.
	acknowledgedBy time.Time
	// silentAt is when the endpoint counts as silent; zero without a limit.
	silentAt time.Time
	// isRepeated is set if the silence must not be measured again before the next byte.
	isRepeated bool
	// overdueUntil is when reading ends after the deadline; zero until it has passed.
	overdueUntil time.Time
}

// start begins to measure the silence.
func (w *responseWait) start(now time.Time) {
	w.silentAt = time.Time{}
	if w.maxSilence > 0 {
		w.silentAt = now.Add(w.maxSilence)
	}
}

// nextTimeout returns when the wait times out next.
func (w *responseWait) nextTimeout() time.Time {
	next := w.deadline
	for _, at := range []time.Time{w.silentAt, w.acknowledgedBy} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// isOverdue reports whether the deadline passed so long ago that nothing more is read.
func (w *responseWait) isOverdue(now time.Time) bool {
	if now.Before(w.deadline) {
		return false
	}
	if w.overdueUntil.IsZero() {
		w.overdueUntil = now.Add(maxOverdueRead)
	}
	return now.After(w.overdueUntil)
}

// OnStall sets how long the endpoint may be silent, and what is called then; without a
// handler the read fails with a timeout.
func (c *Conn) OnStall(maxSilence time.Duration, handler StallHandler) {
	c.wait.maxSilence, c.onStall = maxSilence, handler
}

// beginWait begins the wait for the header of the response to a request that was sent. A
// long body may take its time to be acknowledged.
func (c *Conn) beginWait(deadline time.Time, isLong bool) error {
	now := time.Now()
	c.wait = responseWait{deadline: deadline, maxSilence: c.wait.maxSilence}
	if !isLong {
		c.wait.acknowledgedBy = now.Add(maxUnacknowledged)
	}
	c.wait.start(now)
	return c.net.SetReadDeadline(c.wait.nextTimeout())
}

// Await begins the wait for more of the body, which ends at the deadline. The endpoint
// counts as silent after maxSilence, or never if it is 0. Bytes that arrive do not extend
// the wait, nor does a new wait the time for reading after the deadline.
func (r *Response) Await(maxSilence time.Duration, deadline time.Time) error {
	c := r.conn
	c.wait = responseWait{deadline: deadline, maxSilence: maxSilence, overdueUntil: c.wait.overdueUntil}
	c.wait.start(time.Now())
	return c.net.SetReadDeadline(c.wait.nextTimeout())
}

// countInFlight returns the number of bytes that were sent on a connection and not
// acknowledged by the peer's host, or 0 if that is unknown. Bytes that wait for the peer to
// read are not sent.
func countInFlight(conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	inFlight := 0
	err = raw.Control(func(fd uintptr) {
		queued, queuedErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, unsentErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		if queuedErr == nil && unsentErr == nil {
			inFlight = queued - unsent
		}
	})
	if err != nil {
		return 0
	}
	return inFlight
}

// stallReader reads from the network and leaves silence to the stall handler.
type stallReader struct{ conn *Conn }

// Read implements io.Reader. A timeout is an endpoint's silence only if nothing has
// arrived: the process may have been late to read it.
func (r stallReader) Read(buffer []byte) (int, error) {
	c := r.conn
	for {
		n, err := c.net.Read(buffer)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.arrivedInSocket() != ArrivedNothing && !c.wait.isOverdue(time.Now()) {
			n, err = c.readArrived(buffer)
		}
		if n > 0 {
			c.receivedBytes += int64(n)
			c.wait.acknowledgedBy, c.wait.isRepeated = time.Time{}, false
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.handleTimeout(err); err != nil {
			return 0, err
		}
	}
}

// readArrived reads what has arrived although the read deadline has passed.
func (c *Conn) readArrived(buffer []byte) (int, error) {
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.net.Read(buffer)
	if deadlineErr := c.net.SetReadDeadline(c.wait.nextTimeout()); err == nil {
		err = deadlineErr
	}
	return n, err
}

// handleTimeout decides what follows when nothing has arrived before the read deadline. It
// returns the error with which the read fails, or nil if the wait goes on.
func (c *Conn) handleTimeout(timeout error) error {
	now, wait := time.Now(), &c.wait
	if !wait.acknowledgedBy.IsZero() && !now.Before(wait.acknowledgedBy) {
		wait.acknowledgedBy = time.Time{}
		if c.pool.countInFlight(c.net) > 0 {
			c.Abort()
			return unacknowledgedError{}
		}
		return c.net.SetReadDeadline(wait.nextTimeout())
	}
	if !now.Before(wait.deadline) {
		return timeout
	}
	if wait.silentAt.IsZero() || now.Before(wait.silentAt) {
		return c.net.SetReadDeadline(wait.nextTimeout())
	}
	if delay := now.Sub(wait.silentAt); delay > maxTimerDelay && !wait.isRepeated {
		c.longestDelay = max(c.longestDelay, delay)
		wait.isRepeated = true
		wait.start(now)
		return c.net.SetReadDeadline(wait.nextTimeout())
	}
	if c.onStall == nil {
		return timeout
	}
	next, goesOn := c.onStall()
	if !goesOn {
		return timeout
	}
	wait.silentAt, wait.isRepeated = next, true
	return c.net.SetReadDeadline(wait.nextTimeout())
}

// LongestDelay returns by how much this process was late at most to notice that an
// endpoint was silent.
func (c *Conn) LongestDelay() time.Duration { return c.longestDelay }

// ReceivedBytes returns the number of bytes received so far.
func (c *Conn) ReceivedBytes() int64 { return c.receivedBytes }

// Arrival is what a connection has received and not yet read.
type Arrival uint8

// Values of Arrival.
const (
	ArrivedNothing Arrival = iota
	ArrivedData
	// ArrivedEnd means that the peer has closed or reset the connection.
	ArrivedEnd
)

// Arrived returns what has arrived on the connection. It does not block.
func (c *Conn) Arrived() Arrival {
	if c.reader.Buffered() > 0 {
		return ArrivedData
	}
	return c.arrivedInSocket()
}

// arrivedInSocket returns what has arrived and does not lie in the read buffer. Unlike a
// read with MSG_PEEK, it leaves the error of a reset connection to the next read.
func (c *Conn) arrivedInSocket() Arrival {
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return ArrivedEnd
	}
	arrived := ArrivedEnd
	err = raw.Control(func(fd uintptr) {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if err != nil || ready == 0 {
			arrived = ArrivedNothing
			return
		}
		if unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil && unread > 0 {
			arrived = ArrivedData
		}
	})
	if err != nil {
		return ArrivedEnd
	}
	return arrived
}

// maxPeekBytes is how much of what has arrived is looked at.
const maxPeekBytes = 8 << 10

// HasArrived reports whether a text is among what has arrived and does not lie in the read
// buffer. It does not block.
func (c *Conn) HasArrived(text []byte) bool {
	// Without data, a look with MSG_PEEK would take the error of a reset connection.
	if c.arrivedInSocket() != ArrivedData {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		buffer := make([]byte, maxPeekBytes)
		n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil && bytes.Contains(buffer[:n], text)
	})
	return err == nil && found
}
