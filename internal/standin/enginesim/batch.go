package enginesim

import (
	"context"
	"sync/atomic"
	"time"

	"mustarddoor/internal/process/pause"
	"mustarddoor/internal/standin/answer"
	"mustarddoor/internal/standin/fault"
)

// batch simulates continuous batching: it runs up to a fixed number of requests
// concurrently and prefills one prompt at a time.
type batch struct {
	slots       chan struct{}
	prefillSlot chan struct{}
	running     atomic.Int64
	waiting     atomic.Int64
}

func newBatch(slots int) *batch {
	return &batch{slots: make(chan struct{}, slots), prefillSlot: make(chan struct{}, 1)}
}

// acquire waits for a slot and reports false if the context ends first.
func (b *batch) acquire(ctx context.Context) bool {
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

// release frees a slot.
func (b *batch) release() {
	b.running.Add(-1)
	<-b.slots
}

// prefill waits until no other prompt is prefilled and then occupies the
// prefill for the duration. It reports false if the context ends first.
func (b *batch) prefill(ctx context.Context, duration time.Duration) bool {
	select {
	case b.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-b.prefillSlot }()
	return pause.For(ctx, duration)
}

// generate runs one request in the batch and writes its events to the stream.
func (e *Engine) generate(ctx context.Context, request answer.Request, path string, served int, output *stream) {
	complete := false
	defer func() { output.end(complete) }()
	if !e.batch.acquire(ctx) {
		return
	}
	defer e.batch.release()
	slowdown, fails := e.slowdownAndFailure(request, path, served)
	if fails {
		return
	}
	uncached := answer.PromptTokens(request.Prompt) - e.cache.lookupAndInsert(request.Prompt)
	if !e.batch.prefill(ctx, tokenDuration(float64(uncached)*slowdown, e.options.PrefillTokensPerSecond)) {
		return
	}
	start := time.Now()
	for index := range request.Tokens {
		due := start.Add(tokenDuration(float64(index)*slowdown, e.options.DecodeTokensPerSecond))
		if !pause.For(ctx, time.Until(due)) {
			return
		}
		output.write(request.Event(index))
	}
	output.write(request.End())
	complete = true
}

// slowdownAndFailure returns the factor on the processing time of a request and
// whether the request fails, given the cold period and the bad version.
func (e *Engine) slowdownAndFailure(request answer.Request, path string, served int) (float64, bool) {
	running := int(e.batch.running.Load())
	slowdown := 1.0
	if e.exceedsColdSlots(running) {
		slowdown = coldSlowdown
	}
	bad := e.faults.Get().BadVersion
	applies := bad.Applies(fault.RequestInfo{
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

// tokenDuration returns how long a number of tokens takes at a rate.
func tokenDuration(tokens, tokensPerSecond float64) time.Duration {
	return time.Duration(tokens / tokensPerSecond * float64(time.Second))
}
