package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	metrics "github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/request/outcome"
	"mustarddoor/internal/version/bundle"
)

// Requests serves validated requests.
type Requests interface {
	// Serve writes the endpoint's response or a refusal to w. It returns when
	// the response is written or the caller has disconnected.
	Serve(ctx context.Context, request *flow.Request, w http.ResponseWriter)
	// Resume writes the response to an earlier request to w, starting at the
	// request's offset. It never dispatches. Only Key, Offset, CallerPath, Team
	// and IsRelayed of the request are set.
	Resume(ctx context.Context, request *flow.Request, w http.ResponseWriter)
	// CloseKey prevents the dispatch of requests with the key, if it can, and
	// returns NotRun if none was or will be dispatched, else Unknown.
	CloseKey(requestKey key.Key) outcome.Outcome
	// NewKey returns a key for a request without one.
	NewKey() key.Key
	// Entry returns the hosts that a caller should use.
	Entry() Entry
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Requests Requests
	// Index returns the bundle in force, or nil if there is none.
	Index func() *bundle.Index
	// NotReadyReason returns why the host accepts no requests, or an empty string
	// if it accepts them.
	NotReadyReason func() string
	// OtherHosts returns the frontend addresses of other live hosts, for
	// refusals. The slice is never nil.
	OtherHosts   func() []string
	MaxBodyBytes int64
	Metrics      metrics.Registry
}

// Server serves the caller interface.
type Server struct {
	config Config
	echo   *echo.Echo
}

// NewServer returns a server; it implements http.Handler.
func NewServer(config Config) *Server {
	server := &Server{config: config, echo: echo.New()}
	server.echo.HideBanner = true
	server.echo.GET(PathEntry, server.handleEntry)
	server.echo.POST(PathChat, server.handleCompletion(engine.PathChat))
	server.echo.POST(PathCompletions, server.handleCompletion(engine.PathCompletions))
	server.echo.Any(PathServices+"*", server.handleCall)
	server.echo.GET(PathRequests+"*", server.handleResume)
	server.echo.HTTPErrorHandler = server.handleError
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// newParser returns a parser for the bundle in force.
func (s *Server) newParser() (*parser, *rejection) {
	if reason := s.config.NotReadyReason(); reason != "" {
		return nil, newRejection(notReady, reason)
	}
	return &parser{
		index:        s.config.Index(),
		maxBodyBytes: s.config.MaxBodyBytes,
		newKey:       s.config.Requests.NewKey,
		now:          time.Now,
	}, nil
}

func (s *Server) handleEntry(c echo.Context) error {
	if reason := s.config.NotReadyReason(); reason != "" {
		return s.refuse(c, newRejection(notReady, reason))
	}
	return c.JSON(http.StatusOK, s.config.Requests.Entry())
}

func (s *Server) handleCompletion(path string) echo.HandlerFunc {
	return func(c echo.Context) error {
		parser, rejection := s.newParser()
		if rejection != nil {
			return s.refuse(c, rejection)
		}
		request, rejection := parser.parseCompletion(c.Response(), c.Request(), path)
		if rejection != nil {
			return s.refuse(c, rejection)
		}
		s.serve(c, request)
		return nil
	}
}

func (s *Server) handleCall(c echo.Context) error {
	parser, rejection := s.newParser()
	if rejection != nil {
		return s.refuse(c, rejection)
	}
	request, rejection := parser.parseCall(c.Response(), c.Request())
	if rejection != nil {
		return s.refuse(c, rejection)
	}
	s.serve(c, request)
	return nil
}

func (s *Server) serve(c echo.Context, request *flow.Request) {
	c.Response().Header().Set(HeaderKey, request.Key.String())
	s.config.Requests.Serve(c.Request().Context(), request, c.Response())
}

// handleResume parses the key from the path, where its slash can be escaped.
func (s *Server) handleResume(c echo.Context) error {
	text := strings.TrimPrefix(c.Request().URL.Path, PathRequests)
	parsed, err := key.Parse(text)
	if err != nil {
		return s.refuse(c, newRejection(malformed, "path holds no request key: "+strconv.Quote(text)))
	}
	request := &flow.Request{
		Key:        parsed,
		Method:     http.MethodGet,
		CallerPath: c.Request().URL.RequestURI(),
		IsRelayed:  c.Request().Header.Get(HeaderRelay) != "",
		Arrival:    time.Now(),
	}
	if rejection := (&parser{}).parseOffset(c.Request(), request); rejection != nil {
		return s.refuse(c, rejection)
	}
	c.Response().Header().Set(HeaderKey, parsed.String())
	s.config.Requests.Resume(c.Request().Context(), request, c.Response())
	return nil
}

// refuse counts a rejection and writes it to the caller. If the caller sent a
// key, an earlier request with it may have run; the outcome must then not be
// NotRun.
func (s *Server) refuse(c echo.Context, rejection *rejection) error {
	if parsed, err := key.Parse(c.Request().Header.Get(HeaderIdempotencyKey)); err == nil {
		rejection.outcome = s.config.Requests.CloseKey(parsed)
	}
	metrics.GetOrRegisterCounter("caller.refused."+string(rejection.kind), s.config.Metrics).Inc(1)
	return rejection.write(c.Response(), s.config.OtherHosts())
}

// handleError rejects requests with an unknown path or method.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	if writeErr := s.refuse(c, newRejection(unknownRoute, err.Error())); writeErr != nil {
		metrics.GetOrRegisterCounter("caller.write_errors", s.config.Metrics).Inc(1)
	}
}
