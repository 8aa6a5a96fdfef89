package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/process/telemetry"
)

const (
	// memoryPart is the part of the memory limit that the Go heap aims at.
	memoryPart = 0.55
	// serveWhileStopping is how long requests are still served after a stop
	// was asked for: callers need that long to learn of other hosts.
	serveWhileStopping = 3 * time.Second
	// stopMargin is left of the grace for the process's own end.
	stopMargin = 700 * time.Millisecond
	// headerTimeout and idleTimeout hold until a configuration is known.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the head of a request in bytes; a configuration's
	// own bound is below.
	maxHeaderBytes = 64 << 10
)

// Run runs the gateway as the whole process, until a signal asks it to stop.
func (g *Gateway) Run() error {
	runtime.GOMAXPROCS(max(g.settings.Cores, 1))
	if g.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(g.settings.MemoryMB<<20) * memoryPart))
	}
	arrived := make(chan os.Signal, 4)
	signal.Notify(arrived, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(arrived)
	return g.RunUntil(context.Background(), arrived)
}

// RunUntil runs the gateway until the context ends or a signal other than
// SIGHUP arrives. The context ends it at once, a signal in an orderly way.
func (g *Gateway) RunUntil(ctx context.Context, arrived <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := run.Group{}
	part := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	part(g.link.Receive)
	part(g.link.Send)
	part(g.link.SendBundles)
	part(g.operator.Run)
	part(g.endpoints.Run)
	part(g.hosts.Run)
	part(g.announce)
	part(g.tick)
	part(g.catchUp)
	part(g.copies.run)
	part(g.moves.run)
	fronts := newConnections(g)
	part(fronts.sweep)
	front := &http.Server{
		Handler: g.relay, ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: fronts.changed, ErrorLog: nil,
	}
	if err := g.serve(&group, g.settings.Front, front); err != nil {
		return err
	}
	linkServer := http.NewServeMux()
	linkServer.HandleFunc("GET "+statePath, g.serveState)
	linkServer.HandleFunc("GET "+recordsPath, g.readers.serve)
	if err := g.serve(&group, g.settings.Link.String(), plainServer(linkServer)); err != nil {
		return err
	}
	handlers := g.ports.Servers(g)
	if g.settings.Metrics != "" {
		admin := http.NewServeMux()
		admin.HandleFunc("GET /metrics", g.serveMetrics)
		admin.HandleFunc("GET "+PathHost, g.serveHost)
		handlers[g.settings.Metrics] = admin
	}
	for address, handler := range handlers {
		if err := g.serve(&group, address, plainServer(handler)); err != nil {
			return err
		}
	}
	part(func(ctx context.Context) error { return g.signals(ctx, arrived, fronts) })
	g.log.Entry().WithFields(logrus.Fields{"host": g.settings.Name, "domain": g.settings.Domain, "front": g.settings.Front, "link": g.settings.Link.String()}).
		Info("start")
	logDone := g.startLog()
	err := group.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	g.log.Entry().WithError(err).Info("stop")
	logDone()
	return err
}

// startLog starts the writing of the log and returns what ends it.
func (g *Gateway) startLog() (finish func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := sync.WaitGroup{}
	done.Go(func() {
		// The log's writer fails on nothing.
		_ = g.log.Run(ctx)
	})
	return func() {
		cancel()
		done.Wait()
	}
}

func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serve adds a server to the group.
func (g *Gateway) serve(group *run.Group, address string, server *http.Server) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrapf(err, "address %s", address)
	}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "server at %s", address)
		}
		return nil
	}, func(error) {
		// The process ends; what is still open ends with it.
		_ = server.Close()
	})
	return nil
}

// errStopped ends the group after an orderly stop.
var errStopped = eris.New("stopped")

// signals acts on signals until the process may end.
func (g *Gateway) signals(ctx context.Context, arrived <-chan os.Signal, fronts *connections) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-arrived:
			if s != syscall.SIGHUP {
				return g.stop(ctx, fronts)
			}
			err := g.ports.Reload(ctx)
			g.log.Entry().WithError(err).Info("reload")
		}
	}
}

// stop leaves the directory, serves what still comes and ends when all is
// answered or the grace is nearly over.
func (g *Gateway) stop(ctx context.Context, fronts *connections) error {
	now := time.Now()
	g.stoppingAt.Store(&now)
	g.link.Urge()
	g.log.Entry().WithField("busy_connections", fronts.busy()).Info("stopping")
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for time.Now().Before(g.stopsAt()) {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if time.Since(now) > serveWhileStopping && fronts.busy() == 0 {
			break
		}
	}
	return errStopped
}

// serveMetrics writes the counters and the percentiles of the timers as text.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	for _, value := range telemetry.Values(g.registry) {
		// A reader that has gone away needs no more values.
		_, _ = fmt.Fprintf(w, "%s %d\n", value.Name, value.Count)
		if value.P50 > 0 {
			_, _ = fmt.Fprintf(w, "%s_p50 %.0f\n%s_p95 %.0f\n%s_p99 %.0f\n", value.Name, value.P50, value.Name, value.P95, value.Name, value.P99)
		}
	}
}
