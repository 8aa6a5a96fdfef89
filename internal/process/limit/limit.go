// Package limit decides how many requests an endpoint may have in flight.
//
// A cold endpoint starts at its cold limit. While its first tokens come about
// as fast as expected, the limit grows by half with each full round of
// samples. A warm endpoint's limit follows the gradient between the expected
// and the observed first-token times. A restart, a failure or a run of very
// late first tokens makes the endpoint cold again. All methods are pure state
// changes; the time is passed in.
package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWindow is how many samples make a verdict.
	sampleWindow = 8
	// minColdTime is how long the limit stays at the cold limit at least.
	minColdTime = 5 * time.Second
	// minAdjustInterval is how long the limit stays after each growth at least.
	minAdjustInterval = 500 * time.Millisecond
	// growthFactor is the factor of a growthFactor step.
	growthFactor = 1.5
	// healthySlowdown is the largest median slowdown at which the limit grows.
	// Slowdowns are first-token times in percent of the expected ones.
	healthySlowdown = 150
	// shrinkSlowdown is the median slowdown above which a warm limit shrinks.
	shrinkSlowdown = 300
	// coldSlowdown is the slowdown of a sample that hints at a cold turn;
	// coldRun of them in a row prove it.
	coldSlowdown    = 500
	coldSlowdownRun = 4
	// minShrinkFactor bounds one shrinking step of the gradient.
	minShrinkFactor = 0.7
	// queueAllowance is the room that a shrinking step leaves for a queue, as a
	// fraction of the limit's square root.
	queueAllowance = 0.25
	// cacheLossRatio is the fraction of the cached tokens whose loss between two
	// load reports hints at a cold turn.
	cacheLossRatio = 0.9
	// minCachedTokens is the least number of cached tokens for that hint.
	minCachedTokens = 1000
	// maxPastIncarnations is how many earlier incarnations are remembered, so that late
	// reports of them change nothing.
	maxPastIncarnations = 8
	// failureThreshold failures, each within failureWindow of the one before, make
	// the endpoint cold whatever its load reports say.
	failureThreshold = 3
	failureWindow    = 5 * time.Second
	// minBackoff and maxPause bound the pauses after failures.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Config bounds a limit.
type Config struct {
	// Cold is the limit just after a start, Max the greatest ever; both at
	// least 1.
	Cold, Max int
}

// clamped gives the configuration with both limits in their ranges.
func (c Config) clamped() Config {
	c.Cold = max(c.Cold, 1)
	c.Max = max(c.Max, c.Cold)
	return c
}

// Limit is the concurrency limit of one endpoint. It is not safe for
// concurrent use.
type Limit struct {
	config  Config
	value   float64
	samples []uint16
	slowRun int
	// coldSince is when the limit last turned cold, adjustedAt when it last grew or
	// shrank.
	coldSince, adjustedAt time.Time
	incarnation           string
	// pastIncarnations are earlier incarnations of the endpoint, latest last.
	pastIncarnations []string
	cachedTokens     int64
	// valueBeforeFailure is the limit before a failure that no load report has yet
	// explained, failedAt when that was, failures how many followed.
	valueBeforeFailure float64
	lastFailure        time.Time
	failures           int
	// backoff is the length of the last backoff, which ends at pausedUntil.
	backoff      time.Duration
	backoffUntil time.Time
}

// New returns the limit of an endpoint that is cold, for all that is known.
func New(config Config, now time.Time) *Limit {
	l := &Limit{config: config.clamped()}
	l.resetToCold(now)
	return l
}

// Value is the present limit. It is zero for a short time after a failure.
func (l *Limit) Value(now time.Time) int {
	if now.Before(l.backoffUntil) {
		return 0
	}
	return int(l.value)
}

// Cold is the limit just after a start.
func (l *Limit) Cold() int { return l.config.Cold }

// IsCold reports whether the limit has not yet grown since the last cold turn.
func (l *Limit) IsCold() bool { return int(l.value) <= l.config.Cold && l.config.Cold < l.config.Max }

// resetToCold collapses the limit.
func (l *Limit) resetToCold(now time.Time) {
	l.value = float64(l.config.Cold)
	l.samples = l.samples[:0]
	l.slowRun = 0
	l.coldSince = now
	l.adjustedAt = now
}

// SetConfig changes the bounds.
func (l *Limit) SetConfig(config Config) {
	l.config = config.clamped()
	l.value = min(max(l.value, float64(l.config.Cold)), float64(l.config.Max))
}

// Resume tells that the endpoint takes requests again after it took none.
func (l *Limit) Resume(now time.Time) { l.resetToCold(now) }

// RecordFailure takes a failure of a request that the endpoint may have started. The
// endpoint counts as cold until Verify shows that it has not restarted.
func (l *Limit) RecordFailure(now time.Time) {
	if l.failures == 0 || now.Sub(l.lastFailure) > failureWindow {
		l.valueBeforeFailure = l.value
		l.failures = 0
	}
	l.failures++
	l.lastFailure = now
	l.startBackoff(now)
	l.resetToCold(now)
}

// startBackoff stops new requests for a while, longer with each failure that
// follows no success.
func (l *Limit) startBackoff(now time.Time) {
	if now.Before(l.backoffUntil) {
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now.Add(l.backoff)
}

// VerifyIncarnation takes a load report with the endpoint's incarnation, sampled at a
// time. It lifts the suspicion of a few failures if the endpoint has not
// restarted.
func (l *Limit) VerifyIncarnation(sampled time.Time, incarnation string) {
	if l.failures == 0 || incarnation != l.incarnation || !sampled.After(l.lastFailure) {
		return
	}
	if l.failures < failureThreshold {
		l.value = min(l.valueBeforeFailure, float64(l.config.Max))
	}
	l.failures = 0
}

// ObserveIncarnation takes the endpoint's incarnation; a new one is a restart. It
// returns whether it is new.
func (l *Limit) ObserveIncarnation(now time.Time, incarnation string) bool {
	if incarnation == "" || incarnation == l.incarnation || slices.Contains(l.pastIncarnations, incarnation) {
		return false
	}
	known := l.incarnation != ""
	l.pastIncarnations = append(l.pastIncarnations, l.incarnation)
	if len(l.pastIncarnations) > maxPastIncarnations {
		l.pastIncarnations = l.pastIncarnations[1:]
	}
	l.incarnation = incarnation
	l.failures = 0
	if known {
		l.resetToCold(now)
	}
	return known
}

// ObserveCachedTokens takes the number of cached tokens from a load report. A sudden loss
// of nearly all is a cold turn.
func (l *Limit) ObserveCachedTokens(now time.Time, tokens int64) {
	lost := l.cachedTokens >= minCachedTokens && float64(tokens) < float64(l.cachedTokens)*(1-cacheLossRatio)
	l.cachedTokens = tokens
	if lost {
		l.resetToCold(now)
	}
}

// ObserveSlowdown takes the slowdown of a first token: its time in percent of the
// expected one. inFlight is how many requests the endpoint has: a limit that is
// not used up does not grow.
func (l *Limit) ObserveSlowdown(now time.Time, slowdown uint16, inFlight int) {
	l.backoff = 0
	if slowdown >= coldSlowdown {
		l.slowRun++
	} else {
		l.slowRun = 0
	}
	if l.slowRun >= coldSlowdownRun {
		l.resetToCold(now)
		return
	}
	l.samples = append(l.samples, slowdown)
	if len(l.samples) >= l.samplesNeeded() {
		l.adjust(now, inFlight)
	}
}

// samplesNeeded is how many samples make a verdict at the present limit.
func (l *Limit) samplesNeeded() int { return min(max(int(l.value), 2), sampleWindow) }

// adjust grows or shrinks the limit by the samples' median.
func (l *Limit) adjust(now time.Time, inFlight int) {
	if now.Sub(l.coldSince) < minColdTime || now.Sub(l.adjustedAt) < minAdjustInterval {
		l.samples = slices.Delete(l.samples, 0, 1)
		return
	}
	median := l.median()
	l.samples = l.samples[:0]
	switch {
	case median <= healthySlowdown && 2*inFlight >= int(l.value):
		l.grow(now)
	case median > shrinkSlowdown:
		l.shrink(now, median)
	}
}

// median sorts the samples.
func (l *Limit) median() float64 {
	slices.Sort(l.samples)
	return float64(l.samples[len(l.samples)/2])
}

func (l *Limit) grow(now time.Time) {
	if l.value >= float64(l.config.Max) {
		return
	}
	l.value = min(math.Ceil(l.value*growthFactor), float64(l.config.Max))
	l.adjustedAt = now
}

// shrink follows the gradient, with room for a queue of the limit's root.
func (l *Limit) shrink(now time.Time, median float64) {
	gradient := max(shrinkSlowdown/median, minShrinkFactor)
	l.value = max(math.Floor(l.value*gradient+queueAllowance*math.Sqrt(l.value)), float64(l.config.Cold))
	l.adjustedAt = now
}
