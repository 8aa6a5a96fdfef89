// Package logservice simulates the platform's append-only log service. It keeps
// records in memory only.
package logservice

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/server"
)

// Limits of one read.
const (
	defaultReadRecords = 1000
	maxReadWait        = 30 * time.Second
)

// Trim removes the oldest records of a stream.
type Trim struct {
	Stream string `json:"stream"`
	// Before is the first offset that is kept.
	Before uint64 `json:"before"`
}

// Faults are the fault switches of the log service.
type Faults struct {
	fault.Common
	// RetentionMillis is how long records are kept. Zero keeps them without
	// limit.
	RetentionMillis int `json:"retention_ms" long:"retention-ms" description:"how long records are kept in milliseconds; 0 keeps them"`
	// Trim removes records once.
	Trim *Trim `json:"trim,omitempty" no-flag:"true"`
}

// Options are the command-line flags of the log service.
type Options struct {
	server.Options
	Faults
	AppendsPerSecond float64 `long:"appends-per-second" default:"500" description:"rate limit of append calls"`
	AppendBurst      int     `long:"append-burst" default:"100" description:"append calls allowed at once"`
	MaxRecords       int     `long:"max-records" default:"1000000" description:"records kept in a stream; older ones are trimmed"`
}

// Service is a simulated log service.
type Service struct {
	options Options
	limiter *rate.Limiter
	streams *streamStore
	faults  *fault.Set[Faults]
}

// New returns a log service without records.
func New(options Options) *Service {
	s := &Service{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.AppendsPerSecond), options.AppendBurst),
		streams: newStreams(options.MaxRecords),
	}
	common := func(f *Faults) *fault.Common { return &f.Common }
	s.faults = fault.NewSet(options.Faults, common, s.apply)
	return s
}

// Handler serves the log protocol of package platform and the fault switches.
func (s *Service) Handler() http.Handler {
	e := server.NewEcho()
	s.faults.Register(e)
	e.POST(fmt.Sprintf(platform.PathAppend, ":stream"), s.append, s.faults.Middleware)
	e.GET(fmt.Sprintf(platform.PathRead, ":stream"), s.read, s.faults.Middleware)
	return e
}

// apply trims a stream if the switch for it is set, and resets the switch.
func (s *Service) apply(faults *Faults) {
	if faults.Trim == nil {
		return
	}
	s.streams.get(faults.Trim.Stream).trim(faults.Trim.Before)
	faults.Trim = nil
}

// append appends either all records of a request or none.
func (s *Service) append(c echo.Context) error {
	var request platform.AppendRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(request.Records) == 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "no records")
	}
	if !s.limiter.Allow() {
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
		return echo.NewHTTPError(http.StatusTooManyRequests, "append rate exceeded")
	}
	first := s.streams.get(c.Param("stream")).append(request.Records, time.Now())
	return c.JSON(http.StatusOK, platform.AppendResponse{FirstOffset: first})
}

// read responds with records from an offset on. At the end of the stream it
// waits for new records, up to the requested time.
func (s *Service) read(c echo.Context) error {
	from, err := uintParam(c, "from", 1)
	if err != nil {
		return err
	}
	limit, err := uintParam(c, "max", defaultReadRecords)
	if err != nil {
		return err
	}
	wait, err := uintParam(c, "wait_ms", 0)
	if err != nil {
		return err
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	stream := s.streams.get(c.Param("stream"))
	for {
		response, changed := s.readOnce(stream, from, limit)
		if from < response.FirstOffset {
			return c.JSON(http.StatusGone, response)
		}
		if len(response.Records) > 0 || wait == 0 {
			return c.JSON(http.StatusOK, response)
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// readOnce removes expired records and reads without waiting.
func (s *Service) readOnce(stream *stream, from, limit uint64) (platform.ReadResponse, <-chan struct{}) {
	retention := time.Duration(s.faults.Get().RetentionMillis) * time.Millisecond
	if retention > 0 {
		stream.expire(time.Now().Add(-retention))
	}
	return stream.read(from, limit)
}

// uintParam parses a query parameter. It returns the default value if the
// parameter is absent.
func uintParam(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" is not a number")
	}
	return value, nil
}
