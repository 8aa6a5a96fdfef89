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
	control := http.NewResponseController(s.w)
	// A caller that stops sending the body is refused when the request's
	// deadline passes.
	if err := control.SetReadDeadline(s.deadline); err != nil {
		s.fail(http.StatusInternalServerError, "read_deadline")
		return false
	}
	err := s.copyBody()
	if err == nil {
		// After the body, the connection is read only to detect that the
		// caller disconnects.
		err = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		s.bodyEnded = true
		return true
	}
	s.relay.bodyBudget.release(len(s.body))
	s.body = nil
	switch {
	case errors.Is(err, errTooLarge):
		s.reject(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, errNoMemory):
		s.refuse(http.StatusServiceUnavailable, "body_memory", withJitter(defaultRetryAfter))
	case isTimeout(err):
		s.bodyEnded = true
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
