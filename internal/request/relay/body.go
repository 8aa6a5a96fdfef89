package relay

import (
	"cmp"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/intake"
)

var (
	errTooLarge = eris.New("the body exceeds the limit")
	errNoMemory = eris.New("too many bodies are held in memory")
)

const (
	// bodyReadBytes is the read size for bodies of responses.
	bodyReadBytes = 16 << 10
	// firstBodyBytes is the size of the first buffer for a body, at most.
	firstBodyBytes = 16 << 10
	// maxRefusedBodyWait is how long a refusal waits for the rest of the request's body.
	maxRefusedBodyWait = time.Second
)

// reasonShed is the reason of a request whose connection was closed for another one before
// the request had arrived.
const reasonShed = "closed_for_room"

// readBody buffers the whole body, because the request may have to be retried.
// It reports whether the request may proceed; if not, it has responded or
// recorded that the caller left.
func (s *serverRequest) readBody() bool {
	if !s.hasBody() {
		return s.markArrived()
	}
	if s.conn != nil {
		s.conn.BeginBody()
	}
	err := s.copyBodyInTime()
	s.bodyEnded = err == nil || isTimeout(err)
	if err == nil && time.Until(s.deadline) > 0 {
		return s.markArrived()
	}
	s.releaseBody()
	switch {
	case err == nil:
		s.refuse(http.StatusServiceUnavailable, "deadline_passed", withJitter(defaultRetryAfter))
	case errors.Is(err, errTooLarge):
		s.reject(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, errNoMemory):
		s.refuse(http.StatusServiceUnavailable, "body_memory", withJitter(defaultRetryAfter))
	case isTimeout(err):
		s.reject(http.StatusRequestTimeout, "body_late")
	default:
		s.outcome = outcome{outcomeCallerLeft, 0, "body: " + err.Error()}
	}
	return false
}

// markArrived records that the whole request has arrived, and reports whether it may
// proceed.
func (s *serverRequest) markArrived() bool {
	if s.conn == nil || s.conn.EndBody() {
		return true
	}
	s.outcome = outcome{outcomeCallerLeft, 0, reasonShed}
	return false
}

func (s *serverRequest) hasBody() bool {
	return s.request.Body != nil && s.request.Body != http.NoBody
}

// limitBodyWait limits how long a refusal waits for the rest of the body, which the server
// reads before it responds, so that the connection can be reused.
func (s *serverRequest) limitBodyWait() {
	if s.hasBody() && !s.bodyEnded {
		if s.conn != nil {
			s.conn.EndRequest()
		}
		// On an error, the connection is closed.
		_ = http.NewResponseController(s.w).SetReadDeadline(time.Now().Add(maxRefusedBodyWait))
	}
}

// bodyGrace is how long a read of the body goes on after the request's deadline. What the
// caller sent in time may lie unread if this process did not run.
const bodyGrace = 100 * time.Millisecond

// copyBodyInTime buffers the body. A caller that stops sending it is refused after the
// request's deadline.
func (s *serverRequest) copyBodyInTime() error {
	control := http.NewResponseController(s.w)
	limited := make(chan error, 1)
	timer := time.AfterFunc(time.Until(s.deadline), func() {
		limited <- control.SetReadDeadline(time.Now().Add(bodyGrace))
	})
	err := s.copyBody()
	if !timer.Stop() {
		if limitErr := <-limited; err == nil {
			err = limitErr
		}
	}
	// After the body, the connection is read only to detect that the caller disconnects.
	readDeadline := time.Time{}
	if err != nil {
		readDeadline = s.deadline
	}
	if deadlineErr := control.SetReadDeadline(readDeadline); err == nil {
		err = deadlineErr
	}
	return err
}

// maxBodyBytes returns the limit of the configuration.
func (s *serverRequest) maxBodyBytes() int {
	return cmp.Or(min(max(s.table.Limits.BodyBytes, 0), math.MaxInt32-1), intake.DefaultBodyBytes)
}

// copyBody buffers the body within the size and memory limits. What the caller announces
// takes no memory until it arrives.
func (s *serverRequest) copyBody() error {
	maxBytes := s.maxBodyBytes()
	if s.request.ContentLength > int64(maxBytes) {
		return errTooLarge
	}
	expected := maxBytes
	if s.request.ContentLength >= 0 {
		expected = int(s.request.ContentLength)
	}
	for {
		if len(s.body) == cap(s.body) {
			// One more byte shows the end of the body, or that it is too large.
			if err := s.growBody(nextBodySize(cap(s.body), expected+1)); err != nil {
				return err
			}
		}
		n, err := s.request.Body.Read(s.body[len(s.body):cap(s.body)])
		s.body = s.body[:len(s.body)+n]
		switch {
		case len(s.body) > maxBytes:
			return errTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return eris.Wrap(err, "read")
		}
	}
}

// nextBodySize returns the size of the buffer after one of a size, about twice that. The
// last one has the expected size.
func nextBodySize(size, expected int) int {
	next := expected
	for next > firstBodyBytes && (next+1)/2 > size {
		next = (next + 1) / 2
	}
	return next
}

// growBody moves the body to a buffer of another size.
func (s *serverRequest) growBody(size int) error {
	if !s.relay.Guard.ReserveBody(s.conn, size) {
		return errNoMemory
	}
	former := cap(s.body)
	s.body = append(make([]byte, 0, size), s.body...)
	s.bodyMemory = size
	s.relay.Guard.ReleaseBody(s.conn, former)
	return nil
}

// releaseBody gives the body up.
func (s *serverRequest) releaseBody() {
	s.relay.Guard.ReleaseBody(s.conn, s.bodyMemory)
	s.body, s.bodyMemory = nil, 0
}
