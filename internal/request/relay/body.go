package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// bodies bounds the memory that callers' bodies take.
type bodies struct {
	mu   sync.Mutex
	left int
}

func (b *bodies) take(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < size {
		return false
	}
	b.left -= size
	return true
}

func (b *bodies) give(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += size
}

var (
	errTooLarge = eris.New("the body exceeds the limit")
	errNoMemory = eris.New("too many bodies are being read")
)

// bodyStep is what is read of a body of unknown length at once, in bytes.
const bodyStep = 16 << 10

// readBody reads the whole body, since a request may have to be sent again. It
// reports whether the request may go on.
func (s *serving) readBody() bool {
	if s.request.Body == nil || s.request.Body == http.NoBody {
		return true
	}
	control := http.NewResponseController(s.w)
	// A caller that stops sending is held no longer than for an answer.
	if err := control.SetReadDeadline(s.deadline); err != nil {
		s.fail(http.StatusInternalServerError, "read_deadline")
		return false
	}
	err := s.copyBody()
	if err == nil {
		// From here on the connection is read only to see the caller leave.
		err = control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return true
	}
	s.relay.bodies.give(len(s.body))
	s.body = nil
	switch {
	case errors.Is(err, errTooLarge):
		s.reject(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, errNoMemory):
		s.refuse(http.StatusServiceUnavailable, "body_memory", spread(unknownWait))
	default:
		s.outcome = outcome{outcomeLeft, 0, "body: " + err.Error()}
	}
	return false
}

// copyBody reads the body within the limits.
func (s *serving) copyBody() error {
	most := s.table.Limits.BodyBytes
	if most > 0 && s.request.ContentLength > int64(most) {
		return errTooLarge
	}
	buffer := bytes.Buffer{}
	if s.request.ContentLength > 0 {
		buffer.Grow(int(s.request.ContentLength) + bytes.MinRead)
	}
	for {
		n, err := io.CopyN(&buffer, s.request.Body, bodyStep)
		if n > 0 {
			if !s.relay.bodies.take(int(n)) {
				return errNoMemory
			}
			s.body = buffer.Bytes()
		}
		if most > 0 && buffer.Len() > most {
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
