package enginesim

import (
	"context"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/standin/answer"
	"mustarddoor/internal/standin/fault"
)

// batch runs requests at once up to a limit, in order of arrival, and prefills
// one prompt at a time.
type batch struct {
	slots    chan struct{}
	prefills chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
}

func newBatch(slots int) *batch {
	return &batch{slots: make(chan struct{}, slots), prefills: make(chan struct{}, 1)}
}

// enter waits for a slot. It reports false if the context ended first.
func (b *batch) enter(ctx context.Context) bool {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		b.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

// leave gives the slot back.
func (b *batch) leave() {
	b.running.Add(-1)
	<-b.slots
}

// prefill takes the engine's prefill for a time.
func (b *batch) prefill(ctx context.Context, duration time.Duration) bool {
	select {
	case b.prefills <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-b.prefills }()
	return pause.For(ctx, duration)
}

// generate runs one request in the batch and writes its stream.
func (e *Engine) generate(ctx context.Context, request answer.Request, path string, served int, out *stream) {
	complete := false
	defer func() { out.end(complete) }()
	if !e.batch.enter(ctx) {
		return
	}
	defer e.batch.leave()
	slowdown, fails := e.condition(request, path, served)
	if fails {
		return
	}
	uncached := answer.PromptTokens(request.Prompt) - e.cache.take(request.Prompt)
	if !e.batch.prefill(ctx, tokenTime(float64(uncached)*slowdown, e.options.PrefillTokensPerSecond)) {
		return
	}
	start := time.Now()
	for index := range request.Tokens {
		due := start.Add(tokenTime(float64(index)*slowdown, e.options.DecodeTokensPerSecond))
		if !pause.For(ctx, time.Until(due)) {
			return
		}
		out.write(request.Event(index))
	}
	out.write(request.End())
	complete = true
}

// condition returns the factor on the request's time and whether it fails.
func (e *Engine) condition(request answer.Request, path string, served int) (float64, bool) {
	running := int(e.batch.running.Load())
	slowdown := 1.0
	if e.overruns(running) {
		slowdown = coldSlowdown
	}
	bad := e.faults.Get().BadVersion
	applies := bad.Applies(fault.Exposure{
		Version: e.version(),
		Path:    path,
		Prompt:  request.Prompt,
		Served:  served,
		Running: running,
	})
	if !applies {
		return slowdown, false
	}
	return slowdown * bad.Slowdown(), bad.Fails(served)
}

// tokenTime is the time that tokens take at a speed in tokens a second.
func tokenTime(tokens, speed float64) time.Duration {
	return time.Duration(tokens / speed * float64(time.Second))
}
