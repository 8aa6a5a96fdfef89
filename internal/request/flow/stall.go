package flow

import (
	"context"
	"io"
	"time"

	"mustarddoor/internal/connection/engine"
)

// stallTimeout is how long an endpoint may send nothing before its connection
// is closed. The endpoint may continue to execute the request.
const stallTimeout = 60 * time.Second

// stallTimer closes a connection to an endpoint that has sent nothing for
// stallTimeout.
type stallTimer struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

func newStallTimer(parent context.Context) *stallTimer {
	ctx, cancel := context.WithCancel(parent)
	return &stallTimer{ctx: ctx, cancel: cancel, timer: time.AfterFunc(stallTimeout, cancel)}
}

// wrap makes every read of the response body restart the timer. Closing the
// body stops the timer.
func (s *stallTimer) wrap(response *engine.Response) {
	response.Body = &stallTimedBody{ReadCloser: response.Body, stall: s}
}

// stop stops the timer and releases its context.
func (s *stallTimer) stop() {
	s.timer.Stop()
	s.cancel()
}

type stallTimedBody struct {
	io.ReadCloser
	stall *stallTimer
}

// Read implements io.Reader.
func (b *stallTimedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.stall.timer.Reset(stallTimeout)
	return count, err
}

// Close implements io.Closer.
func (b *stallTimedBody) Close() error {
	defer b.stall.stop()
	return b.ReadCloser.Close()
}

// send sends a call once and aborts it if the endpoint stalls.
func (r *Runner) send(call engine.Call) (*engine.Response, error) {
	stall := newStallTimer(context.Background())
	response, err := r.config.Endpoints.Send(stall.ctx, call)
	return wrapResponse(stall, response, err)
}

// resume reads an engine's event stream from an offset and aborts if the
// endpoint stalls.
func (r *Runner) resume(address, key string, offset int64) (*engine.Response, error) {
	stall := newStallTimer(context.Background())
	response, err := r.config.Endpoints.Resume(stall.ctx, address, key, offset)
	return wrapResponse(stall, response, err)
}

func wrapResponse(stall *stallTimer, response *engine.Response, err error) (*engine.Response, error) {
	if err != nil {
		stall.stop()
		return nil, err
	}
	stall.wrap(response)
	return response, nil
}
