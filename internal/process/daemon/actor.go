package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// errPlannedStop ends the run group after a planned stop.
var errPlannedStop = eris.New("planned stop")

// shutdownTimeout bounds how long an HTTP server waits for its last responses
// once the planned stop has drained the requests.
const shutdownTimeout = 2 * time.Second

// addRunActor adds an actor that runs execute until its context ends. It is an
// error for execute to return earlier.
func addRunActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		err := execute(ctx)
		if ctx.Err() == nil && err == nil {
			return eris.New("actor returned unexpectedly")
		}
		return err
	}, func(error) { cancel() })
}

// addSignalActor adds an actor that calls stop on the first signal and then
// ends the group. A second signal cancels the context of stop.
func addSignalActor(group *run.Group, stop func(context.Context), signals ...os.Signal) {
	arrived := make(chan os.Signal, 2)
	ended := make(chan struct{})
	group.Add(func() error {
		signal.Notify(arrived, signals...)
		defer signal.Stop(arrived)
		select {
		case <-arrived:
		case <-ended:
			return nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-arrived:
				cancel()
			case <-ctx.Done():
			}
		}()
		stop(ctx)
		return errPlannedStop
	}, func(error) { close(ended) })
}

// addServerActor adds an actor that serves HTTP on the listener until the group
// ends.
func addServerActor(group *run.Group, listener net.Listener, server *http.Server) {
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	})
}
