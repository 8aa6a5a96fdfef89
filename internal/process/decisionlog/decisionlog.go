// Package decisionlog writes the lines that explain decisions. Writing never
// blocks the decision: lines go through a bounded buffer to one writer, and
// what does not fit is counted.
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

// Class is how much a request's line matters.
type Class uint8

// The classes.
const (
	// Success lines are sampled under load.
	Success Class = iota + 1
	// Failure lines are kept as long as they fit.
	Failure
)

const (
	// maxSuccessLinesPerSecond bounds the lines of plain successes a second.
	maxSuccessLinesPerSecond = 5
	// maxFailureLinesPerSecond bounds the lines of refusals and failures a second; it is
	// above the rate at which a host of the planned size refuses.
	maxFailureLinesPerSecond = 200
	// maxBufferBytes bounds the lines that wait to be written.
	maxBufferBytes = 256 << 10
	// writeInterval is the pause between writes: each one is a system call.
	writeInterval = 50 * time.Millisecond
	// reportInterval is how often left-out lines are reported.
	reportInterval = 5 * time.Second
)

// Log writes lines without blocking. It is safe for concurrent use.
type Log struct {
	logger    *logrus.Logger
	out       io.Writer
	successes *rate.Limiter
	failures  *rate.Limiter

	dropped, sampledOut metrics.Counter

	mu     sync.Mutex
	buffer []byte
	// unreported counts the lines left out since the last report.
	unreported int64
}

// New returns a log that writes JSON lines to out once Run runs.
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

// Write takes a line for the writer. It implements io.Writer and never fails.
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

// Entry is for lines on changed beliefs.
func (l *Log) Entry() *logrus.Entry { return logrus.NewEntry(l.logger) }

// LogRequest writes a request's line if its class still has room; describe is
// called only then.
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

// Run writes lines until the context ends, and then those that are left.
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
		// There is nowhere to report a failed write of the log to.
		_, _ = l.out.Write(lines)
	}
}
