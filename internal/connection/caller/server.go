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

// Requests serves requests that have passed the checks of their form.
type Requests interface {
	// Serve answers the request on w, with the endpoint's answer or with a
	// refusal. It returns when the answer is written or the caller has gone.
	Serve(ctx context.Context, request *flow.Request, w http.ResponseWriter)
	// Resume answers with an earlier request's answer from the request's
	// offset on. It never dispatches; only Key, Offset, CallerPath, Team and
	// IsRelayed are set.
	Resume(ctx context.Context, request *flow.Request, w http.ResponseWriter)
	// Close makes sure that no request of the key is dispatched from now on, if
	// it can, and tells what can be said of the key: NotRun or Unknown.
	Close(requestKey key.Key) outcome.Outcome
	// Mint makes a key for a request that came without one.
	Mint() key.Key
	// Entry tells which hosts a caller should use.
	Entry() Entry
}

// Config holds what a Server needs.
type Config struct {
	Requests Requests
	// Index gives the bundle in force, or nil if there is none.
	Index func() *bundle.Index
	// NotReady says why the host takes no requests; empty if it does.
	NotReady func() string
	// OtherHosts lists the caller addresses of other live hosts, for refusals.
	// It is never nil.
	OtherHosts   func() []string
	MaxBodyBytes int64
	Metrics      metrics.Registry
}

// Server is the caller interface.
type Server struct {
	config Config
	echo   *echo.Echo
}

// NewServer gives a server that is used as an http.Handler.
func NewServer(config Config) *Server {
	server := &Server{config: config, echo: echo.New()}
	server.echo.HideBanner = true
	server.echo.GET(PathEntry, server.entry)
	server.echo.POST(PathChat, server.completion(engine.PathChat))
	server.echo.POST(PathCompletions, server.completion(engine.PathCompletions))
	server.echo.Any(PathServices+"*", server.call)
	server.echo.GET(PathRequests+"*", server.resume)
	server.echo.HTTPErrorHandler = server.handleError
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// parser gives a parser for the bundle in force.
func (s *Server) parser() (*parser, *fault) {
	if reason := s.config.NotReady(); reason != "" {
		return nil, faultOf(notReady, reason)
	}
	return &parser{
		index:        s.config.Index(),
		maxBodyBytes: s.config.MaxBodyBytes,
		mint:         s.config.Requests.Mint,
		now:          time.Now,
	}, nil
}

func (s *Server) entry(c echo.Context) error {
	if reason := s.config.NotReady(); reason != "" {
		return s.refuse(c, faultOf(notReady, reason))
	}
	return c.JSON(http.StatusOK, s.config.Requests.Entry())
}

func (s *Server) completion(path string) echo.HandlerFunc {
	return func(c echo.Context) error {
		parser, fault := s.parser()
		if fault != nil {
			return s.refuse(c, fault)
		}
		request, fault := parser.completion(c.Response(), c.Request(), path)
		if fault != nil {
			return s.refuse(c, fault)
		}
		s.serve(c, request)
		return nil
	}
}

func (s *Server) call(c echo.Context) error {
	parser, fault := s.parser()
	if fault != nil {
		return s.refuse(c, fault)
	}
	request, fault := parser.call(c.Response(), c.Request())
	if fault != nil {
		return s.refuse(c, fault)
	}
	s.serve(c, request)
	return nil
}

func (s *Server) serve(c echo.Context, request *flow.Request) {
	c.Response().Header().Set(HeaderKey, request.Key.String())
	s.config.Requests.Serve(c.Request().Context(), request, c.Response())
}

// resume takes the key from the path, where its slash may stand escaped or
// not.
func (s *Server) resume(c echo.Context) error {
	text := strings.TrimPrefix(c.Request().URL.Path, PathRequests)
	parsed, err := key.Parse(text)
	if err != nil {
		return s.refuse(c, faultOf(malformed, "path holds no request key: "+strconv.Quote(text)))
	}
	request := &flow.Request{
		Key:        parsed,
		Method:     http.MethodGet,
		CallerPath: c.Request().URL.RequestURI(),
		IsRelayed:  c.Request().Header.Get(HeaderRelay) != "",
		Arrival:    time.Now(),
	}
	if fault := (&parser{}).offset(c.Request(), request); fault != nil {
		return s.refuse(c, fault)
	}
	c.Response().Header().Set(HeaderKey, parsed.String())
	s.config.Requests.Resume(c.Request().Context(), request, c.Response())
	return nil
}

// refuse counts a fault and tells the caller. If the caller gave a key, an
// earlier request may have run under it, and the refusal must not deny that.
func (s *Server) refuse(c echo.Context, fault *fault) error {
	if parsed, err := key.Parse(c.Request().Header.Get(HeaderIdempotencyKey)); err == nil {
		fault.outcome = s.config.Requests.Close(parsed)
	}
	metrics.GetOrRegisterCounter("caller.refused."+string(fault.kind), s.config.Metrics).Inc(1)
	return fault.write(c.Response(), s.config.OtherHosts())
}

// handleError answers what no handler took: unknown paths and methods.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	if writeErr := s.refuse(c, faultOf(unknownRoute, err.Error())); writeErr != nil {
		metrics.GetOrRegisterCounter("caller.write_errors", s.config.Metrics).Inc(1)
	}
}
