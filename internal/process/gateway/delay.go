package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// delayCheckInterval is the time between measurements of how late timers fire.
	delayCheckInterval = 100 * time.Millisecond
	// minKnownDelay is the shortest delay that is kept for later, delayMemory for how long.
	minKnownDelay = 50 * time.Millisecond
	delayMemory   = time.Minute
	// minLoggedDelay is the shortest delay that is logged, delayLogInterval the shortest
	// time between two lines.
	minLoggedDelay   = 500 * time.Millisecond
	delayLogInterval = 5 * time.Second
)

// processDelay is a time in which the process did not run although a timer had expired.
type processDelay struct{ from, to time.Time }

// delayMonitor measures how late the timers of this process fire. A process that gets no
// processor time takes what it missed for the silence of others.
type delayMonitor struct {
	log     *logrus.Entry
	timer   metrics.Timer
	longest metrics.Gauge

	mu sync.Mutex
	// expectedAt is when the next measurement is due; zero before the first one.
	expectedAt time.Time
	recent     []processDelay
	// loggedAt is when the last line was logged; unloggedCount and unloggedLongest
	// describe the delays since then.
	loggedAt        time.Time
	unloggedCount   int
	unloggedLongest time.Duration
}

func newDelayMonitor(log *logrus.Entry, registry metrics.Registry) *delayMonitor {
	return &delayMonitor{
		log:     log,
		timer:   metrics.GetOrRegisterTimer("process.delay", registry),
		longest: metrics.GetOrRegisterGauge("process.longest_delay_ms", registry),
	}
}

// run measures until ctx is done.
func (m *delayMonitor) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		m.measure(time.Now())
		timer.Reset(delayCheckInterval)
	}
}

// measure records by how much the timer of this measurement was late.
func (m *delayMonitor) measure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.expectedAt.IsZero() {
		m.record(processDelay{m.expectedAt, now})
	}
	m.expectedAt = now.Add(delayCheckInterval)
	for len(m.recent) > 0 && now.Sub(m.recent[0].to) > delayMemory {
		m.recent = m.recent[1:]
	}
	m.longest.Update(m.longestSince(time.Time{}, now).Milliseconds())
	if m.unloggedCount > 0 && now.Sub(m.loggedAt) >= delayLogInterval {
		m.log.WithFields(logrus.Fields{"delay_ms": m.unloggedLongest.Milliseconds(), "delays": m.unloggedCount}).Warn("process was delayed")
		m.loggedAt, m.unloggedCount, m.unloggedLongest = now, 0, 0
	}
}

func (m *delayMonitor) record(delay processDelay) {
	length := max(delay.to.Sub(delay.from), 0)
	m.timer.Update(length)
	if length >= minKnownDelay {
		m.recent = append(m.recent, delay)
	}
	if length >= minLoggedDelay {
		m.unloggedCount++
		m.unloggedLongest = max(m.unloggedLongest, length)
	}
}

// Longest returns the longest delay since a time, at most as far back as delayMemory. A
// delay that has not been measured yet is included.
func (m *delayMonitor) Longest(since time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longestSince(since, time.Now())
}

// Begin returns when the delay may have begun that goes on or has just ended, or now if
// there is none.
func (m *delayMonitor) Begin(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.expectedAt.IsZero() && now.Sub(m.expectedAt) >= minKnownDelay {
		return m.expectedAt.Add(-delayCheckInterval)
	}
	if n := len(m.recent); n > 0 && now.Sub(m.recent[n-1].to) <= delayCheckInterval {
		return m.recent[n-1].from.Add(-delayCheckInterval)
	}
	return now
}

// longestSince implements Longest. The caller holds mu.
func (m *delayMonitor) longestSince(since, now time.Time) time.Duration {
	longest := time.Duration(0)
	if !m.expectedAt.IsZero() {
		if current := now.Sub(laterTime(m.expectedAt, since)); current >= minKnownDelay {
			longest = current
		}
	}
	for _, delay := range m.recent {
		longest = max(longest, delay.to.Sub(laterTime(delay.from, since)))
	}
	return longest
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
