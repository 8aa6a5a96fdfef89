// Package decisionlog logs the reasons for scheduling decisions. Logging never
// blocks a decision: lines go through a bounded buffer to a single writer, and
// dropped lines are counted.
package decisionlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Class determines how the log line of a request is rate-limited.
type Class uint8

// Classes of log lines.
const (
	// Success lines are sampled under load.
	Success Class = iota + 1
	// Failure lines are kept up to a much higher rate.
	Failure
)

const (
	// maxSuccessLinesPerSecond limits the lines of successful requests.
	maxSuccessLinesPerSecond = 5
	// maxFailureLinesPerSecond limits the lines of refusals and failures. It
	// is above the refusal rate of a host of the planned size.
	maxFailureLinesPerSecond = 200
	// maxBufferBytes is the maximum size of the lines waiting to be written.
	maxBufferBytes = 256 << 10
	// writeInterval is the interval between writes. Batching saves system
	// calls.
	writeInterval = 50 * time.Millisecond
	// reportInterval is the interval between reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Log writes log lines without blocking. It is safe for concurrent use.
type Log struct {
	logger    *logrus.Logger
	out       io.Writer
	successes *rate.Limiter
	failures  *rate.Limiter

	dropped, sampledOut metrics.Counter

	mu     sync.Mutex
	buffer []byte
	// unreported counts the lines dropped since the last report.
	unreported int64
}

// New returns a log that writes JSON lines to out while Run is running.
func New(out io.Writer, registry metrics.Registry) *Log {
	l := &Log{
		logger: logrus.New(), out: out,
		successes:  rate.NewLimiter(maxSuccessLinesPerSecond, maxSuccessLinesPerSecond),
		failures:   rate.NewLimiter(maxFailureLinesPerSecond, maxFailureLinesPerSecond),
		dropped:    metrics.GetOrRegisterCounter("log.dropped", registry),
		sampledOut: metrics.GetOrRegisterCounter("log.sampled_out", registry),
	}
	l.logger.SetOutput(l)
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l
}

// Write buffers a line. It implements io.Writer and never returns an error.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer)+len(line) > maxBufferBytes {
		l.unreported++
		l.dropped.Inc(1)
		return len(line), nil
	}
	l.buffer = append(l.buffer, line...)
	return len(line), nil
}

// Entry returns an entry for lines that are not rate-limited, such as changes
// of the observed system state.
func (l *Log) Entry() *logrus.Entry { return logrus.NewEntry(l.logger) }

// LogRequest logs a request unless the rate limit of its class is exceeded. It
// calls describe only if the line is logged.
func (l *Log) LogRequest(class Class, describe func() (string, logrus.Fields)) {
	limiter := l.failures
	if class == Success {
		limiter = l.successes
	}
	if !limiter.Allow() {
		l.sampledOut.Inc(1)
		return
	}
	message, fields := describe()
	if class == Success {
		fields["sampled"] = true
	}
	l.logger.WithFields(fields).Info(message)
}

// Run writes buffered lines until the context is canceled, and then the
// remaining ones.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	reported := time.Now()
	for {
		select {
		case <-ctx.Done():
			l.flush()
			return nil
		case <-ticker.C:
		}
		if time.Since(reported) >= reportInterval {
			reported = time.Now()
			l.reportDropped()
		}
		l.flush()
	}
}

func (l *Log) reportDropped() {
	l.mu.Lock()
	unreported := l.unreported
	l.unreported = 0
	l.mu.Unlock()
	if unreported > 0 {
		l.Entry().WithField("lines", unreported).Warn("log lines dropped")
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	lines := l.buffer
	l.buffer = nil
	l.mu.Unlock()
	if len(lines) > 0 {
		// A failed write of the log cannot be reported anywhere.
		_, _ = l.out.Write(lines)
	}
}
