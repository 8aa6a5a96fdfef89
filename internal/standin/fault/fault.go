// Package fault implements the fault switches of a simulator. They are set by
// flags at its start and over HTTP while it runs.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/process/pause"
)

// Path accepts a POST of a JSON object with the switches to change, and
// responds with all switches.
const Path = "/faults"

// garbageBody replaces the body of a response. It is neither valid JSON nor a
// valid event.
const garbageBody = "\x00\xff{]garbage"

// Common holds the faults that every simulator supports. The zero value has no
// effect.
type Common struct {
	// Down refuses every request with status 503.
	Down bool `json:"down" long:"down" description:"refuse requests with status 503"`
	// Cut closes the connection of every request without a response.
	Cut bool `json:"cut" long:"cut" description:"close connections without an answer"`
	// SlowMillis delays every request.
	SlowMillis int `json:"slow_ms" long:"slow-ms" description:"delay of every request in milliseconds"`
	// LoseReplies is the number of following POSTs that take effect but whose
	// connection is closed without a response.
	LoseReplies int `json:"lose_replies" long:"lose-replies" description:"number of POSTs whose reply is lost after the effect"`
	// Garbage replaces the body of every response, after the request took
	// effect.
	Garbage bool `json:"garbage" long:"garbage" description:"answer garbage"`
	// TruncateBytes closes the connection after this many bytes of a body. Zero
	// leaves bodies complete.
	TruncateBytes int `json:"truncate_bytes" long:"truncate-bytes" description:"close connections after this many bytes of an answer"`
}

// Set holds the switches of one simulator. F is its struct of switches, which
// contains Common.
type Set[F any] struct {
	mu     sync.Mutex
	faults F
	common func(*F) *Common
	// onChange is called with each new state of the switches. It carries out
	// switches that trigger an action and may reset them.
	onChange func(*F)
}

// NewSet returns a set with the initial switches. The function common returns a
// pointer to the Common part. The function onChange is called for the initial
// state and each later one; it may be nil.
func NewSet[F any](initial F, common func(*F) *Common, onChange func(*F)) *Set[F] {
	s := &Set[F]{faults: initial, common: common, onChange: onChange}
	if onChange != nil {
		onChange(&s.faults)
	}
	return s
}

// Get returns the current switches.
func (s *Set[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Register adds the route for Path.
func (s *Set[F]) Register(e *echo.Echo) { e.POST(Path, s.update) }

// update sets the switches that the JSON of the request names and leaves the
// others unchanged.
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

// consume returns the common faults for one request. A POST uses up one lost
// response.
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

// Middleware applies the common faults to a handler.
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

// wrap returns a writer that applies the faults of the response.
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
