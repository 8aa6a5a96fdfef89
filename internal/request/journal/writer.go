package journal

import (
	"context"
	"strconv"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/witness"
)

// maxBatchEntries is how many entries one log record holds at most.
const maxBatchEntries = 1024

const (
	// minAppendInterval is the time between appends in a small fleet.
	minAppendInterval = 100 * time.Millisecond
	// maxFleetAppendsPerSecond is how many of the log's appends the journals of
	// all hosts may take together.
	maxFleetAppendsPerSecond = 200
)

// AppendInterval is the time between appends of each host, so that those of a
// fleet of the given size stay within their share of what the log takes.
func AppendInterval(hosts int) time.Duration {
	return max(minAppendInterval, time.Duration(hosts)*time.Second/maxFleetAppendsPerSecond)
}

// UnloggedSource is where a writer takes records from; witness.Register is one.
type UnloggedSource interface {
	TakeUnlogged(start uint, limit int) []witness.Unlogged
	Relog(records []witness.Unlogged)
	Logged(records []witness.Unlogged)
}

// WriterConfig is what a writer needs.
type WriterConfig struct {
	Self     identity.Incarnation
	Register UnloggedSource
	Log      Appender
	// Interval gives the time between appends; see AppendInterval. While records
	// remain after one, the next follows at once.
	Interval func() time.Duration
	// Timeout is how long an append may take.
	Timeout time.Duration
	// Metrics gets the counters journal.appends, journal.failures and
	// journal.entries.
	Metrics metrics.Registry
}

// Writer appends the records that the log lacks, one batch at a time.
// It is safe for concurrent use.
type Writer struct {
	config   WriterConfig
	appends  metrics.Counter
	failures metrics.Counter
	entries  metrics.Counter

	mu       sync.Mutex
	sequence uint64
}

// NewWriter returns a writer.
func NewWriter(config WriterConfig) *Writer {
	return &Writer{
		config:   config,
		appends:  metrics.GetOrRegisterCounter("journal.appends", config.Metrics),
		failures: metrics.GetOrRegisterCounter("journal.failures", config.Metrics),
		entries:  metrics.GetOrRegisterCounter("journal.entries", config.Metrics),
	}
}

// Run appends until the context ends, and then once more what is left.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(w.config.Interval())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			w.Flush(ctx)
			timer.Reset(w.config.Interval())
		case <-ctx.Done():
			w.Flush(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// Flush appends until the log has everything or an append fails. It returns
// whether the log has everything.
func (w *Writer) Flush(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		records := w.config.Register.TakeUnlogged(uint(w.sequence), maxBatchEntries)
		if len(records) == 0 {
			return true
		}
		if err := w.append(ctx, records); err != nil {
			w.failures.Inc(1)
			w.config.Register.Relog(records)
			return false
		}
		w.config.Register.Logged(records)
		if len(records) < maxBatchEntries {
			return true
		}
	}
}

func (w *Writer) append(ctx context.Context, records []witness.Unlogged) error {
	data, err := encode(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.Timeout)
	defer cancel()
	w.sequence++
	record := platform.AppendRecord{ID: w.recordID(), Data: data}
	if _, err := w.config.Log.Append(ctx, platform.StreamRequests, []platform.AppendRecord{record}); err != nil {
		return err
	}
	w.appends.Inc(1)
	w.entries.Inc(int64(len(records)))
	return nil
}

func (w *Writer) recordID() string {
	return w.config.Self.String() + "/" + strconv.FormatUint(w.sequence, 36)
}
