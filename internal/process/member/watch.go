package member

import (
	"context"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
)

// Watch gives a Caller whose failed calls start a probe of the peer, so that a
// host in use is found dead sooner than by its turn.
func Watch(caller mesh.Caller, driver *Driver) mesh.Caller {
	return watcher{caller: caller, driver: driver}
}

type watcher struct {
	caller mesh.Caller
	driver *Driver
}

// Call implements mesh.Caller.
func (w watcher) Call(ctx context.Context, address string, kind mesh.Kind, request, response any) error {
	err := w.caller.Call(ctx, address, kind, request, response)
	if eris.Is(err, mesh.ErrUnreachable) || eris.Is(err, mesh.ErrNoReply) {
		w.driver.Hint(address)
	}
	return err
}
