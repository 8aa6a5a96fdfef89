// Package weightstore simulates the platform's rate-limited weight store.
package weightstore

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/server"
)

// PathLoads serves Loads on GET.
const PathLoads = "/loads"

// Loads counts the loads that the store has served and refused.
type Loads struct {
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
}

// Faults are the fault switches of the weight store.
type Faults struct {
	fault.Common
}

// Options are the command-line flags of the weight store.
type Options struct {
	server.Options
	Faults
	LoadsPerMinute float64 `long:"loads-per-minute" default:"60" description:"rate limit of loads"`
	LoadBurst      int     `long:"load-burst" default:"1" description:"loads allowed at once"`
	WeightBytes    int     `long:"weight-bytes" default:"65536" description:"size of one model's weights"`
}

// Service is a simulated weight store.
type Service struct {
	options         Options
	limiter         *rate.Limiter
	faults          *fault.Set[Faults]
	served, refused atomic.Int64
}

// New returns a weight store that has weights for every model name.
func New(options Options) *Service {
	s := &Service{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.LoadsPerMinute/time.Minute.Seconds()), options.LoadBurst),
	}
	common := func(f *Faults) *fault.Common { return &f.Common }
	s.faults = fault.NewSet(options.Faults, common, nil)
	return s
}

// Handler serves the weight protocol of package platform, the load counts and
// the fault switches.
func (s *Service) Handler() http.Handler {
	e := server.NewEcho()
	s.faults.Register(e)
	e.GET(PathLoads, s.loads)
	e.GET(fmt.Sprintf(platform.PathWeights, ":model"), s.weights, s.faults.Middleware)
	return e
}

// loads responds with the load counts.
func (s *Service) loads(c echo.Context) error {
	return c.JSON(http.StatusOK, Loads{Served: s.served.Load(), Refused: s.refused.Load()})
}

// weights responds with zeros of the configured size, or with status 429 if the
// rate limit is exceeded.
func (s *Service) weights(c echo.Context) error {
	reservation := s.limiter.Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		s.refused.Add(1)
		seconds := int(math.Ceil(delay.Seconds()))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
		return echo.NewHTTPError(http.StatusTooManyRequests, "load rate exceeded")
	}
	s.served.Add(1)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, s.options.WeightBytes))
}
