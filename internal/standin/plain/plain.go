// Package plain simulates a plain service such as bookings: a POST has an
// effect, which is counted by request key, and a GET only reads.
package plain

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/standin/executions"
	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/server"
)

// PathLookup serves the Receipt of a call that took effect, and status 404 for
// any other key.
const PathLookup = "/lookup/:key"

// Receipt is the response to a call.
type Receipt struct {
	Key string `json:"key,omitempty"`
	// Effect reports whether the call had an effect.
	Effect bool   `json:"effect"`
	Path   string `json:"path,omitempty"`
	// BodyHash is the xxhash of the request body.
	BodyHash uint64 `json:"body_hash,omitempty"`
	// Version is the version that responded.
	Version string `json:"version"`
}

// Faults are the fault switches of the plain service.
type Faults struct {
	fault.Common
	fault.BadVersion
}

// Options are the command-line flags of the plain service.
type Options struct {
	server.Options
	Faults
	Version       string `long:"version" default:"v1" description:"version that runs"`
	Lookup        bool   `long:"lookup" description:"offer the lookup of calls by key"`
	ServiceMillis int    `long:"service-ms" default:"0" description:"time that a call takes in milliseconds"`
}

// Service is a simulated plain service.
type Service struct {
	options Options
	counter executions.Counter
	faults  *fault.Set[Faults]
	served  atomic.Int64
	running atomic.Int64
}

// New returns a plain service without executions.
func New(options Options) *Service {
	s := &Service{options: options}
	common := func(f *Faults) *fault.Common { return &f.Common }
	s.faults = fault.NewSet(options.Faults, common, nil)
	return s
}

// Handler serves calls on every path except those of the switches, the
// execution counts and the lookup.
func (s *Service) Handler() http.Handler {
	e := server.NewEcho()
	s.faults.Register(e)
	s.counter.Register(e)
	if s.options.Lookup {
		e.GET(PathLookup, s.lookup, s.faults.Middleware)
	}
	e.GET("/*", s.read, s.faults.Middleware)
	e.POST("/*", s.call, s.faults.Middleware)
	return e
}

// call runs and counts the effect of a POST. A repeated key runs it again.
func (s *Service) call(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if s.simulateCall(c) {
		return echo.NewHTTPError(http.StatusInternalServerError, "bad version")
	}
	key := c.Request().Header.Get(engine.HeaderKey)
	if _, _, ok := s.counter.Add(key); !ok {
		return echo.NewHTTPError(http.StatusInsufficientStorage, "too many request keys")
	}
	return c.JSON(http.StatusOK, Receipt{
		Key:      key,
		Effect:   true,
		Path:     c.Request().URL.Path,
		BodyHash: xxhash.Sum64(body),
		Version:  s.options.Version,
	})
}

// read responds without an effect.
func (s *Service) read(c echo.Context) error {
	if s.simulateCall(c) {
		return echo.NewHTTPError(http.StatusInternalServerError, "bad version")
	}
	return c.JSON(http.StatusOK, Receipt{Path: c.Request().URL.Path, Version: s.options.Version})
}

// lookup reports whether the call with a key took effect.
func (s *Service) lookup(c echo.Context) error {
	key, err := server.PathParam(c, "key")
	if err != nil {
		return err
	}
	if s.counter.Count(key) == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "no call with this key took effect")
	}
	return c.JSON(http.StatusOK, Receipt{Key: key, Effect: true, Version: s.options.Version})
}

// simulateCall waits for the processing time of a call and reports whether the
// call fails because of a bad version.
func (s *Service) simulateCall(c echo.Context) bool {
	bad := s.faults.Get().BadVersion
	served := int(s.served.Add(1)) - 1
	running := int(s.running.Add(1))
	defer s.running.Add(-1)
	duration := float64(s.options.ServiceMillis) * float64(time.Millisecond)
	applies := bad.Applies(fault.RequestInfo{
		Version: s.options.Version,
		Path:    c.Request().URL.Path,
		Served:  served,
		Running: running,
	})
	if applies {
		duration *= bad.Slowdown()
	}
	if duration > 0 {
		time.Sleep(time.Duration(duration))
	}
	return applies && bad.Fails(served)
}
