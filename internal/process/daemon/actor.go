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

// errPlannedStop ends the group after a planned stop.
var errPlannedStop = eris.New("planned stop")

// shutdownTimeout bounds how long an HTTP server waits for its last answers after
// the planned stop has finished the requests.
const shutdownTimeout = 2 * time.Second

// addRunActor adds a function that runs until its context ends.
func addRunActor(group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		err := execute(ctx)
		if ctx.Err() == nil && err == nil {
			return eris.New("a part of the daemon ended")
		}
		return err
	}, func(error) { cancel() })
}

// addSignalActor runs stop on the first of the signals and then ends the
// group. A second signal ends it at once.
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

// addServerActor serves HTTP on a listener until the group ends.
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
