// Package server runs the HTTP server of a simulator.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// Limits of a request to a simulator.
const (
	headerTimeout = 10 * time.Second
	maxBodyBytes  = 64 << 20
)

// Options are the command-line flags that every simulator has.
type Options struct {
	Listen string `long:"listen" required:"true" description:"address to listen on, IP:PORT; port 0 picks a free one"`
}

// NewEcho returns a router without routes that limits the size of request
// bodies.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			request := c.Request()
			request.Body = http.MaxBytesReader(c.Response(), request.Body, maxBodyBytes)
			return next(c)
		}
	})
	return e
}

// Run serves the handler until the context ends and then closes all
// connections. It writes "listening on ADDRESS" to out before it serves.
func Run(ctx context.Context, options Options, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if _, err := fmt.Fprintf(out, "listening on %s\n", listener.Addr()); err != nil {
		return eris.Wrap(err, "write the listening address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// PathParam returns a path parameter, unescaped.
func PathParam(c echo.Context, name string) (string, error) {
	text := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return text, nil
	}
	value, err := url.PathUnescape(text)
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return value, nil
}
