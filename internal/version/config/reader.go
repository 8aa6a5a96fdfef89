package config

import (
	"context"
	"math/rand/v2"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/pause"
)

// Times and sizes of reading the log.
const (
	longPoll       = 10 * time.Second
	emptyPause     = 50 * time.Millisecond
	gapPause       = time.Second
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// logReader reads the log for a follower.
type logReader struct {
	follower *Follower
	// scan is where the search for a snapshot goes on.
	scan    uint64
	backoff time.Duration
	// wait is how long the next read may wait at the tail.
	wait time.Duration
}

// follow reads the log until the context ends.
func (f *Follower) follow(ctx context.Context) error {
	reader := &logReader{follower: f, backoff: minReadBackoff}
	for ctx.Err() == nil {
		pause.For(ctx, reader.step(ctx))
	}
	return nil
}

// step reads once and returns how long to wait before the next read.
func (r *logReader) step(ctx context.Context) time.Duration {
	from := r.follower.currentState().Log.Offset + 1
	page, err := r.read(ctx, from, r.wait)
	if err != nil {
		return r.failed(ctx, err)
	}
	if page.Trimmed {
		r.wait = 0
		return r.heal(ctx, page.FirstOffset)
	}
	r.scan = 0
	r.follower.apply(page.Records)
	next := from + uint64(len(page.Records))
	if next < page.NextOffset {
		r.wait = 0
		return 0
	}
	r.follower.caughtUp()
	r.wait = longPoll
	if len(page.Records) == 0 {
		return emptyPause
	}
	return 0
}

// read reads a page and notes the log's state.
func (r *logReader) read(ctx context.Context, from uint64, wait time.Duration) (platform.Page, error) {
	page, err := r.follower.options.Log.Read(ctx, platform.Range{
		Stream:     platform.StreamConfig,
		From:       from,
		MaxRecords: platform.MaxPageRecords,
		Wait:       wait,
	})
	if err != nil {
		return platform.Page{}, err
	}
	r.backoff = minReadBackoff
	r.follower.logAnswered(page.FirstOffset, page.NextOffset)
	return page, nil
}

// failed notes a failed read and asks the peers in the log's place.
func (r *logReader) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	r.wait = 0
	r.follower.logFailed(err)
	if ready, _ := r.follower.Ready(); !ready {
		r.follower.pullAll(ctx)
	}
	wait := r.backoff/2 + rand.N(r.backoff)
	r.backoff = min(2*r.backoff, maxReadBackoff)
	return wait
}

// heal closes the gap before first, the oldest offset that the log has: by the
// peers or by a snapshot further on in the log.
func (r *logReader) heal(ctx context.Context, first uint64) time.Duration {
	r.follower.pullAll(ctx)
	from := r.follower.currentState().Log.Offset + 1
	if from >= first {
		return 0
	}
	r.scan = max(r.scan, first)
	page, err := r.read(ctx, r.scan, 0)
	if err != nil {
		return r.failed(ctx, err)
	}
	if page.Trimmed {
		return 0
	}
	for _, entry := range page.Records {
		if r.follower.adopt(entry, first) {
			r.scan = 0
			return 0
		}
		r.scan = entry.Offset + 1
	}
	if r.scan < page.NextOffset {
		return 0
	}
	r.follower.gapFound(from, first-1)
	return gapPause
}

// adopt takes a record in if it closes the gap before first, and reports
// whether it does.
func (f *Follower) adopt(entry platform.Record, first uint64) bool {
	outcome := f.step(func(s State) (State, Outcome) { return s.Adopt(entry, first, f.options.Keys) })
	if outcome.Result == ResultSkipped {
		return false
	}
	f.metrics.adopted.Inc(1)
	return true
}
