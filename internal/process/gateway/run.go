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
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"mustarddoor/internal/connection/downstream"
	"mustarddoor/internal/connection/intake"
	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/process/telemetry"
	"mustarddoor/internal/request/relay"
)

const (
	// heapLimitFraction is the fraction of the memory limit available to the Go
	// runtime.
	heapLimitFraction = 0.55
	// minServeAfterStop is how long requests are served after a stop request,
	// until callers have learned of the other hosts.
	minServeAfterStop = 3 * time.Second
	// minQuietChecks is the number of successive checks that must find no request: one
	// that is just being read does not count as in progress.
	minQuietChecks = 2
	// maxRequestEnd is how long requests that are ended may take to respond and to be
	// logged, requestEndCheckInterval the time between checks for that. It is a part of
	// exitMargin.
	maxRequestEnd = 200 * time.Millisecond
	// maxClosedRequestEnd limits the wait for those whose connections were closed then.
	maxClosedRequestEnd     = 100 * time.Millisecond
	requestEndCheckInterval = 5 * time.Millisecond
	// exitMargin is the part of the grace period reserved for process exit.
	exitMargin = 700 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is
	// in force.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes limits the size of a request's header. A configuration's
	// limit is lower.
	maxHeaderBytes = 64 << 10
)

// Run runs the gateway as the whole process until a signal stops it.
func (g *Gateway) Run() error {
	runtime.GOMAXPROCS(max(g.settings.Cores, 1))
	if g.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(g.settings.MemoryMB<<20) * heapLimitFraction))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return g.RunUntil(context.Background(), signals)
}

// RunUntil runs the gateway until ctx is done or a signal other than SIGHUP
// arrives. A canceled context stops it immediately, a signal gracefully.
func (g *Gateway) RunUntil(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := run.Group{}
	addActor := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	addActor(g.transport.Receive)
	addActor(g.transport.Send)
	addActor(g.transport.SendBundles)
	addActor(g.operator.Run)
	addActor(g.endpoints.Run)
	addActor(g.hosts.Run)
	addActor(g.registerHost)
	addActor(g.tick)
	addActor(g.catchUp)
	addActor(g.probeLog)
	addActor(g.snapshotCopies.run)
	addActor(g.moveTracker.run)
	addActor(g.quarantine.run)
	addActor(g.usageHistory.run)
	addActor(g.adoptUsage)
	addActor(g.orders.run)
	addActor(g.carriers.run)
	addActor(g.callerConns.closeIdle)
	addActor(g.delays.run)
	g.duties.addActors(addActor)
	addActor(g.logIntake)
	g.frontend = &http.Server{
		Handler: g.relay, ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: g.callerConns.onStateChange, ConnContext: downstream.Context,
	}
	limits := intake.LimitsOf(g.machine())
	callers, err := g.serve(&group, g.settings.FrontendAddress, g.frontend, limits.Callers)
	if err != nil {
		return err
	}
	peerHandler := http.NewServeMux()
	g.peerServer = newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// A carried request has a path of the caller's.
		if relay.IsCarried(request) {
			// A small request on the connection may have set one. On an error, writes fail.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
			g.relay.ServeCarried(w, request)
			return
		}
		serveSmall(peerHandler, w, request, peerWriteTime)
	}))
	peerHandler.HandleFunc("GET "+statePath, g.serveState)
	peerHandler.HandleFunc("GET "+recordsPath, g.sharedReads.serveRecords)
	peerHandler.HandleFunc("GET "+usagePath, g.serveUsage)
	g.duties.addHandlers(peerHandler)
	g.peerServer.ConnState = g.peerConns.onStateChange
	hosts, err := g.serve(&group, g.settings.PeerAddress.String(), g.peerServer, limits.Peers)
	if err != nil {
		return err
	}
	g.listeners = []net.Listener{callers, hosts}
	handlers := g.ports.Servers(g)
	if g.settings.MetricsAddress != "" {
		admin := http.NewServeMux()
		admin.HandleFunc("GET /metrics", g.serveMetrics)
		admin.HandleFunc("GET "+PathHost, g.serveHost)
		handlers[g.settings.MetricsAddress] = admin
	}
	for address, handler := range handlers {
		server := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { serveSmall(handler, w, request, otherWriteTime) }))
		if _, err := g.serve(&group, address, server, limits.Others); err != nil {
			return err
		}
	}
	addActor(func(ctx context.Context) error { return g.handleSignals(ctx, signals) })
	g.log.Entry().WithFields(logrus.Fields{"host": g.settings.Name, "domain": g.settings.Domain, "front": g.settings.FrontendAddress, "link": g.settings.PeerAddress.String()}).
		Info("start")
	stopLog := g.startLog()
	err = group.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	g.log.Entry().WithError(err).Info("stop")
	stopLog()
	return err
}

// startLog starts the log writer and returns the function that stops it.
func (g *Gateway) startLog() (finish func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := sync.WaitGroup{}
	done.Go(func() {
		// The log writer never returns an error.
		_ = g.log.Run(ctx)
	})
	return func() {
		cancel()
		done.Wait()
	}
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: downstream.OnState, ConnContext: downstream.Context,
	}
}

// serve listens on an address for a number of connections and adds a server to the group.
func (g *Gateway) serve(group *run.Group, address string, server *http.Server, connections int) (net.Listener, error) {
	listener, err := downstream.Listen(address)
	if err != nil {
		return nil, err
	}
	listener.Limit(g.guard, connections)
	interrupted := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve on %s", address)
		}
		// A server that is shut down still completes its requests.
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		// Open connections are dropped, because the process exits.
		_ = server.Close()
	})
	return listener, nil
}

// errStopped ends the group after a graceful stop.
var errStopped = eris.New("stopped")

// handleSignals handles signals until the process may exit.
func (g *Gateway) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s != syscall.SIGHUP {
				return g.stop(ctx)
			}
			err := g.ports.Reload(ctx)
			g.log.Entry().WithError(err).Info("reload")
		}
	}
}

// stop withdraws the host from the directory and keeps serving until all
// responses have been sent or the grace period is nearly over.
func (g *Gateway) stop(ctx context.Context) error {
	now := time.Now()
	// The signal may have come while this process did not run. What is accepted ends in the
	// grace period from then on.
	requestedAt := g.delays.Begin(now)
	g.stopRequestedAt.Store(&requestedAt)
	g.duties.stop()
	g.entryHosts.update(now)
	g.transport.SendNow()
	g.log.Entry().WithField("busy_connections", g.callerConns.activeCount()).Info("stopping")
	endsAt := g.stopEnd(now)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for quietChecks := 0; quietChecks < minQuietChecks && time.Now().Before(endsAt); {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		quietChecks++
		if time.Since(now) <= minServeAfterStop || !g.isQuiet() {
			quietChecks = 0
		}
	}
	// A request may have been read since the last check: Shutdown completes it. It closes
	// the connections whose requests were not read.
	ctx, cancel := context.WithDeadline(ctx, endsAt)
	defer cancel()
	for _, server := range []*http.Server{g.frontend, g.peerServer} {
		if err := server.Shutdown(ctx); err != nil {
			g.log.Entry().WithError(err).Warn("requests were still running at the end of the grace period")
		}
	}
	g.endRequests()
	return errStopped
}

// isQuiet reports whether no request is in progress and none has arrived that the servers
// have yet to read, as after this process did not run for some time.
func (g *Gateway) isQuiet() bool {
	if slices.ContainsFunc(g.listeners, hasWaitingConn) || g.callerConns.hasUnread() || g.peerConns.hasUnread() {
		return false
	}
	return g.callerConns.activeCount() == 0 && g.relay.CarryingCount() == 0
}

// endRequests ends the requests in progress and waits until they have responded and are
// logged.
func (g *Gateway) endRequests() {
	g.relay.End()
	if g.awaitRequestEnd(maxRequestEnd) {
		return
	}
	// What is left writes to callers that do not read.
	for _, server := range []*http.Server{g.frontend, g.peerServer} {
		_ = server.Close()
	}
	g.awaitRequestEnd(maxClosedRequestEnd)
}

// awaitRequestEnd waits until no request runs, and reports whether that is so in time.
func (g *Gateway) awaitRequestEnd(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for g.callerConns.activeCount() > 0 || g.relay.CarryingCount() > 0 {
		if !pause.For(ctx, requestEndCheckInterval) {
			return false
		}
	}
	return true
}

// serveMetrics writes the counters and the percentiles of the timers as text.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	for _, value := range telemetry.Values(g.registry) {
		// A write error means that the client has disconnected.
		_, _ = fmt.Fprintf(w, "%s %d\n", value.Name, value.Count)
		if value.P50 > 0 {
			_, _ = fmt.Fprintf(w, "%s_p50 %.0f\n%s_p95 %.0f\n%s_p99 %.0f\n", value.Name, value.P50, value.Name, value.P95, value.Name, value.P99)
		}
	}
}
