// Package fault switches the faults of a stand-in on and off, at its start and
// while it runs.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/process/pause"
)

// Path takes a POST of a JSON object with the switches to change and answers
// all switches.
const Path = "/faults"

// garbageBody is what a stand-in answers in place of JSON or events.
const garbageBody = "\x00\xff{]garbage"

// Common are the faults that every stand-in has. The zero value is sound.
type Common struct {
	// Down refuses every request with status 503.
	Down bool `json:"down" long:"down" description:"refuse requests with status 503"`
	// Cut closes the connection of every request without an answer.
	Cut bool `json:"cut" long:"cut" description:"close connections without an answer"`
	// SlowMillis delays every answer.
	SlowMillis int `json:"slow_ms" long:"slow-ms" description:"delay of every request in milliseconds"`
	// LoseReplies is how many of the next POSTs lose their reply after they
	// have taken effect.
	LoseReplies int `json:"lose_replies" long:"lose-replies" description:"number of POSTs whose reply is lost after the effect"`
	// Garbage answers bytes that are no valid answer, after the effect.
	Garbage bool `json:"garbage" long:"garbage" description:"answer garbage"`
	// TruncateBytes cuts every answer's body after so many bytes; zero leaves
	// answers whole.
	TruncateBytes int `json:"truncate_bytes" long:"truncate-bytes" description:"close connections after this many bytes of an answer"`
}

// Set holds the switches of one stand-in. F is the stand-in's own struct of
// switches, which contains Common.
type Set[F any] struct {
	mu     sync.Mutex
	faults F
	common func(*F) *Common
	// onChange acts on switches that are actions; it may reset them.
	onChange func(*F)
}

// NewSet returns a set with its first switches. The function common finds the
// Common part; apply is called with each new state of the switches and may be
// nil.
func NewSet[F any](initial F, common func(*F) *Common, onChange func(*F)) *Set[F] {
	s := &Set[F]{faults: initial, common: common, onChange: onChange}
	if onChange != nil {
		onChange(&s.faults)
	}
	return s
}

// Get returns the switches as they stand.
func (s *Set[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Register adds the handler of Path.
func (s *Set[F]) Register(e *echo.Echo) { e.POST(Path, s.update) }

// update sets the switches that the request's JSON names and keeps the others.
func (s *Set[F]) update(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if s.onChange != nil {
		s.onChange(&next)
	}
	s.faults = next
	return c.JSON(http.StatusOK, next)
}

// consume returns the common faults of one request.
func (s *Set[F]) consume(method string) Common {
	s.mu.Lock()
	defer s.mu.Unlock()
	common := s.common(&s.faults)
	taken := *common
	if method != http.MethodPost {
		taken.LoseReplies = 0
	} else if common.LoseReplies > 0 {
		common.LoseReplies--
	}
	return taken
}

// Middleware lays the common faults over a handler.
func (s *Set[F]) Middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		common := s.consume(c.Request().Method)
		delay := time.Duration(common.SlowMillis) * time.Millisecond
		if delay > 0 && !pause.For(c.Request().Context(), delay) {
			panic(http.ErrAbortHandler)
		}
		if common.Cut {
			panic(http.ErrAbortHandler)
		}
		if common.Down {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "down")
		}
		c.Response().Writer = common.wrap(c.Response().Writer)
		return next(c)
	}
}

// wrap lays the faults of the reply over a response writer.
func (f Common) wrap(w http.ResponseWriter) http.ResponseWriter {
	switch {
	case f.LoseReplies > 0:
		return abortingWriter{w}
	case f.Garbage:
		return &garbageWriter{ResponseWriter: w}
	case f.TruncateBytes > 0:
		return &truncatingWriter{ResponseWriter: w, remaining: f.TruncateBytes}
	}
	return w
}
