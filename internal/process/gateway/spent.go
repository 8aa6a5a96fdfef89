package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"mustarddoor/internal/process/peers"
	"mustarddoor/internal/request/relay"
)

const (
	// usageInterval is the time over which a host's usage is measured, short
	// enough for the set of callers' hosts to grow within a burst.
	usageInterval = 500 * time.Millisecond
	// minRequestRate is the rate of requests per second below which a host
	// counts as serving no callers: its processor time is then spent on the
	// exchange with other hosts, and its requests are checks of the
	// configuration.
	minRequestRate = 6
	// servingTime is how long a host counts as serving callers after it did.
	servingTime = 3 * time.Second
)

// usageMeter measures what the process spends on callers.
type usageMeter struct {
	relay *relay.Relay
	conns *connections
	log   *logrus.Entry

	measuredAt      time.Time
	processor       time.Duration
	requests, bytes int64
	// spent is nil while the host serves no callers.
	spent *peers.Usage
	// servedAt is when the host last served callers.
	servedAt time.Time
	// clockFailed is true once reading the processor time has failed and was
	// logged.
	clockFailed bool
}

// update measures the usage when an interval is over.
func (m *usageMeter) update(now time.Time) {
	elapsed := now.Sub(m.measuredAt)
	if elapsed < usageInterval {
		return
	}
	processor := m.processorTime()
	requests, bytes := m.relay.Traffic()
	isFirst := m.measuredAt.IsZero()
	spent := &peers.Usage{
		MilliCores:  int(float64(processor-m.processor) / float64(elapsed) * 1000),
		LinkKbps:    int(float64(bytes-m.bytes) * 8 / 1000 / elapsed.Seconds()),
		Connections: m.conns.openCount(),
	}
	rate := float64(requests-m.requests) / elapsed.Seconds()
	m.measuredAt, m.processor, m.requests, m.bytes = now, processor, requests, bytes
	if isFirst || rate < minRequestRate {
		spent = nil
	} else {
		m.servedAt = now
	}
	m.spent = spent
}

// servesCallers reports whether the host has served callers lately.
func (m *usageMeter) servesCallers(now time.Time) bool { return now.Sub(m.servedAt) < servingTime }

// processorTime returns the processor time of the process, or the last reading
// if it cannot be read.
func (m *usageMeter) processorTime() time.Duration {
	usage := unix.Rusage{}
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		if !m.clockFailed {
			m.log.WithError(err).Warn("cannot read the processor time, callers' hosts are selected without it")
		}
		m.clockFailed = true
		return m.processor
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
