package upstream

import (
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// requestWrite is the writing of a request, which may go on while its response is read.
type requestWrite struct {
	// done is closed at the end of the writing.
	done chan struct{}
	// err is the error of the writing, once done is closed.
	err error
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// finish ends the writing with its error.
func (w *requestWrite) finish(err error) {
	w.err = err
	close(w.done)
}

// isWritten reports whether the whole request has been written.
func (w *requestWrite) isWritten() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

var (
	// errUnframedReset means that the connection of a response without a length was reset
	// before the endpoint's host had received the request.
	errUnframedReset = eris.New("the connection was reset after a response without a length")
	// errRequestNotAccepted means that a response without a length ended, and the
	// endpoint's host has not received the whole request in time.
	errRequestNotAccepted = eris.New("the request was not received after a response without a length")
)

// acceptedPollInterval is the time between checks whether the endpoint's host has received
// the request.
const acceptedPollInterval = 2 * time.Millisecond

// confirmEnd decides whether a response without a length, which has ended with its
// connection, is complete. The end of such a response can arrive although the endpoint then
// resets the connection, which shows only in how the rest of the request fares: the response
// is complete once the endpoint's host has received the whole request.
func (r *Response) confirmEnd() error {
	// The write deadline bounds the wait.
	<-r.write.done
	if r.write.err != nil {
		return eris.Wrap(r.write.err, "write the request after a response without a length")
	}
	for {
		switch unacknowledged, isOpen := r.conn.countUnacknowledged(); {
		case !isOpen:
			return errUnframedReset
		case unacknowledged == 0:
			return nil
		case time.Now().After(r.conn.wait.deadline):
			return errRequestNotAccepted
		}
		time.Sleep(acceptedPollInterval)
	}
}

// countUnacknowledged returns the number of bytes written to a connection that the peer's
// host has not acknowledged, and false if the connection was reset or aborted.
func (c *Conn) countUnacknowledged() (count int, isOpen bool) {
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd)}}
		if _, pollErr := unix.Poll(poll, 0); pollErr != nil || poll[0].Revents&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0 {
			return
		}
		isOpen = true
		// If the kernel does not report it, the request counts as delivered.
		count, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return count, err == nil && isOpen
}
