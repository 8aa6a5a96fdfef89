package member

import (
	"context"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
)

// NewProbingCaller returns a Caller whose failed calls start a probe of the
// peer, so that an unreachable host in use is detected sooner than by the
// regular probes.
func NewProbingCaller(caller mesh.Caller, driver *Driver) mesh.Caller {
	return probingCaller{caller: caller, driver: driver}
}

type probingCaller struct {
	caller mesh.Caller
	driver *Driver
}

// Call implements mesh.Caller.
func (c probingCaller) Call(ctx context.Context, address string, kind mesh.Kind, request, response any) error {
	err := c.caller.Call(ctx, address, kind, request, response)
	if eris.Is(err, mesh.ErrUnreachable) || eris.Is(err, mesh.ErrNoReply) {
		c.driver.ProbeAddress(address)
	}
	return err
}
