package config

import (
	"context"
	"math/rand/v2"
	"time"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/pause"
)

// Timing of reads of the log.
const (
	longPollTimeout = 10 * time.Second
	emptyPageDelay  = 50 * time.Millisecond
	gapRetryDelay   = time.Second
	minReadBackoff  = 100 * time.Millisecond
	maxReadBackoff  = 2 * time.Second
)

// logReader reads the log on behalf of a follower.
type logReader struct {
	follower *Follower
	// scanOffset is where the search for a snapshot continues.
	scanOffset uint64
	backoff    time.Duration
	// wait is how long the next read may wait for records at the tail.
	wait time.Duration
}

// follow reads the log until the context ends.
func (f *Follower) follow(ctx context.Context) error {
	reader := &logReader{follower: f, backoff: minReadBackoff}
	for ctx.Err() == nil {
		pause.For(ctx, reader.readNext(ctx))
	}
	return nil
}

// readNext reads one page and returns the delay before the next read.
func (r *logReader) readNext(ctx context.Context) time.Duration {
	from := r.follower.currentState().Log.Offset + 1
	page, err := r.readPage(ctx, from, r.wait)
	if err != nil {
		return r.readFailed(ctx, err)
	}
	if page.Trimmed {
		r.wait = 0
		return r.closeGap(ctx, page.FirstOffset)
	}
	r.scanOffset = 0
	r.follower.applyEntries(page.Records)
	next := from + uint64(len(page.Records))
	if next < page.NextOffset {
		r.wait = 0
		return 0
	}
	r.follower.caughtUp()
	r.wait = longPollTimeout
	if len(page.Records) == 0 {
		return emptyPageDelay
	}
	return 0
}

// readPage reads a page and records that the log answered.
func (r *logReader) readPage(ctx context.Context, from uint64, wait time.Duration) (platform.Page, error) {
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

// readFailed records a failed read. While the host is not ready, it asks the
// peers instead.
func (r *logReader) readFailed(ctx context.Context, err error) time.Duration {
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

// closeGap closes the gap before first, the oldest offset in the log, by the
// state of peers or by a later snapshot in the log.
func (r *logReader) closeGap(ctx context.Context, first uint64) time.Duration {
	r.follower.pullAll(ctx)
	from := r.follower.currentState().Log.Offset + 1
	if from >= first {
		return 0
	}
	r.scanOffset = max(r.scanOffset, first)
	page, err := r.readPage(ctx, r.scanOffset, 0)
	if err != nil {
		return r.readFailed(ctx, err)
	}
	if page.Trimmed {
		return 0
	}
	for _, entry := range page.Records {
		if r.follower.adopt(entry, first) {
			r.scanOffset = 0
			return 0
		}
		r.scanOffset = entry.Offset + 1
	}
	if r.scanOffset < page.NextOffset {
		return 0
	}
	r.follower.gapFound(from, first-1)
	return gapRetryDelay
}

// adopt applies a record if it closes the gap before first, and reports whether
// it does.
func (f *Follower) adopt(entry platform.Record, first uint64) bool {
	outcome := f.applyOne(func(s State) (State, Outcome) { return s.Adopt(entry, first, f.options.Keys) })
	if outcome.Result == ResultSkipped {
		return false
	}
	f.metrics.snapshotsAdopted.Inc(1)
	return true
}
