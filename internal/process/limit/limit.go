// Package limit adapts the number of requests that an endpoint may have in
// flight.
//
// A cold endpoint starts at its cold limit. While its times to first token stay
// close to the expected ones, the limit grows by half with each full round of
// samples. The limit of a warm endpoint follows the gradient between the
// expected and the observed times to first token. A restart, a failure or a run
// of very late first tokens makes the endpoint cold again. The methods read no
// clock; the time is passed in.
package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWindow is the maximum number of samples per adjustment.
	sampleWindow = 8
	// minColdTime is the minimum time that a limit stays at the cold limit
	// after a reset.
	minColdTime = 5 * time.Second
	// minAdjustInterval is the minimum time between two adjustments.
	minAdjustInterval = 500 * time.Millisecond
	// growthFactor is the factor by which the limit grows in one adjustment.
	growthFactor = 1.5
	// healthySlowdown is the largest median slowdown at which the limit grows.
	// Slowdowns are times to first token in percent of the expected ones.
	healthySlowdown = 150
	// shrinkSlowdown is the median slowdown above which a warm limit shrinks.
	shrinkSlowdown = 300
	// coldSlowdown is the slowdown from which a sample suggests that the
	// endpoint has turned cold; coldSlowdownRun of them in a row reset the
	// limit.
	coldSlowdown    = 500
	coldSlowdownRun = 4
	// minShrinkFactor is the lower bound of the gradient in one adjustment.
	minShrinkFactor = 0.7
	// queueAllowance is the room for a queue that a shrinking limit keeps, as a
	// multiple of the limit's square root.
	queueAllowance = 0.25
	// cacheLossRatio is the fraction of the cached tokens whose loss between
	// two load reports resets the limit to cold.
	cacheLossRatio = 0.9
	// minCachedTokens is the minimum number of cached tokens for cacheLossRatio
	// to apply.
	minCachedTokens = 1000
	// maxPastIncarnations is the number of earlier incarnations that are kept,
	// so that late reports from them are ignored.
	maxPastIncarnations = 8
	// failureThreshold is the number of failures, each within failureWindow of
	// the one before, after which the endpoint stays cold even if load reports
	// show that it has not restarted.
	failureThreshold = 3
	failureWindow    = 5 * time.Second
	// minBackoff and maxBackoff bound the time without new requests after a
	// failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Config holds the bounds of a limit.
type Config struct {
	// Cold is the limit just after a start, Max the maximum; both are at least
	// 1.
	Cold, Max int
}

// clamped returns the configuration with Cold at least 1 and Max at least Cold.
func (c Config) clamped() Config {
	c.Cold = max(c.Cold, 1)
	c.Max = max(c.Max, c.Cold)
	return c
}

// Limit is the adaptive concurrency limit of one endpoint. It is not safe for
// concurrent use.
type Limit struct {
	config  Config
	value   float64
	samples []uint16
	slowRun int
	// coldSince is when the limit was last reset to cold, adjustedAt when it
	// last grew or shrank.
	coldSince, adjustedAt time.Time
	incarnation           string
	// pastIncarnations holds earlier incarnations of the endpoint, latest last.
	pastIncarnations []string
	cachedTokens     int64
	// valueBeforeFailure is the limit before the first of the failures since
	// which no load report has verified the incarnation, lastFailure the time
	// of the last of them, and failures their number.
	valueBeforeFailure float64
	lastFailure        time.Time
	failures           int
	// backoff is the length of the last backoff, which ends at backoffUntil.
	backoff      time.Duration
	backoffUntil time.Time
}

// New returns the limit of an endpoint, which is assumed to be cold.
func New(config Config, now time.Time) *Limit {
	l := &Limit{config: config.clamped()}
	l.resetToCold(now)
	return l
}

// Value returns the present limit. It is zero during the backoff after a
// failure.
func (l *Limit) Value(now time.Time) int {
	if now.Before(l.backoffUntil) {
		return 0
	}
	return int(l.value)
}

// Cold returns the limit just after a start.
func (l *Limit) Cold() int { return l.config.Cold }

// IsCold reports whether the limit has not grown since it was last reset to
// cold.
func (l *Limit) IsCold() bool { return int(l.value) <= l.config.Cold && l.config.Cold < l.config.Max }

// resetToCold lowers the limit to the cold limit.
func (l *Limit) resetToCold(now time.Time) {
	l.value = float64(l.config.Cold)
	l.samples = l.samples[:0]
	l.slowRun = 0
	l.coldSince = now
	l.adjustedAt = now
}

// SetConfig changes the bounds and clamps the limit to them.
func (l *Limit) SetConfig(config Config) {
	l.config = config.clamped()
	l.value = min(max(l.value, float64(l.config.Cold)), float64(l.config.Max))
}

// Resume records that the endpoint takes requests again after a time without
// any.
func (l *Limit) Resume(now time.Time) { l.resetToCold(now) }

// RecordFailure records the failure of a request that the endpoint may have
// started. The endpoint counts as cold until VerifyIncarnation shows that it
// has not restarted.
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

// startBackoff blocks new requests for a time that doubles with each failure
// until a sample arrives.
func (l *Limit) startBackoff(now time.Time) {
	if now.Before(l.backoffUntil) {
		return
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now.Add(l.backoff)
}

// VerifyIncarnation evaluates the endpoint's incarnation in a load report that
// was sampled at the given time. If the endpoint has not restarted since the
// last failure, and there were fewer than failureThreshold, it restores the
// limit.
func (l *Limit) VerifyIncarnation(sampled time.Time, incarnation string) {
	if l.failures == 0 || incarnation != l.incarnation || !sampled.After(l.lastFailure) {
		return
	}
	if l.failures < failureThreshold {
		l.value = min(l.valueBeforeFailure, float64(l.config.Max))
	}
	l.failures = 0
}

// ObserveIncarnation records the endpoint's incarnation. It returns true, and
// resets the limit to cold, if the endpoint has restarted.
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

// ObserveCachedTokens records the number of cached tokens in a load report. The
// sudden loss of nearly all of them resets the limit to cold.
func (l *Limit) ObserveCachedTokens(now time.Time, tokens int64) {
	lost := l.cachedTokens >= minCachedTokens && float64(tokens) < float64(l.cachedTokens)*(1-cacheLossRatio)
	l.cachedTokens = tokens
	if lost {
		l.resetToCold(now)
	}
}

// ObserveSlowdown records the slowdown of a first token: its time in percent of
// the expected one. inFlight is the number of requests at the endpoint; a limit
// of which less than half is in use does not grow.
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

// samplesNeeded returns the number of samples per adjustment at the present
// limit.
func (l *Limit) samplesNeeded() int { return min(max(int(l.value), 2), sampleWindow) }

// adjust grows or shrinks the limit according to the median of the samples.
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

// median sorts the samples and returns their median.
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

// shrink lowers the limit by the gradient but keeps room for a queue.
func (l *Limit) shrink(now time.Time, median float64) {
	gradient := max(shrinkSlowdown/median, minShrinkFactor)
	l.value = max(math.Floor(l.value*gradient+queueAllowance*math.Sqrt(l.value)), float64(l.config.Cold))
	l.adjustedAt = now
}
