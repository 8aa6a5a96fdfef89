package duty

import (
	"slices"
	"sync"
	"time"
)

// Clock is the time of day on which the hosts agree: the median of their clocks. It
// advances by a clock that is not set, so that a step of this host's time of day does not
// move it. It is safe for concurrent use.
type Clock struct {
	sinceBoot func() time.Duration
	timeOfDay func() time.Time

	mu sync.Mutex
	// bootedAt is the agreed time at which sinceBoot was zero; the zero time until it is
	// known. Until then this host's time of day is in force.
	bootedAt time.Time
	samples  map[string]clockSample
}

// clockSample is when the local clock sinceBoot was zero, by the time of day of another
// host.
type clockSample struct{ bootedAt, takenAt time.Time }

const (
	// sampleLifetime is how long a sample counts.
	sampleLifetime = 15 * time.Second
	// maxSampleTime is the longest call that yields a sample.
	maxSampleTime = 200 * time.Millisecond
	// minSamples is the number of other hosts whose clocks must be known.
	minSamples = 2
)

// NewClock returns a clock. sinceBoot counts the time in which the host is suspended.
func NewClock(sinceBoot func() time.Duration, timeOfDay func() time.Time) *Clock {
	return &Clock{sinceBoot: sinceBoot, timeOfDay: timeOfDay, samples: map[string]clockSample{}}
}

// Now returns the agreed time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at(c.sinceBoot())
}

// at returns the agreed time at a time since boot. The caller holds mu.
func (c *Clock) at(sinceBoot time.Duration) time.Time {
	if c.bootedAt.IsZero() {
		return c.timeOfDay().Round(0)
	}
	return c.bootedAt.Add(sinceBoot)
}

// Reading is the state of a host's clocks.
type Reading struct {
	_ struct{} `cbor:",toarray"`
	// SinceBootMicros is in µs, TimeOfDayMicros in µs since the start of 1970, as this
	// host's clock has it.
	SinceBootMicros, TimeOfDayMicros int64
}

// Read returns the state of this host's clocks.
func (c *Clock) Read() Reading {
	return Reading{SinceBootMicros: c.sinceBoot().Microseconds(), TimeOfDayMicros: c.timeOfDay().UnixMicro()}
}

// Adopt sets the agreed time at which this host's clock since boot was zero, in µs since
// the start of 1970.
func (c *Clock) Adopt(bootedAtMicros int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootedAt = time.UnixMicro(bootedAtMicros)
}

// AddSample adds the reading of another host's clocks, made in a call between two times
// since boot of this host. It returns the agreed time at which the other host's clock since
// boot was zero, for Adopt there, and false if the call took too long.
func (c *Clock) AddSample(host string, reading Reading, sentAt, receivedAt time.Duration) (bootedAtMicros int64, isValid bool) {
	if receivedAt-sentAt > maxSampleTime {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	readAt := sentAt + (receivedAt-sentAt)/2
	now := time.Time{}.Add(receivedAt)
	c.samples[host] = clockSample{bootedAt: time.UnixMicro(reading.TimeOfDayMicros).Add(-readAt), takenAt: now}
	c.update(now)
	return c.at(readAt).UnixMicro() - reading.SinceBootMicros, true
}

// update sets the agreed time to the median. The caller holds mu.
func (c *Clock) update(now time.Time) {
	known := []time.Time{c.timeOfDay().Round(0).Add(-c.sinceBoot())}
	for host, sample := range c.samples {
		if now.Sub(sample.takenAt) > sampleLifetime {
			delete(c.samples, host)
			continue
		}
		known = append(known, sample.bootedAt)
	}
	if len(known) <= minSamples {
		return
	}
	slices.SortFunc(known, time.Time.Compare)
	c.bootedAt = known[(len(known)-1)/2]
}
