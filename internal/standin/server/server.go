// Package server runs a stand-in's HTTP server until it is told to stop.
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

// Limits of a stand-in's server.
const (
	headerTimeout = 10 * time.Second
	maxBodyBytes  = 64 << 20
)

// Options are the flags that every stand-in has.
type Options struct {
	Listen string `long:"listen" required:"true" description:"address to listen on, IP:PORT; port 0 picks a free one"`
}

// NewEcho returns an echo without routes whose handlers read bounded bodies.
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

// Run serves the handler until the context ends, then closes all connections.
// It first writes "listening on ADDRESS" to out.
func Run(ctx context.Context, options Options, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	if _, err := fmt.Fprintf(out, "listening on %s\n", listener.Addr()); err != nil {
		return eris.Wrap(err, "write the address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// PathParam returns a parameter of the path, unescaped.
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
