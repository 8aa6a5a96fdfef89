package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

var (
	errTooLarge = eris.New("the body exceeds the limit")
	errNoMemory = eris.New("too many bodies are held in memory")
)

const (
	// bodyReadBytes is the read size for request bodies.
	bodyReadBytes = 16 << 10
	// maxRefusedBodyWait is how long a refusal waits for the rest of the request's body.
	maxRefusedBodyWait = time.Second
)

// readBody buffers the whole body, because the request may have to be retried.
// It reports whether the request may proceed; if not, it has responded or
// recorded that the caller left.
func (s *serverRequest) readBody() bool {
	if !s.hasBody() {
		return true
	}
	err := s.copyBodyInTime()
	s.bodyEnded = err == nil || isTimeout(err)
	if err == nil && time.Until(s.deadline) > 0 {
		return true
	}
	s.relay.bodyBudget.release(len(s.body))
	s.body = nil
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

func (s *serverRequest) hasBody() bool {
	return s.request.Body != nil && s.request.Body != http.NoBody
}

// limitBodyWait limits how long a refusal waits for the rest of the body, which the server
// reads before it responds, so that the connection can be reused.
func (s *serverRequest) limitBodyWait() {
	if s.hasBody() && !s.bodyEnded {
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

// copyBody buffers the body within the size and memory limits.
func (s *serverRequest) copyBody() error {
	maxBytes := s.table.Limits.BodyBytes
	if maxBytes > 0 && s.request.ContentLength > int64(maxBytes) {
		return errTooLarge
	}
	buffer := bytes.Buffer{}
	if s.request.ContentLength > 0 {
		buffer.Grow(int(s.request.ContentLength) + bytes.MinRead)
	}
	for {
		n, err := io.CopyN(&buffer, s.request.Body, bodyReadBytes)
		if n > 0 {
			if !s.relay.bodyBudget.reserve(int(n)) {
				return errNoMemory
			}
			s.body = buffer.Bytes()
		}
		if maxBytes > 0 && buffer.Len() > maxBytes {
			return errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "read")
		}
	}
}
