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

// maxBatchEntries limits the entries in one log record.
const maxBatchEntries = 1024

const (
	// minAppendInterval is the time between appends of a host in a small fleet.
	minAppendInterval = 100 * time.Millisecond
	// maxFleetAppendsPerSecond is the share of the log's append rate that the
	// journals of all hosts may use together.
	maxFleetAppendsPerSecond = 200
)

// AppendInterval returns the time between appends of each host that keeps a
// fleet of the given size within maxFleetAppendsPerSecond.
func AppendInterval(hosts int) time.Duration {
	return max(minAppendInterval, time.Duration(hosts)*time.Second/maxFleetAppendsPerSecond)
}

// UnloggedSource holds the records that are not yet in the log. It is implemented
// by witness.Register.
type UnloggedSource interface {
	TakeUnlogged(start uint, limit int) []witness.Unlogged
	RequeueUnlogged(records []witness.Unlogged)
	MarkLogged(records []witness.Unlogged)
}

// WriterConfig holds the dependencies and settings of a Writer.
type WriterConfig struct {
	Self     identity.Incarnation
	Register UnloggedSource
	Log      Appender
	// Interval returns the time between appends; see AppendInterval. If records
	// remain after an append, the next follows immediately.
	Interval func() time.Duration
	// Timeout limits the duration of an append.
	Timeout time.Duration
	// Metrics receives the counters journal.appends, journal.failures and
	// journal.entries.
	Metrics metrics.Registry
}

// Writer appends unlogged records to the log, one batch at a time. It is safe
// for concurrent use.
type Writer struct {
	config   WriterConfig
	appends  metrics.Counter
	failures metrics.Counter
	entries  metrics.Counter

	mu       sync.Mutex
	sequence uint64
}

// NewWriter returns a writer and registers its counters.
func NewWriter(config WriterConfig) *Writer {
	return &Writer{
		config:   config,
		appends:  metrics.GetOrRegisterCounter("journal.appends", config.Metrics),
		failures: metrics.GetOrRegisterCounter("journal.failures", config.Metrics),
		entries:  metrics.GetOrRegisterCounter("journal.entries", config.Metrics),
	}
}

// Run appends at each interval until the context is canceled, and then flushes
// the remaining records.
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

// Flush appends until no record is unlogged or an append fails. It returns false
// if an append failed.
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
			w.config.Register.RequeueUnlogged(records)
			return false
		}
		w.config.Register.MarkLogged(records)
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
