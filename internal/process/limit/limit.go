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
	// window is how many samples make a verdict.
	window = 8
	// holdCold is how long the limit stays at the cold limit at least.
	holdCold = 5 * time.Second
	// settle is how long the limit stays after each growth at least.
	settle = 500 * time.Millisecond
	// growth is the factor of a growth step.
	growth = 1.5
	// healthySlowdown is the largest median slowdown at which the limit grows.
	// Slowdowns are first-token times in percent of the expected ones.
	healthySlowdown = 150
	// gradientSlowdown is the median slowdown above which a warm limit shrinks.
	gradientSlowdown = 300
	// coldSlowdown is the slowdown of a sample that hints at a cold turn;
	// coldRun of them in a row prove it.
	coldSlowdown = 500
	coldRun      = 4
	// minShrink bounds one shrinking step of the gradient.
	minShrink = 0.7
	// queueShare is the room that a shrinking step leaves for a queue, as a
	// fraction of the limit's square root.
	queueShare = 0.25
	// cacheLost is the fraction of the cached tokens whose loss between two
	// load reports hints at a cold turn.
	cacheLost = 0.9
	// cacheKnown is the least number of cached tokens for that hint.
	cacheKnown = 1000
	// maxFormer is how many earlier incarnations are remembered, so that late
	// reports of them change nothing.
	maxFormer = 8
	// failureRun failures, each within failureWindow of the one before, make
	// the endpoint cold whatever its load reports say.
	failureRun    = 3
	failureWindow = 5 * time.Second
	// minPause and maxPause bound the pauses after failures.
	minPause = 100 * time.Millisecond
	maxPause = 5 * time.Second
)

// Config bounds a limit.
type Config struct {
	// Cold is the limit just after a start, Max the greatest ever; both at
	// least 1.
	Cold, Max int
}

// bounded gives the configuration with both limits in their ranges.
func (c Config) bounded() Config {
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
	lateRun int
	// since is when the limit last turned cold, changed when it last grew or
	// shrank.
	since, changed time.Time
	engine         string
	// former are earlier incarnations of the endpoint, latest last.
	former []string
	cached int64
	// suspended is the limit before a failure that no load report has yet
	// explained, failedAt when that was, failures how many followed.
	suspended float64
	failedAt  time.Time
	failures  int
	// pause is the length of the last pause, which ends at pausedUntil.
	pause       time.Duration
	pausedUntil time.Time
}

// New returns the limit of an endpoint that is cold, for all that is known.
func New(config Config, now time.Time) *Limit {
	l := &Limit{config: config.bounded()}
	l.turnCold(now)
	return l
}

// Value is the present limit. It is zero for a short time after a failure.
func (l *Limit) Value(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return int(l.value)
}

// Cold is the limit just after a start.
func (l *Limit) Cold() int { return l.config.Cold }

// IsCold reports whether the limit has not yet grown since the last cold turn.
func (l *Limit) IsCold() bool { return int(l.value) <= l.config.Cold && l.config.Cold < l.config.Max }

// turnCold collapses the limit.
func (l *Limit) turnCold(now time.Time) {
	l.value = float64(l.config.Cold)
	l.samples = l.samples[:0]
	l.lateRun = 0
	l.since = now
	l.changed = now
}

// SetConfig changes the bounds.
func (l *Limit) SetConfig(config Config) {
	l.config = config.bounded()
	l.value = min(max(l.value, float64(l.config.Cold)), float64(l.config.Max))
}

// Return tells that the endpoint takes requests again after it took none.
func (l *Limit) Return(now time.Time) { l.turnCold(now) }

// Fail takes a failure of a request that the endpoint may have started. The
// endpoint counts as cold until Verify shows that it has not restarted.
func (l *Limit) Fail(now time.Time) {
	if l.failures == 0 || now.Sub(l.failedAt) > failureWindow {
		l.suspended = l.value
		l.failures = 0
	}
	l.failures++
	l.failedAt = now
	l.pauseAfter(now)
	l.turnCold(now)
}

// pauseAfter stops new requests for a while, longer with each failure that
// follows no success.
func (l *Limit) pauseAfter(now time.Time) {
	if now.Before(l.pausedUntil) {
		return
	}
	l.pause = min(max(2*l.pause, minPause), maxPause)
	l.pausedUntil = now.Add(l.pause)
}

// Verify takes a load report with the endpoint's incarnation, sampled at a
// time. It lifts the suspicion of a few failures if the endpoint has not
// restarted.
func (l *Limit) Verify(sampled time.Time, incarnation string) {
	if l.failures == 0 || incarnation != l.engine || !sampled.After(l.failedAt) {
		return
	}
	if l.failures < failureRun {
		l.value = min(l.suspended, float64(l.config.Max))
	}
	l.failures = 0
}

// SeeEngine takes the endpoint's incarnation; a new one is a restart. It
// returns whether it is new.
func (l *Limit) SeeEngine(now time.Time, incarnation string) bool {
	if incarnation == "" || incarnation == l.engine || slices.Contains(l.former, incarnation) {
		return false
	}
	known := l.engine != ""
	l.former = append(l.former, l.engine)
	if len(l.former) > maxFormer {
		l.former = l.former[1:]
	}
	l.engine = incarnation
	l.failures = 0
	if known {
		l.turnCold(now)
	}
	return known
}

// SeeCache takes the number of cached tokens from a load report. A sudden loss
// of nearly all is a cold turn.
func (l *Limit) SeeCache(now time.Time, tokens int64) {
	lost := l.cached >= cacheKnown && float64(tokens) < float64(l.cached)*(1-cacheLost)
	l.cached = tokens
	if lost {
		l.turnCold(now)
	}
}

// Sample takes the slowdown of a first token: its time in percent of the
// expected one. inFlight is how many requests the endpoint has: a limit that is
// not used up does not grow.
func (l *Limit) Sample(now time.Time, slowdown uint16, inFlight int) {
	l.pause = 0
	if slowdown >= coldSlowdown {
		l.lateRun++
	} else {
		l.lateRun = 0
	}
	if l.lateRun >= coldRun {
		l.turnCold(now)
		return
	}
	l.samples = append(l.samples, slowdown)
	if len(l.samples) >= l.needed() {
		l.judge(now, inFlight)
	}
}

// needed is how many samples make a verdict at the present limit.
func (l *Limit) needed() int { return min(max(int(l.value), 2), window) }

// judge grows or shrinks the limit by the samples' median.
func (l *Limit) judge(now time.Time, inFlight int) {
	if now.Sub(l.since) < holdCold || now.Sub(l.changed) < settle {
		l.samples = slices.Delete(l.samples, 0, 1)
		return
	}
	median := l.median()
	l.samples = l.samples[:0]
	switch {
	case median <= healthySlowdown && 2*inFlight >= int(l.value):
		l.grow(now)
	case median > gradientSlowdown:
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
	l.value = min(math.Ceil(l.value*growth), float64(l.config.Max))
	l.changed = now
}

// shrink follows the gradient, with room for a queue of the limit's root.
func (l *Limit) shrink(now time.Time, median float64) {
	gradient := max(gradientSlowdown/median, minShrink)
	l.value = max(math.Floor(l.value*gradient+queueShare*math.Sqrt(l.value)), float64(l.config.Cold))
	l.changed = now
}
