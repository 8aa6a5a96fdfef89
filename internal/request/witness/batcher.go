package witness

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
)

// ErrBusy is returned when too many intents wait for one witness. The intent
// was not sent.
var ErrBusy = eris.New("too many intents wait for the witness")

// Bounds of the batches of intents.
const (
	// maxBatch is how many intents go into one message.
	maxBatch = 256
	// maxInFlight is how many messages to one witness may be unanswered. The
	// first ones leave at once; intents that come while all are unanswered
	// form the next batch.
	maxInFlight = 4
	// maxWaiting is how many intents may wait for one witness.
	maxWaiting = 8192
)

// waiter is an intent that waits for its verdict.
type waiter struct {
	intent Intent
	result chan result
}

type result struct {
	verdict Verdict
	err     error
}

// batcher sends intents to one witness.
type batcher struct {
	caller  mesh.Caller
	address string
	timeout time.Duration

	mu       sync.Mutex
	waiting  []waiter
	inFlight int
}

// intend queues an intent and returns the channel that gets its result.
func (b *batcher) intend(intent Intent) (<-chan result, error) {
	added := waiter{intent: intent, result: make(chan result, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= maxWaiting {
		return nil, ErrBusy
	}
	b.waiting = append(b.waiting, added)
	if b.inFlight < maxInFlight {
		b.inFlight++
		go b.send()
	}
	return added.result, nil
}

// send sends batches until none is waiting.
func (b *batcher) send() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		b.exchange(batch)
	}
}

// take returns the next batch, or nothing and gives up the sender's place.
func (b *batcher) take() []waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.inFlight--
		return nil
	}
	count := min(len(b.waiting), maxBatch)
	batch := b.waiting[:count:count]
	b.waiting = b.waiting[count:]
	return batch
}

func (b *batcher) exchange(batch []waiter) {
	request := IntendRequest{Intents: make([]Intent, len(batch))}
	for i, waiting := range batch {
		request.Intents[i] = waiting.intent
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var reply IntendReply
	err := b.caller.Call(ctx, b.address, KindIntend, request, &reply)
	if err == nil && len(reply.Verdicts) != len(batch) {
		err = eris.Wrapf(mesh.ErrNoReply, "%d verdicts on %d intents", len(reply.Verdicts), len(batch))
	}
	for i, waiting := range batch {
		if err != nil {
			waiting.result <- result{err: err}
			continue
		}
		waiting.result <- result{verdict: reply.Verdicts[i]}
	}
}
