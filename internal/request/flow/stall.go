package flow

import (
	"context"
	"io"
	"time"

	"mustarddoor/internal/connection/engine"
)

// stallTimeout is how long an endpoint may be silent before its connection is
// given up. The request may still run there.
const stallTimeout = 60 * time.Second

// stallGuard ends a connection to an endpoint that has been silent for
// stallTimeout.
type stallGuard struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

func newStallGuard(parent context.Context) *stallGuard {
	ctx, cancel := context.WithCancel(parent)
	return &stallGuard{ctx: ctx, cancel: cancel, timer: time.AfterFunc(stallTimeout, cancel)}
}

// guard makes reads of the reply's body push the end back. Closing the body
// ends the guard.
func (g *stallGuard) guard(reply *engine.Response) {
	reply.Body = &guardedBody{ReadCloser: reply.Body, guard: g}
}

// end releases the guard.
func (g *stallGuard) end() {
	g.timer.Stop()
	g.cancel()
}

type guardedBody struct {
	io.ReadCloser
	guard *stallGuard
}

// Read implements io.Reader.
func (b *guardedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.guard.timer.Reset(stallTimeout)
	return count, err
}

// Close implements io.Closer.
func (b *guardedBody) Close() error {
	defer b.guard.end()
	return b.ReadCloser.Close()
}

// send sends a call once, guarded against a silent endpoint.
func (r *Runner) send(call engine.Call) (*engine.Response, error) {
	guard := newStallGuard(context.Background())
	reply, err := r.config.Endpoints.Send(guard.ctx, call)
	return guarded(guard, reply, err)
}

// resume reads an engine's stream from an offset, guarded against a silent
// endpoint.
func (r *Runner) resume(address, key string, offset int64) (*engine.Response, error) {
	guard := newStallGuard(context.Background())
	reply, err := r.config.Endpoints.Resume(guard.ctx, address, key, offset)
	return guarded(guard, reply, err)
}

func guarded(guard *stallGuard, reply *engine.Response, err error) (*engine.Response, error) {
	if err != nil {
		guard.end()
		return nil, err
	}
	guard.guard(reply)
	return reply, nil
}
