package witness

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/mesh"
)

// ErrBusy is returned when too many intents are pending for one witness. The
// intent was not sent.
var ErrBusy = eris.New("too many intents are pending for the witness")

// Limits of the batches of intents.
const (
	// maxIntentBatch is the maximum number of intents per message.
	maxIntentBatch = 256
	// maxInFlight is the maximum number of unanswered messages to one witness.
	// Intents are sent at once below this limit; intents that arrive at the limit
	// form the next batch.
	maxInFlight = 4
	// maxPendingIntents is the maximum number of intents that wait to be sent to
	// one witness.
	maxPendingIntents = 8192
)

// pendingIntent is an intent that waits for its verdict.
type pendingIntent struct {
	intent Intent
	result chan intentResult
}

type intentResult struct {
	verdict Verdict
	err     error
}

// batcher sends intents to one witness in batches.
type batcher struct {
	caller  mesh.Caller
	address string
	timeout time.Duration

	mu       sync.Mutex
	pending  []pendingIntent
	inFlight int
}

// enqueue queues an intent and returns the channel that receives its result.
func (b *batcher) enqueue(intent Intent) (<-chan intentResult, error) {
	added := pendingIntent{intent: intent, result: make(chan intentResult, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPendingIntents {
		return nil, ErrBusy
	}
	b.pending = append(b.pending, added)
	if b.inFlight < maxInFlight {
		b.inFlight++
		go b.send()
	}
	return added.result, nil
}

// send sends batches until no intent is pending.
func (b *batcher) send() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.sendBatch(batch)
	}
}

// nextBatch returns the next batch. If no intent is pending, it returns nil and
// decrements the number of messages in flight.
func (b *batcher) nextBatch() []pendingIntent {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.inFlight--
		return nil
	}
	count := min(len(b.pending), maxIntentBatch)
	batch := b.pending[:count:count]
	b.pending = b.pending[count:]
	return batch
}

func (b *batcher) sendBatch(batch []pendingIntent) {
	request := IntendRequest{Intents: make([]Intent, len(batch))}
	for i, pending := range batch {
		request.Intents[i] = pending.intent
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var reply IntendReply
	err := b.caller.Call(ctx, b.address, KindIntend, request, &reply)
	if err == nil && len(reply.Verdicts) != len(batch) {
		err = eris.Wrapf(mesh.ErrNoReply, "witness returned %d verdicts on %d intents", len(reply.Verdicts), len(batch))
	}
	for i, pending := range batch {
		if err != nil {
			pending.result <- intentResult{err: err}
			continue
		}
		pending.result <- intentResult{verdict: reply.Verdicts[i]}
	}
}
