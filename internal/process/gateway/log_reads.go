package gateway

import (
	"context"
	"sync"
	"time"

	"mustarddoor/internal/connection/transfer"
	"mustarddoor/internal/process/keyed"
)

const (
	// operatorMaxWait is how long a read of the operator's topic waits for records. The
	// topic is confirmed at its end, before it counts as unconfirmed. A change ends the
	// wait early.
	operatorMaxWait = 900 * time.Millisecond
	// operatorMinWait is the shortest wait, at a store that is slow to reply.
	operatorMinWait = 500 * time.Millisecond
	// confirmationMargin is how long before it would count as unconfirmed the topic is
	// confirmed at the latest, if the store replies as slowly as before.
	confirmationMargin = 100 * time.Millisecond
	// latencyDecay is the factor by which a measured latency decreases with each reply
	// that was faster.
	latencyDecay = 0.8
)

// logReads reads the log for this host. Its zero value is ready to use.
type logReads struct {
	mu sync.Mutex
	// latency is how long the store has lately taken to reply, without its wait for
	// records.
	latency time.Duration
}

// operatorWait returns how long a read of the operator's topic may wait that was confirmed
// some time ago: it is to be confirmed again before it counts as unconfirmed if the store
// replies as slowly as before.
func (r *logReads) operatorWait(age time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := min(max(maxUnconfirmed-confirmationMargin-2*r.latency, operatorMinWait), operatorMaxWait)
	// A read that ends early with a change confirms only what held when it was sent.
	return max(wait-max(age-r.latency, 0), relayMinWait)
}

// overdueAfter returns how long a read that waits may have no reply until it is repeated: a
// connection can go silent without a reset, and what was confirmed is about to count as
// unconfirmed then.
func (r *logReads) overdueAfter(wait time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wait + r.latency + confirmationMargin
}

// observe records how long a read took that was allowed to wait for records.
func (r *logReads) observe(elapsed, wait time.Duration) {
	if elapsed < wait {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency = max(elapsed-wait, time.Duration(float64(r.latency)*latencyDecay))
}

// logReadResult is the result of a read.
type logReadResult struct {
	batch keyed.Batch
	err   error
}

// read reads from a store. If a read that waits for records is overdue, a second one is
// sent that does not wait, and the first success counts.
func (r *logReads) read(ctx context.Context, store keyed.Store, partition keyed.Partition, from keyed.Position, wait time.Duration) (keyed.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan logReadResult, 2)
	start := func(wait time.Duration) {
		startedAt := time.Now()
		batch, err := store.Read(ctx, partition, from, wait)
		if err == nil {
			r.observe(time.Since(startedAt), wait)
		}
		results <- logReadResult{batch: batch, err: err}
	}
	if wait <= 0 {
		start(0)
		result := <-results
		return result.batch, result.err
	}
	go start(wait)
	overdue := time.NewTimer(r.overdueAfter(wait))
	defer overdue.Stop()
	for pending := 1; ; {
		select {
		case <-overdue.C:
			if transfer.HasBegun(ctx) {
				// A second one would take longer, and slow down the first.
				continue
			}
			pending++
			go start(0)
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				return result.batch, result.err
			}
		}
	}
}
